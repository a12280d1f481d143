use super::*;
use std::net::SocketAddr;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// Keeps what is sent; an abort says whether the attempt may have run as the test wants.
#[derive(Clone, Default)]
struct Fake {
    sent: Rc<RefCell<Vec<AttemptCompletion<Fake>>>>,
    aborted: Rc<Cell<u32>>,
    ran: Rc<Cell<bool>>,
}

impl Transport for Fake {
    type Request = ();
    type Response = u32;
    type Attempt = ();
    fn send(&self, _: Target, _: Rc<()>, _: Micros, report: AttemptCompletion<Self>) {
        self.sent.borrow_mut().push(report);
    }
    fn body_consumed(_: &()) -> bool {
        false
    }
    fn client_disconnected(_: &()) -> bool {
        false
    }
    fn has_connection(_: &()) -> bool {
        true
    }
    fn abort(&self, _: ()) -> bool {
        self.aborted.set(self.aborted.get() + 1);
        self.ran.get()
    }
    fn health_check(&self, _: &Rc<Dispatcher<Self>>, _: Target) {}
    fn close_idle(&self, _: ServerId) {}
    fn watch(&self, _: &Rc<Dispatcher<Self>>) {}
    fn fetch(&self, _: &Rc<Dispatcher<Self>>) {}
}

impl Fake {
    fn take(&self) -> AttemptCompletion<Fake> {
        self.sent.borrow_mut().pop().expect("an attempt")
    }
}

fn settings() -> policy::Settings {
    let second = 1_000_000;
    let class = policy::Class {
        idempotency: policy::Idempotency::NotIdempotent,
        latency_objective: 4 * second,
        objective_per_work: 0.0,
        deadline: 4 * second,
        priority_weight: 1.0,
        late_weight: 0.0,
        streaming: false,
    };
    let mut settings = policy::Settings::new(vec![class]);
    settings.limits.cancel = true;
    settings
}

fn listed() -> Endpoint {
    Endpoint {
        instance: "s-1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".to_owned(),
        kind: "k".to_owned(),
        cell: 0,
        state: policy::ServerState::Ready,
        weight: 1.0,
        started: None,
    }
}

fn engine(fake: &Fake) -> Rc<Dispatcher<Fake>> {
    let (store, names) = (Rc::default(), Names::default());
    let engine = Dispatcher::new(settings(), &names, 1, store, fake.clone()).expect("good settings");
    engine.update_endpoints(ListKind::Snapshot, vec![listed()]);
    engine
}

fn asked(time_left: Micros) -> IncomingRequest<()> {
    IncomingRequest { class: 0, time_left, tenant: None, work: None, retry: false, upload: false, call: () }
}

/// On a paused clock, with the timers running.
fn with(test: impl AsyncFnOnce(Fake, Rc<Dispatcher<Fake>>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let fake = Fake::default();
        let engine = engine(&fake);
        spawn_local(engine.clone().run());
        let ended = tokio::time::timeout(Duration::from_secs(60), test(fake, engine)).await;
        assert!(ended.is_ok(), "it waits for what never comes");
    });
}

#[test]
fn what_was_learned_is_taken_over_by_name() {
    with(async |fake, engine| {
        for _ in 0..20 {
            let asking = engine.submit(asked(4_000_000));
            tokio::time::sleep(Duration::from_millis(50)).await;
            fake.take().end(Outcome::Ok, None, Some(1));
            asking.answer().await;
        }
        // Its window shrinks with a client that leaves when its answer is late.
        let late = engine.submit(asked(4_000_000));
        tokio::time::sleep(Duration::from_millis(200)).await;
        drop(late);
        fake.take().end(Outcome::Reset, None, None);
        let text = serde_json::to_vec(&engine.saved_state()).expect("text");
        let legacy = || serde_json::from_slice::<SavedState>(&text).expect("what was written");
        // It numbers the servers otherwise, and does not know all of them.
        let settings = settings();
        let heir =
            Dispatcher::new(settings, &Names::default(), 1, Rc::default(), fake.clone()).expect("settings");
        let other = Endpoint { instance: "s-0".to_owned(), zone: "b".to_owned(), ..listed() };
        heir.update_endpoints(ListKind::Snapshot, vec![other, listed()]);
        heir.restore(legacy());
        let (before, after) = (engine.saved_state(), heir.saved_state());
        assert_eq!(after.learned.all_classes, before.learned.all_classes);
        let window = |legacy: &SavedState, name: &str| {
            let zone = legacy.learned.zones.iter().find(|z| legacy.zones[&z.zone] == name);
            zone.expect("it is known").concurrency_limit
        };
        assert_eq!(window(&after, "a"), window(&before, "a"));
        assert_ne!(window(&before, "a"), window(&after, "b"));
        // What is old is no longer so.
        let mut old = legacy();
        old.learned.saved_at -= 2 * LEGACY_KEPT;
        let late =
            Dispatcher::new(self::settings(), &Names::default(), 1, Rc::default(), fake).expect("settings");
        late.update_endpoints(ListKind::Snapshot, vec![listed()]);
        late.restore(old);
        assert_eq!(late.saved_state().learned.all_classes.counts, []);
    });
}

#[test]
fn an_attempt_out_of_time_is_ended_once_and_its_late_end_is_no_news() {
    with(async |fake, engine| {
        fake.ran.set(true);
        let asking = engine.submit(asked(1_000_000));
        let late = fake.take();
        let start = Instant::now();
        assert_eq!(asking.answer().await, FinalResponse::Failed(Failure::Time));
        assert!(start.elapsed() < Duration::from_secs(1), "after the client's time");
        assert_eq!(fake.aborted.get(), 1);
        late.end(Outcome::Ok, None, Some(7));
        assert!(engine.tables.borrow().open.is_empty() && fake.sent.borrow().is_empty());
    });
}

#[test]
fn an_attempt_that_was_never_written_lets_an_unsafe_request_go_out_again() {
    with(async |fake, engine| {
        let asking = engine.submit(asked(1_000_000));
        let id = asking.request;
        let _first = fake.take();
        tokio::time::sleep(Duration::from_millis(100)).await;
        engine.call_off(id, 0, Outcome::Cancelled);
        tokio::time::sleep(Duration::from_millis(300)).await;
        fake.take().end(Outcome::Ok, None, Some(5));
        assert_eq!(asking.answer().await, FinalResponse::Forwarded(5));
    });
}

#[test]
fn an_attempt_whose_task_died_is_a_reset() {
    with(async |fake, engine| {
        let asking = engine.submit(asked(1_000_000));
        drop(fake.take());
        assert_eq!(asking.answer().await, FinalResponse::Failed(Failure::Upstream));
        assert!(engine.tables.borrow().open.is_empty() && fake.sent.borrow().is_empty());
    });
}

#[test]
fn a_silent_module_does_not_keep_a_client_waiting() {
    with(async |fake, engine| {
        engine.update_endpoints(ListKind::Snapshot, Vec::new());
        let asking = engine.submit(asked(1_000_000));
        // Without its timers the module never looks at what it holds.
        engine.tables.borrow_mut().timers.retain(|Reverse((.., due))| !matches!(due, TimerKind::Token(_)));
        let start = Instant::now();
        assert_eq!(asking.answer().await, FinalResponse::Failed(Failure::Time));
        assert!(start.elapsed() < Duration::from_secs(1), "after the client's time");
        assert!(engine.tables.borrow().open.is_empty() && fake.sent.borrow().is_empty());
    });
}

#[test]
fn no_second_attempt_beside_one_that_is_out_and_none_after_the_answer() {
    with(async |fake, engine| {
        let asking = engine.submit(asked(1_000_000));
        let id = asking.request;
        engine.send(engine.clock.now(), id, 0, 0);
        assert_eq!(fake.sent.borrow().len(), 1);
        fake.take().end(Outcome::Ok, None, Some(5));
        engine.send(engine.clock.now(), id, 0, 0);
        assert_eq!(asking.answer().await, FinalResponse::Forwarded(5));
        assert!(fake.sent.borrow().is_empty() && engine.tables.borrow().open.is_empty());
    });
}

#[test]
fn timers_of_answered_requests_do_not_pile_up() {
    with(async |fake, engine| {
        for _ in 0..10 * LEAST_TIMERS {
            let asking = engine.submit(asked(4_000_000));
            fake.take().end(Outcome::Ok, None, Some(5));
            assert_eq!(asking.answer().await, FinalResponse::Forwarded(5));
        }
        assert!(engine.tables.borrow().timers.len() <= LEAST_TIMERS);
    });
}

#[test]
fn a_client_that_left_is_forgotten_when_its_attempt_ends() {
    with(async |fake, engine| {
        drop(engine.submit(asked(1_000_000)));
        assert_eq!(engine.tables.borrow().open.len(), 1);
        fake.take().end(Outcome::Reset, None, None);
        assert!(engine.tables.borrow().open.is_empty() && fake.sent.borrow().is_empty());
    });
}
