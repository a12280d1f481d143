use super::*;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::{Instant, sleep_until};
use zincstand_policy::{Action, Event};

#[test]
fn whatever_fails_the_next_look_comes_within_the_grace_of_a_drain() {
    for ms in [1, 120, 250, 1_000, 2_500, 10_000, 90_000] {
        let grace = Duration::from_millis(ms);
        let PollTiming { wait, patience, again, most_pause } = PollTiming::within(grace);
        // Silence to the end of a watch, and then a pause; or calls that fail at once, one after the other.
        let bounds = Duration::from_millis(85);
        assert!(wait + patience + again < grace.max(bounds), "{ms} ms");
        assert!(patience + most_pause < grace.max(bounds), "{ms} ms");
        // A silent watch is followed by the next call before it is dropped, and a list that takes as long as it
        // may after a call that did comes before it counts as told.
        assert!(wait + patience < CALL_TIME, "{ms} ms");
        assert!(CALL_TIME + most_pause + CALL_TIME < Duration::from_secs(6), "{ms} ms");
    }
}

/// How discovery fails before it can be reached again; a call that it fell upon stays as it is.
#[derive(Clone, Copy, Debug)]
enum BodyEnd {
    Refused,
    Reset,
    Closed,
    Busy,
    Silent,
    Half,
    Trickle,
    NoList,
}

use BodyEnd::*;

const ENDS: [BodyEnd; 8] = [Refused, Reset, Closed, Busy, Silent, Half, Trickle, NoList];

/// A balancer's discovery on a virtual clock.
#[derive(Clone, Copy, Debug)]
struct Case {
    end: BodyEnd,
    /// Lists are asked for, and so often; else they are pushed.
    ask_within: Option<Duration>,
    grace: Duration,
    /// A list is known.
    known: bool,
    /// Discovery can be reached, and has the change, so long after the start.
    back: Duration,
    /// It moves then, from an address that says nothing.
    moves: Option<Duration>,
    /// A good list takes so long, in pieces.
    slow: Duration,
    seed: u64,
}

/// The decision module where lists are asked for, with its timers, and what was heard.
struct Module {
    balancer: RefCell<zincstand_policy::Balancer>,
    discovery: Rc<Discovery>,
    asks: bool,
    begun: Instant,
    heard: Cell<Option<Instant>>,
}

impl Module {
    fn hand(self: &Rc<Self>, event: Event) {
        let (now, mut actions) = (self.begun.elapsed().as_micros() as u64, Vec::new());
        self.balancer.borrow_mut().handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { delay, token } => {
                    let this = self.clone();
                    spawn_local(async move {
                        sleep(Duration::from_micros(delay)).await;
                        this.hand(Event::Timer { token });
                    });
                }
                Action::Watch => self.discovery.watch(self.tell()),
                _ => {}
            }
        }
    }

    fn tell(self: &Rc<Self>) -> impl Fn(ListKind, Vec<Endpoint>) + 'static {
        let this = self.clone();
        move |kind, listed| {
            if kind != ListKind::Failed && !listed.is_empty() && this.heard.get().is_none() {
                this.heard.set(Some(Instant::now()));
            }
            if this.asks {
                this.hand(Event::EndpointList { kind, entries: Vec::new() });
            }
        }
    }
}

/// Answers calls on a connection, each as the time of the call has it.
async fn answer(mut stream: TcpStream, case: Case, back: Instant) {
    let whole = r#"{"generation":42,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"DRAINING"}]}"#;
    let head = |length| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let mut call = BytesMut::new();
    while !call.ends_with(b"\r\n\r\n") {
        match stream.read_buf(&mut call).await {
            Ok(1..) => {}
            _ => return,
        }
    }
    if Instant::now() >= back {
        let text = head(whole.len()) + whole;
        for piece in text.as_bytes().chunks(text.len().div_ceil(8)) {
            sleep(case.slow / 8).await;
            let _ = stream.write_all(piece).await;
        }
        return std::future::pending().await;
    }
    let bad = match case.end {
        Refused | Silent => String::new(),
        Reset => return socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option"),
        Closed => return,
        Busy => "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
        NoList => head(2) + "{}",
        Half => head(whole.len()) + &whole[..20],
        Trickle => head(100_000),
    };
    let _ = stream.write_all(bad.as_bytes()).await;
    while matches!(case.end, Trickle) && stream.write_all(b" ").await.is_ok() {
        sleep(Duration::from_millis(20)).await;
    }
    std::future::pending().await
}

/// How long the change takes, from when it can be heard: it is there, and so is the address.
fn heard_after(case: Case) -> Duration {
    let bind = || {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        (socket.local_addr().expect("an address"), socket)
    };
    let play = async {
        let begun = Instant::now();
        let back = begun + case.back;
        let (address, socket) = bind();
        // What is left answers nothing, or refuses.
        let (left, silent) = bind();
        let _silent = (!matches!(case.end, Refused)).then(|| silent.listen(64).expect("it listens"));
        let (first, moves) = (if case.moves.is_some() { left } else { address }, case.moves);
        let discovery =
            Discovery::new(first, case.known.then_some(41), case.ask_within.is_none(), case.grace);
        let class = zincstand_policy::Class {
            idempotency: zincstand_policy::Idempotency::Idempotent,
            latency_objective: 20_000_000,
            objective_per_work: 0.0,
            deadline: 20_000_000,
            priority_weight: 1.0,
            late_weight: 0.0,
            streaming: false,
        };
        let mut settings = zincstand_policy::Settings::new(vec![class]);
        settings.discovery = zincstand_policy::DiscoveryMode::Poll;
        settings.rules.max_poll_interval = case.ask_within.unwrap_or_default().as_micros() as u64;
        let balancer =
            RefCell::new(zincstand_policy::Balancer::new(settings, case.seed).expect("good settings"));
        let asks = case.ask_within.is_some();
        let module = Rc::new(Module { balancer, discovery, asks, begun, heard: Cell::new(None) });
        spawn_local(async move {
            if matches!(case.end, Refused) {
                sleep_until(back).await;
            }
            let listener = socket.listen(64).expect("it listens");
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(answer(stream, case, back));
            }
        });
        if asks {
            module.hand(Event::EndpointList { kind: ListKind::CachedSnapshot, entries: Vec::new() });
        } else {
            module.discovery.watch(module.tell());
        }
        if let Some(moves) = moves {
            sleep(moves).await;
            module.discovery.change_address(address, module.tell());
        }
        while module.heard.get().is_none() && begun.elapsed() < Duration::from_secs(150) {
            sleep(Duration::from_millis(5)).await;
        }
        let heard = module.heard.get().unwrap_or_else(Instant::now);
        heard.duration_since(back.max(begun + moves.unwrap_or_default()))
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), play)
}

/// The spans of settings that differ most: the grace of a drain, and how often lists are asked for, if they are.
fn modes() -> impl Iterator<Item = (Duration, Option<Duration>)> {
    let ms = Duration::from_millis;
    let graces = [ms(1), ms(2_500), ms(90_000)];
    graces.into_iter().flat_map(move |grace| [None, Some(ms(50)), Some(ms(60_000))].map(|ask| (grace, ask)))
}

#[test]
fn whatever_failed_and_however_long_a_change_is_heard_soon_after_discovery_can_be_reached() {
    for (grace, ask_within) in modes() {
        for end in ENDS {
            for (back, known) in [(1, true), (1, false), (3_700, true), (7_300, false)] {
                let seed = back + known as u64;
                let back = Duration::from_millis(back);
                let case =
                    Case { end, ask_within, grace, known, back, moves: None, slow: Duration::ZERO, seed };
                let after = heard_after(case);
                // It counts as told after 6 s; the first call of a process is spread over 3 s.
                assert!(after < Duration::from_millis(4_000), "{after:?} {case:?}");
            }
        }
    }
}

#[test]
fn a_slow_list_is_heard_whole_though_calls_before_it_hang() {
    for (grace, ask_within) in modes() {
        for (end, back) in [(Silent, 1), (Trickle, 1), (Silent, 3_700), (Trickle, 3_700), (Refused, 3_700)] {
            let (slow, seed) = (Duration::from_millis(1_600), back);
            let back = Duration::from_millis(back);
            let case = Case { end, ask_within, grace, known: true, back, moves: None, slow, seed };
            let after = heard_after(case);
            assert!(after < Duration::from_millis(5_500), "{after:?} {case:?}");
        }
    }
}

#[test]
fn after_a_move_the_whole_list_is_heard_within_4_s_whatever_fails_first() {
    let ms = Duration::from_millis;
    for (grace, ask_within) in modes() {
        for (seed, end) in (1..).zip(ENDS) {
            // The new address is good from the start, but slow: what the module asks meanwhile begins no call anew.
            // Or it fails the first calls.
            for (back, slow, most) in [(0, 1_600, 1_800), (1_800, 0, 4_000)] {
                let (back, slow, moves) = (ms(back), ms(slow), Some(ms(1_500)));
                let case = Case { end, ask_within, grace, known: true, back, moves, slow, seed };
                let after = heard_after(case) + back.saturating_sub(ms(1_500));
                assert!(after < ms(most), "{after:?} {case:?}");
            }
        }
    }
}
