//! Balancers' processes: how they start and end, what reaches them, and what they do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use zincstand_policy::{Action, Event, LearnedState, Micros, Outcome};

use super::{
    Attempt, AttemptAt, Caller, Edge, Ev, Message, Note, Process, ProcessAt, REMEMBERED, Reply, Request,
    RequestAt, ServerAt, World, process_seed,
};
use crate::random::{self, Purpose};
use crate::scenario::{Asking, Effect};
use crate::scoring::{Cause, Rule};
use crate::server::Truth;

/// A timer costs the processor this part of what a message does.
const TIMER_COST: f64 = 0.1;
/// From a new process to its first list from discovery.
const FIRST_LIST: Micros = 20_000;

impl World<'_> {
    /// Starts a process of balancer `me`; it has its last list, which may be old.
    fn start_process(&mut self, tier: usize, me: u32, zone: u32, before: Option<ProcessAt>) -> ProcessAt {
        let number = self.processes.len();
        let settings = self.day.settings(tier, me, zone);
        let seed = process_seed(self.day, number);
        // Settings were checked before the day began.
        let policy = (self.start)(settings, seed).unwrap_or_else(|e| unreachable!("checked before: {e}"));
        let drawn = random::unit(self.day.seed, Purpose::Process, u64::from(me) << 8 | tier as u64);
        let offset = (self.day.balancers.clock_spread.0 as f64 * drawn) as Micros;
        self.processes.push(Process {
            tier,
            me,
            zone,
            policy,
            alive: true,
            offset,
            busy: self.now,
            inbox: VecDeque::new(),
            waking: false,
            idle: BTreeMap::new(),
            told: BTreeMap::new(),
            heard: 0,
            watching: self.day.discovery.mode == Asking::Push,
            notes: VecDeque::new(),
            open: BTreeSet::new(),
            out: BTreeSet::new(),
        });
        let process = number as ProcessAt;
        let heard = before.map_or(self.log[tier].len(), |b| self.processes[b as usize].heard);
        self.tell_stale(process, heard);
        if self.day.discovery.mode == Asking::Push {
            self.after(FIRST_LIST, Ev::News { process, whole: true });
        }
        process
    }

    /// Starts a process of a first-tier balancer, with what another had learned if that is given.
    pub(super) fn start_edge(&mut self, balancer: usize, learned: Option<LearnedState>) {
        let Edge { zone, process: before, .. } = self.edges[balancer];
        let process = self.start_process(0, balancer as u32, zone, before);
        let p = &mut self.processes[process as usize];
        if let Some(learned) = learned {
            p.policy.restore(self.now + p.offset, &learned);
        }
        self.edges[balancer].process = Some(process);
    }

    /// Starts the balancer through which a server calls the next tier.
    pub(super) fn start_behind(&mut self, server: ServerAt) {
        let s = &self.servers[server as usize];
        let (tier, zone, place) = (s.tier, s.zone, s.place);
        if tier + 1 < self.day.tiers.len() {
            let before = self.behind[server as usize];
            let me = (place - self.firsts[tier]) as u32;
            self.behind[server as usize] = Some(self.start_process(tier + 1, me, zone, before));
        }
    }

    /// A process ends, and all it holds with it; `tells` if its connections break where they can be seen.
    pub(super) fn end_process(&mut self, process: ProcessAt, tells: bool) {
        let p = &mut self.processes[process as usize];
        p.alive = false;
        p.inbox.clear();
        let (open, out) = (std::mem::take(&mut p.open), std::mem::take(&mut p.out));
        let idle = std::mem::take(&mut p.idle);
        p.notes.clear();
        for (place, idle) in idle {
            for (_, epoch) in idle.connections {
                self.disconnect(self.places[place as usize], epoch);
            }
        }
        let way = self.day.network.client.0;
        for request in open {
            let r = &mut self.requests[request as usize];
            r.closed = true;
            if let (Caller::Client { arrival, number }, true) = (r.caller, tells) {
                self.after(way, Ev::Reply { arrival, number, reply: Reply::Unreachable, useful: 0.0 });
            }
        }
        for attempt in out {
            self.end_attempt(attempt, false);
        }
    }

    pub(super) fn message(&mut self, process: ProcessAt, message: Message) {
        let p = &mut self.processes[process as usize];
        if !p.alive {
            if let Message::Request(request) = message {
                self.close(request, Reply::Unreachable, 0.0);
            }
            return;
        }
        if p.busy <= self.now && p.inbox.is_empty() {
            return self.deliver(process, message);
        }
        p.inbox.push_back(message);
        if !p.waking {
            p.waking = true;
            let at = p.busy;
            self.at(at, Ev::Wake { process });
        }
    }

    pub(super) fn wake(&mut self, process: ProcessAt) {
        let p = &mut self.processes[process as usize];
        p.waking = false;
        if let Some(message) = p.inbox.pop_front() {
            self.deliver(process, message);
        }
        let p = &mut self.processes[process as usize];
        if !p.inbox.is_empty() && !p.waking {
            p.waking = true;
            let at = p.busy.max(self.now);
            self.at(at, Ev::Wake { process });
        }
    }

    pub(super) fn note(&mut self, process: ProcessAt, note: Note) {
        let notes = &mut self.processes[process as usize].notes;
        if notes.len() >= REMEMBERED {
            notes.pop_front();
        }
        notes.push_back((self.now, note));
    }

    /// The process takes one message, which costs it time.
    fn deliver(&mut self, process: ProcessAt, message: Message) {
        let cost = self.day.balancers.event_cost.0 as f64 / self.day.balancers.cores;
        let cost = if matches!(message, Message::Timer(_)) { cost * TIMER_COST } else { cost };
        let p = &mut self.processes[process as usize];
        p.busy = p.busy.max(self.now) + cost as Micros;
        let tier = p.tier;
        let event = match message {
            Message::Request(request) => {
                self.note(process, Note::Asked { request });
                let r = &mut self.requests[request as usize];
                r.idle = self.now;
                let time_left = r.deadline.saturating_sub(self.now);
                let (class, arrival, retry) =
                    (r.class, r.arrival, matches!(r.caller, Caller::Client { number, .. } if number > 0));
                let whole = self.day.classes[class].deadline.0 as f64;
                let count = self.count(arrival, tier);
                count.requests += 1;
                count.time_left += time_left as f64 / whole;
                Event::Request {
                    id: u64::from(request),
                    class,
                    time_left,
                    tenant: self.arrivals[arrival as usize].tenant,
                    work: None,
                    marked_retry: retry,
                    body_pending: false,
                }
            }
            Message::Outcome(attempt, outcome) => {
                let a = &self.attempts[attempt as usize];
                let (request, server, number, sent) = (a.request, a.server, a.number, a.sent);
                let useful = a.job.map_or(0.0, |j| self.jobs[j as usize].useful);
                self.note(process, Note::Ended { request, server, outcome });
                let r = &mut self.requests[request as usize];
                r.out = r.out.saturating_sub(1);
                if r.out == 0 {
                    (r.attempt, r.idle) = (None, self.now);
                }
                if outcome.never_ran() && r.may_have_run.is_some_and(|(first, ..)| first == attempt) {
                    r.may_have_run = None;
                }
                if outcome == Outcome::Ok && !r.closed {
                    self.close(request, Reply::Served, useful);
                }
                Event::Outcome {
                    request: u64::from(request),
                    attempt: number,
                    server,
                    outcome,
                    latency: self.now - sent,
                    finished: self.requests[request as usize].closed,
                    body_consumed: false,
                    load: None,
                }
            }
            Message::Gone(request) => {
                if !self.requests[request as usize].closed {
                    self.requests[request as usize].closed = true;
                    self.processes[process as usize].open.remove(&request);
                }
                Event::ClientDisconnected { request: u64::from(request) }
            }
            Message::Timer(token) => Event::Timer { token },
            Message::Probed { server, outcome, took } => {
                Event::HealthChecked { server, outcome, latency: took, load: None }
            }
        };
        self.handle(process, event);
    }

    /// The policy decides, and the world does it.
    pub(super) fn handle(&mut self, process: ProcessAt, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let p = &mut self.processes[process as usize];
        let truth = Truth { servers: &self.servers, now: self.now };
        p.policy.handle(self.now + p.offset, event, &truth, &mut actions);
        for action in actions.drain(..) {
            self.act(process, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, process: ProcessAt, action: Action) {
        match action {
            Action::Send { request, server, limit } => {
                self.send(process, request as RequestAt, server, limit);
            }
            Action::Reject { request, retry_after } => {
                let request = request as RequestAt;
                let r = &self.requests[request as usize];
                if r.closed {
                    return;
                }
                if r.may_have_run.is_some() && self.day.classes[r.class].effect != Effect::Safe {
                    let what = format!("request {request} is refused though it may have run");
                    self.breach(Rule::Duplicate, process, None, what);
                }
                self.gave_up(process, request, Reply::Refused { retry_after });
            }
            Action::Fail { request } => {
                if !self.requests[request as usize].closed {
                    self.gave_up(process, request as RequestAt, Reply::Failed);
                }
            }
            Action::Cancel { request, attempt } => {
                let found = self.processes[process as usize].out.iter().rev().copied().find(|&at| {
                    let a = &self.attempts[at as usize];
                    u64::from(a.request) == request && a.number == attempt
                });
                if let Some(at) = found {
                    self.blame(at);
                    self.end_attempt(at, false);
                    self.message_later(process, Message::Outcome(at, Outcome::Cancelled));
                }
            }
            Action::HealthCheck { server } => {
                self.probe(process, server);
            }
            Action::CloseIdle { server } => {
                let place = self.servers[server as usize].place as u32;
                let Some(idle) = self.processes[process as usize].idle.get_mut(&place) else { return };
                for (_, epoch) in std::mem::take(&mut idle.connections) {
                    self.disconnect(self.places[place as usize], epoch);
                }
            }
            Action::Timer { delay, token } => {
                self.after(delay.max(1), Ev::Message { process, message: Message::Timer(token) });
            }
            Action::Watch => self.ask(process, false),
            Action::Fetch => self.ask(process, true),
        }
    }

    /// Queues a message that a process gives itself.
    fn message_later(&mut self, process: ProcessAt, message: Message) {
        self.after(1, Ev::Message { process, message });
    }

    fn gave_up(&mut self, process: ProcessAt, request: RequestAt, reply: Reply) {
        self.note(process, Note::GaveUp { request, refused: matches!(reply, Reply::Refused { .. }) });
        let r = &self.requests[request as usize];
        let cause = if r.sent == 0 { Cause::Held } else { Cause::Retry };
        let (arrival, held) = (r.arrival, self.now - r.idle);
        if r.out == 0 {
            self.arrivals[arrival as usize].charge(cause, None, held);
        }
        self.close(request, reply, 0.0);
    }

    /// A request's final answer goes to whoever asked.
    pub(super) fn close(&mut self, request: RequestAt, reply: Reply, useful: f64) {
        let r = &mut self.requests[request as usize];
        if r.closed {
            return;
        }
        r.closed = true;
        let (process, caller) = (r.process, r.caller);
        self.processes[process as usize].open.remove(&request);
        match caller {
            Caller::Client { arrival, number } => {
                let way = self.day.network.client.0;
                self.after(way, Ev::Reply { arrival, number, reply, useful });
            }
            Caller::Job(job) => {
                self.after(0, Ev::CallOver { job, ok: matches!(reply, Reply::Served), useful });
            }
        }
    }

    /// Sends an attempt, after a look at what the rules say.
    fn send(&mut self, process: ProcessAt, request: RequestAt, server: ServerAt, limit: Micros) {
        let p = &self.processes[process as usize];
        let told = p.told.get(&server).copied().unwrap_or_default();
        let zone = p.zone;
        let r = &self.requests[request as usize];
        let class = &self.day.classes[r.class];
        let (cell, tier) = {
            let s = &self.servers[server as usize];
            (s.cell, s.tier)
        };
        let number = r.sent;
        if r.closed || number >= self.day.limits.max_attempts {
            let attempt = self.new_attempt(process, request, server, limit, true);
            return self.message_later(process, Message::Outcome(attempt, Outcome::NotSent));
        }
        let mut broken: Option<(Rule, String)> = None;
        if !told.known {
            broken = Some((Rule::Drain, format!("request {request} goes to a server it was not told of")));
        }
        if let Some(out) = told.out
            && self.now > out + self.day.rules.drain_grace.0
        {
            let since = (self.now - out) as f64 / 1e6;
            broken = Some((Rule::Drain, format!("request {request} goes to a server out for {since:.2} s")));
        }
        if let Some((_, at, group)) = r.may_have_run {
            let again = match class.effect {
                Effect::Safe => true,
                Effect::Keyed => group == cell && self.now < at + class.repeats_dropped.0,
                Effect::Unsafe => false,
            };
            if !again {
                broken = Some((Rule::Duplicate, format!("request {request} may run twice")));
            }
            if r.out > 0 && !self.day.limits.second_copies {
                broken = Some((Rule::Duplicate, format!("request {request} is out twice at once")));
            }
        }
        if let Some((rule, what)) = broken {
            self.breach(rule, process, Some(server), what);
        }
        self.note(process, Note::Sent { request, server, limit });
        let r = &mut self.requests[request as usize];
        let cause = if number == 0 { Cause::Held } else { Cause::Retry };
        let (arrival, held) = (r.arrival, self.now - r.idle);
        if r.out == 0 {
            self.arrivals[arrival as usize].charge(cause, None, held);
        }
        let attempt = self.new_attempt(process, request, server, limit, false);
        self.processes[process as usize].out.insert(attempt);
        let r = &mut self.requests[request as usize];
        r.sent += 1;
        r.out += 1;
        r.attempt = Some(attempt);
        r.may_have_run = r.may_have_run.or(Some((attempt, self.now, cell)));
        self.tally.attempts += 1;
        self.count(arrival, tier).attempts += 1;
        let a = &mut self.arrivals[arrival as usize];
        a.attempts += 1;
        if tier == self.processes[process as usize].tier && self.servers[server as usize].zone != zone {
            self.tally.crossings += 1;
        }
        self.depart(attempt);
    }

    fn new_attempt(
        &mut self,
        process: ProcessAt,
        request: RequestAt,
        server: ServerAt,
        limit: Micros,
        ended: bool,
    ) -> AttemptAt {
        let to = self.places[self.servers[server as usize].place];
        let Request { sent, deadline, .. } = self.requests[request as usize];
        self.attempts.push(Attempt {
            request,
            number: sent,
            process,
            server,
            to,
            sent: self.now,
            limit: limit.max(1).min(deadline.saturating_sub(self.now).max(1)),
            ended,
            fresh: false,
            connected: false,
            epoch: self.servers[to as usize].epoch,
            job: None,
            key: 0,
        });
        let attempt = (self.attempts.len() - 1) as AttemptAt;
        self.attempts[attempt as usize].key = self.new_key(attempt);
        attempt
    }
}
