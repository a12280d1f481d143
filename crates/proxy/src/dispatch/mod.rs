//! Owns the decision module, the open requests and the timers; the only caller of `Balancer::handle`. What
//! calls and replies are made of is the business of a [`Transport`].

pub mod transport;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot};
use zincstand_policy as policy;
use zincstand_policy::{Action, Event, ListKind, Micros, Outcome, RequestId, ServerId};
use zincstand_settings::Names;

use crate::discovery::endpoint::{Endpoint, Target};
use crate::discovery::registry::Registry;
use crate::dispatch::transport::{Clock, Failure, FinalResponse, IncomingRequest, Transport};
use crate::lifecycle::overrides::{OperatorOverrides, OverrideStore};
use crate::upstream::stream::BodyEnd;

/// The module is told this much less than the client's time: the answer's way back and the timers' grain.
const MARGIN: Micros = 10_000;
/// A request that the module has left unanswered fails this long before the client's time.
const LAST_RESORT: Micros = 5_000;

/// So many timers are always kept.
const LEAST_TIMERS: usize = 512;

/// What was learned longer ago is learned anew.
const LEGACY_KEPT: Micros = 5_000_000;

/// What a process leaves to the one that takes its place: what the module has learned, and what its numbers mean.
#[derive(Serialize, Deserialize)]
pub struct SavedState {
    learned: policy::LearnedState,
    zones: HashMap<u32, String>,
    servers: HashMap<ServerId, String>,
}

/// What a timer is for.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Token(u64),
    Limit(RequestId, u32),
    LastResort(RequestId),
}

struct AttemptInFlight<O> {
    attempt: u32,
    server: ServerId,
    /// Nothing if it is not sent at all.
    to: Option<Target>,
    at: Micros,
    limit: Micros,
    handle: Option<O>,
}

/// A request that is not answered or has attempts out.
struct ActiveRequest<W: Transport> {
    call: Rc<W::Request>,
    /// Where the final answer goes; nothing once it went or the client left.
    answer: Option<oneshot::Sender<FinalResponse<W::Response>>>,
    /// Nothing while its body is still coming.
    deadline: Option<Micros>,
    time_left: Micros,
    sent: u32,
    out: Vec<AttemptInFlight<W::Attempt>>,
    failure: Failure,
}

struct Tables<W: Transport> {
    open: HashMap<RequestId, ActiveRequest<W>>,
    next: RequestId,
    timers: BinaryHeap<Reverse<(Micros, u64, TimerKind)>>,
    timer_number: u64,
    /// From as many timers on, those of requests that are answered are dropped.
    most_timers: usize,
    registry: Registry,
}

/// The balancer between its sockets.
pub struct Dispatcher<W: Transport> {
    wire: W,
    clock: Clock,
    /// What operators have set; others than this process may have.
    store: Rc<OverrideStore>,
    /// The version of it that the module knows.
    obeyed: Cell<u64>,
    limits: policy::Limits,
    balancer: RefCell<policy::Balancer>,
    tables: RefCell<Tables<W>>,
    events: RefCell<VecDeque<Event>>,
    handling: Cell<bool>,
    has_endpoint_list: Cell<bool>,
    earlier: Notify,
}

/// Where an attempt's end is told, once. Dropped untold, as when its task died, it counts as a reset.
pub struct AttemptCompletion<W: Transport> {
    engine: Rc<Dispatcher<W>>,
    request: RequestId,
    attempt: u32,
    told: bool,
}

impl<W: Transport> AttemptCompletion<W> {
    /// The attempt ended.
    pub fn end(mut self, outcome: Outcome, load: Option<policy::LoadReport>, reply: Option<W::Response>) {
        self.told = true;
        self.engine.ended(self.request, self.attempt, outcome, load, reply);
    }
}

impl<W: Transport> Drop for AttemptCompletion<W> {
    fn drop(&mut self) {
        if !self.told {
            self.engine.ended(self.request, self.attempt, Outcome::Reset, None, None);
        }
    }
}

/// A caller's hold on its request: dropped before the answer, the client is gone.
pub struct PendingRequest<W: Transport> {
    engine: Rc<Dispatcher<W>>,
    request: RequestId,
    answer: oneshot::Receiver<FinalResponse<W::Response>>,
}

impl<W: Transport> PendingRequest<W> {
    /// The final answer.
    pub async fn answer(mut self) -> FinalResponse<W::Response> {
        self.next().await
    }

    /// The same for a request whose body is still coming; how it ends without it if the body never does.
    pub async fn answer_upload(
        mut self,
        end: impl Future<Output = BodyEnd>,
    ) -> Result<FinalResponse<W::Response>, BodyEnd> {
        tokio::select! {
            biased;
            answer = self.next() => return Ok(answer),
            end = end => match end {
                BodyEnd::Whole => self.engine.uploaded(self.request),
                end => return Err(end),
            },
        }
        Ok(self.next().await)
    }

    async fn next(&mut self) -> FinalResponse<W::Response> {
        (&mut self.answer).await.unwrap_or_else(|_| {
            eprintln!("defect: request {} was dropped without an answer", self.request);
            FinalResponse::Failed(Failure::Upstream)
        })
    }
}

impl<W: Transport> Drop for PendingRequest<W> {
    fn drop(&mut self) {
        self.engine.gone(self.request);
    }
}

impl<W: Transport> Dispatcher<W> {
    /// A balancer with the given settings; `zones` holds the numbers that the settings use.
    pub fn new(
        settings: policy::Settings,
        zones: &Names,
        seed: u64,
        store: Rc<OverrideStore>,
        wire: W,
    ) -> Result<Rc<Self>, String> {
        let mut registry = Registry::new(zones);
        registry.obey(&store.current());
        let limits = settings.limits.clone();
        let balancer = policy::Balancer::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Rc::new(Dispatcher {
            wire,
            clock: Clock::new(),
            obeyed: Cell::new(store.version()),
            store,
            limits,
            balancer: RefCell::new(balancer),
            tables: RefCell::new(Tables {
                open: HashMap::new(),
                next: 0,
                timers: BinaryHeap::new(),
                timer_number: 0,
                most_timers: LEAST_TIMERS,
                registry,
            }),
            events: RefCell::new(VecDeque::new()),
            handling: Cell::new(false),
            has_endpoint_list: Cell::new(false),
            earlier: Notify::new(),
        }))
    }

    /// A list of upstreams has come, be it the known one.
    pub fn has_endpoint_list(&self) -> bool {
        self.has_endpoint_list.get()
    }

    /// Takes a request; the answer comes through what is returned.
    pub fn submit(self: &Rc<Self>, asked: IncomingRequest<W::Request>) -> PendingRequest<W> {
        let (sender, answer) = oneshot::channel();
        let now = self.clock.now();
        let IncomingRequest { class, time_left, tenant, work, retry, upload, call } = asked;
        let deadline = (!upload).then_some(now + time_left);
        let id = {
            let mut tables = self.tables.borrow_mut();
            let id = tables.next;
            tables.next += 1;
            let (call, answer) = (Rc::new(call), Some(sender));
            let (out, failure) = (Vec::new(), Failure::Time);
            let open = ActiveRequest { call, answer, deadline, time_left, sent: 0, out, failure };
            tables.open.insert(id, open);
            id
        };
        if let Some(deadline) = deadline {
            self.set_timer(deadline.saturating_sub(LAST_RESORT), TimerKind::LastResort(id));
        }
        let time_left = time_left.saturating_sub(MARGIN);
        self.feed(Event::Request {
            id,
            class,
            time_left,
            tenant,
            work,
            marked_retry: retry,
            body_pending: upload,
        });
        PendingRequest { engine: self.clone(), request: id, answer }
    }

    /// A request's last byte has come: its time starts, and that of its attempt.
    fn uploaded(self: &Rc<Self>, id: RequestId) {
        let now = self.clock.now();
        let (deadline, limits) = {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else { return };
            let deadline = now + open.time_left;
            open.deadline = Some(deadline);
            let limit = |out: &mut AttemptInFlight<W::Attempt>| {
                out.at = now;
                (out.attempt, out.limit.min(open.time_left.saturating_sub(LAST_RESORT)))
            };
            (deadline, open.out.iter_mut().map(limit).collect::<Vec<_>>())
        };
        self.set_timer(deadline.saturating_sub(LAST_RESORT), TimerKind::LastResort(id));
        for (attempt, limit) in limits {
            self.set_timer(now + limit, TimerKind::Limit(id, attempt));
        }
        self.feed(Event::BodyComplete { request: id });
    }

    /// What the module has learned, for the process that takes this one's place.
    pub fn saved_state(&self) -> SavedState {
        let learned = self.balancer.borrow().learned_state(self.clock.now());
        let (zones, servers) = self.tables.borrow().registry.names();
        SavedState { learned, zones, servers }
    }

    /// Takes over what the process before this one had learned, if that is not long ago. To be called once the
    /// first list is known.
    pub fn restore(&self, legacy: SavedState) {
        let SavedState { mut learned, zones, servers } = legacy;
        let now = self.clock.now();
        if now.saturating_sub(learned.saved_at) > LEGACY_KEPT {
            return;
        }
        let registry = &self.tables.borrow().registry;
        learned.zones.retain_mut(|z| {
            let known = zones.get(&z.zone).and_then(|name| registry.zone(name));
            known.map(|zone| z.zone = zone).is_some()
        });
        learned.servers.retain_mut(|s| {
            let known = servers.get(&s.server).and_then(|name| registry.server(name));
            known.map(|server| s.server = server).is_some()
        });
        self.balancer.borrow_mut().restore(now, &learned);
    }

    /// Takes an upstream out until [`include`](Self::include), whatever discovery says. False if none has that
    /// name. It holds when this returns: nothing is sent any more that is not being sent.
    pub fn exclude(self: &Rc<Self>, name: &str) -> io::Result<bool> {
        self.order(name, |orders, _| orders.exclude(name))
    }

    /// Uses an upstream again; it counts as just started. False if none has that name.
    pub fn include(self: &Rc<Self>, name: &str) -> io::Result<bool> {
        self.order(name, |orders, now| orders.include(name, now))
    }

    fn order(
        self: &Rc<Self>,
        name: &str,
        order: impl FnOnce(&mut OperatorOverrides, Micros),
    ) -> io::Result<bool> {
        self.apply_overrides();
        if !self.tables.borrow().registry.knows(name) {
            return Ok(false);
        }
        let now = self.clock.now();
        self.store.change(|orders| order(orders, now))?;
        self.apply_overrides();
        Ok(true)
    }

    /// Looks whether operators have set anything new, through whichever process. Done before each event, it
    /// binds this one from the moment in which the other said yes.
    pub fn apply_overrides(self: &Rc<Self>) {
        self.store.refresh();
        if self.obeyed.replace(self.store.version()) == self.store.version() {
            return;
        }
        let (entries, out) = self.tables.borrow_mut().registry.obey(&self.store.current());
        for server in out {
            self.wire.close_idle(server);
        }
        if !entries.is_empty() {
            self.hand(Event::EndpointList { kind: ListKind::Delta, entries });
            self.recall_shut();
        }
    }

    /// Ends the attempts without a connection to upstreams that take nothing new any more: their connection may
    /// come up long after the grace.
    fn recall_shut(self: &Rc<Self>) {
        self.recall(|_, out| out.to.is_some_and(|to| !self.tables.borrow().registry.takes(to)), None);
    }

    /// News of the list of upstreams; those that moved or are gone lose their idle connections.
    pub fn update_endpoints(self: &Rc<Self>, kind: ListKind, listed: Vec<Endpoint>) {
        self.apply_overrides();
        let (entries, stale) = self.tables.borrow_mut().registry.take(kind, &listed);
        for server in stale {
            self.wire.close_idle(server);
        }
        if kind != ListKind::Failed {
            self.has_endpoint_list.set(true);
        }
        self.hand(Event::EndpointList { kind, entries });
        self.recall_shut();
    }

    /// Starts the module with no list known. Guards against a module that waits for its first event while
    /// nothing but that event would make it ask discovery.
    pub fn start_without_list(self: &Rc<Self>) {
        self.feed(Event::EndpointList { kind: ListKind::CachedSnapshot, entries: Vec::new() });
    }

    /// A probe was answered or not.
    pub fn health_checked(
        self: &Rc<Self>,
        server: ServerId,
        took: Duration,
        outcome: Outcome,
        load: Option<policy::LoadReport>,
    ) {
        self.feed(Event::HealthChecked { server, outcome, latency: took.as_micros() as Micros, load });
    }

    /// Rings the timers; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let next = self.tables.borrow().timers.peek().map(|Reverse((at, ..))| *at);
            let earlier = self.earlier.notified();
            match next {
                Some(at) if at > self.clock.now() => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    () = earlier => {}
                },
                Some(_) => {
                    let due = self.tables.borrow_mut().timers.pop();
                    if let Some(Reverse((.., due))) = due {
                        self.ring(due);
                    }
                }
                None => earlier.await,
            }
        }
    }

    fn ring(self: &Rc<Self>, due: TimerKind) {
        match due {
            TimerKind::Token(token) => self.feed(Event::Timer { token }),
            TimerKind::Limit(id, attempt) => self.call_off(id, attempt, Outcome::TimedOut),
            TimerKind::LastResort(id) => {
                let mut tables = self.tables.borrow_mut();
                let Some(answer) = tables.open.get_mut(&id).and_then(|o| o.answer.take()) else { return };
                eprintln!("defect: the module left request {id} unanswered; failed just before its time");
                let _ = answer.send(FinalResponse::Failed(Failure::Time));
                drop(tables);
                self.feed(Event::ClientDisconnected { request: id });
                self.settle(id);
            }
        }
    }

    fn set_timer(&self, at: Micros, due: TimerKind) {
        let mut tables = self.tables.borrow_mut();
        let tables = &mut *tables;
        // Guards the memory: a request is answered long before its last resort is due.
        if tables.timers.len() >= tables.most_timers {
            let open = &tables.open;
            tables.timers.retain(|Reverse((.., due))| match due {
                TimerKind::Token(_) => true,
                TimerKind::Limit(id, _) | TimerKind::LastResort(id) => open.contains_key(id),
            });
            tables.most_timers = (2 * tables.timers.len()).max(LEAST_TIMERS);
        }
        let first = tables.timers.peek().is_none_or(|Reverse((next, ..))| at < *next);
        let number = tables.timer_number;
        tables.timer_number += 1;
        tables.timers.push(Reverse((at, number, due)));
        if first {
            self.earlier.notify_one();
        }
    }

    /// The client left, or has its answer.
    fn gone(self: &Rc<Self>, id: RequestId) {
        let left = {
            let mut tables = self.tables.borrow_mut();
            tables.open.get_mut(&id).and_then(|o| o.answer.take()).is_some()
        };
        if left {
            self.feed(Event::ClientDisconnected { request: id });
            // Guards the upstreams: what waits for a connection is for nobody.
            self.recall(|open, _| open.answer.is_none(), Some(id));
            self.settle(id);
        }
    }

    /// Ends the attempts that must not begin any more: those of which nothing has been sent, as chosen, of one
    /// request or of all.
    fn recall(
        self: &Rc<Self>,
        choose: impl Fn(&ActiveRequest<W>, &AttemptInFlight<W::Attempt>) -> bool,
        only: Option<RequestId>,
    ) {
        let mut waiting = Vec::new();
        {
            let tables = self.tables.borrow();
            let mut look = |id: RequestId, open: &ActiveRequest<W>| {
                let waits = |out: &&AttemptInFlight<W::Attempt>| {
                    out.handle.as_ref().is_some_and(|h| !W::has_connection(h))
                };
                let chosen = open.out.iter().filter(waits).filter(|out| choose(open, out));
                waiting.extend(chosen.map(|out| (id, out.attempt)));
            };
            match only {
                Some(id) => tables.open.get(&id).into_iter().for_each(|open| look(id, open)),
                None => tables.open.iter().for_each(|(&id, open)| look(id, open)),
            }
        }
        waiting.sort_unstable();
        for (id, attempt) in waiting {
            self.call_off(id, attempt, Outcome::Cancelled);
        }
    }

    /// Forgets a request that is answered and has nothing out.
    fn settle(&self, id: RequestId) {
        let mut tables = self.tables.borrow_mut();
        if tables.open.get(&id).is_some_and(|o| o.answer.is_none() && o.out.is_empty()) {
            tables.open.remove(&id);
        }
    }

    /// Ends an attempt from this side. One whose request was not written never ran.
    fn call_off(self: &Rc<Self>, id: RequestId, attempt: u32, outcome: Outcome) {
        let handle = {
            let mut tables = self.tables.borrow_mut();
            let out = tables.open.get_mut(&id).and_then(|o| o.out.iter_mut().find(|o| o.attempt == attempt));
            out.and_then(|o| o.handle.take())
        };
        let Some(handle) = handle else { return };
        let may_have_run = self.wire.abort(handle);
        let outcome = match outcome {
            Outcome::TimedOut if !may_have_run => Outcome::ConnectFailed,
            Outcome::Cancelled if !may_have_run => Outcome::NotSent,
            other => other,
        };
        self.ended(id, attempt, outcome, None, None);
    }

    /// The one outcome of an attempt; later ones find it no longer out.
    fn ended(
        self: &Rc<Self>,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        load: Option<policy::LoadReport>,
        reply: Option<W::Response>,
    ) {
        let now = self.clock.now();
        let event = {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else { return };
            let Some(at) = open.out.iter().position(|o| o.attempt == attempt) else { return };
            let out = open.out.swap_remove(at);
            let timed_out = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
            open.failure = if timed_out { Failure::Time } else { Failure::Upstream };
            if let (Outcome::Ok, Some(reply)) = (outcome, reply)
                && let Some(answer) = open.answer.take()
            {
                let _ = answer.send(FinalResponse::Forwarded(reply));
            }
            let (closed, spent) = (open.answer.is_none(), W::body_consumed(&open.call));
            let latency = now.saturating_sub(out.at);
            let server = out.server;
            Event::Outcome {
                request: id,
                attempt,
                server,
                outcome,
                latency,
                finished: closed,
                body_consumed: spent,
                load,
            }
        };
        self.feed(event);
        self.settle(id);
    }

    /// An event for the module; what operators have set meanwhile goes first.
    fn feed(self: &Rc<Self>, event: Event) {
        self.apply_overrides();
        self.hand(event);
    }

    /// Hands events to the module in their order and does what it wants done.
    fn hand(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        // Guards against an event that comes of an action while the others of its list are still to be done.
        if self.handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.clock.now();
            let handled = catch_unwind(AssertUnwindSafe(|| {
                self.balancer.borrow_mut().handle(now, event, &mut actions)
            }));
            // Guards the other requests: the last resort answers those that a broken module leaves.
            if handled.is_err() {
                eprintln!("defect: the module panicked");
            }
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
        self.handling.set(false);
    }

    fn act(self: &Rc<Self>, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.send(now, request, server, limit),
            Action::Reject { request, retry_after } => {
                let retry_after = if self.limits.retry_after { retry_after } else { 0 };
                self.answer(request, |_| FinalResponse::Rejected { retry_after });
            }
            Action::Fail { request } => self.answer(request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => self.call_off(request, attempt, Outcome::Cancelled),
            Action::HealthCheck { server } => {
                if let Some(to) = self.target(server) {
                    self.wire.health_check(self, to);
                }
            }
            Action::CloseIdle { server } => self.wire.close_idle(server),
            Action::Timer { delay, token } => self.set_timer(now + delay, TimerKind::Token(token)),
            Action::Watch => self.wire.watch(self),
            Action::Fetch => self.wire.fetch(self),
        }
    }

    fn answer(&self, id: RequestId, answer: impl FnOnce(Failure) -> FinalResponse<W::Response>) {
        {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else { return };
            if let Some(sender) = open.answer.take() {
                let _ = sender.send(answer(open.failure));
            }
        }
        self.settle(id);
    }

    fn target(&self, server: ServerId) -> Option<Target> {
        self.tables.borrow().registry.target(server)
    }

    /// Starts an attempt. What the rules forbid whatever the module says is not sent, and told so.
    fn send(self: &Rc<Self>, now: Micros, id: RequestId, server: ServerId, limit: Micros) {
        // Guards the upstream against work for nobody, and against the beginning of a body that will never be whole.
        let left = self.tables.borrow().open.get(&id).is_some_and(|open| W::client_disconnected(&open.call));
        if left {
            self.gone(id);
        }
        let target = self.target(server);
        let (call, attempt, limit, started) = {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else {
                drop(tables);
                let (outcome, latency) = (Outcome::NotSent, 0);
                let (attempt, closed, load) = (0, true, None);
                let event = Event::Outcome {
                    request: id,
                    attempt,
                    server,
                    outcome,
                    latency,
                    finished: closed,
                    body_consumed: false,
                    load,
                };
                return self.events.borrow_mut().push_back(event);
            };
            let attempt = open.sent;
            open.sent += 1;
            let started = open.deadline.is_some();
            let left = open.deadline.unwrap_or(now + open.time_left).saturating_sub(now + LAST_RESORT);
            let limit = if limit == 0 { left } else { limit.min(left) };
            let copies = open.out.is_empty() || self.limits.hedging;
            let may = open.answer.is_some() && copies && attempt < self.limits.max_attempts && limit > 0;
            let may = may && !W::body_consumed(&open.call);
            open.out.push(AttemptInFlight { attempt, server, to: target, at: now, limit, handle: None });
            (may.then(|| open.call.clone()), attempt, limit, started)
        };
        let (Some(call), Some(target)) = (call, target) else {
            return self.ended(id, attempt, Outcome::NotSent, None, None);
        };
        let report = AttemptCompletion { engine: self.clone(), request: id, attempt, told: false };
        let handle = self.wire.send(target, call, limit, report);
        if let Some(open) = self.tables.borrow_mut().open.get_mut(&id)
            && let Some(out) = open.out.iter_mut().find(|o| o.attempt == attempt)
        {
            out.handle = Some(handle);
        }
        // While its body is still coming, no time of the server's has begun.
        if started {
            self.set_timer(now + limit, TimerKind::Limit(id, attempt));
        }
    }
}

#[cfg(test)]
mod tests;
