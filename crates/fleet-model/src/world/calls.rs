//! Attempts on their way, and what servers do with them.

use rand::RngExt;
use zincstand_policy::{Micros, Outcome};

use super::{
    Attempt, AttemptAt, Caller, Ev, Idle, Job, Message, Phase, ProcessAt, RequestAt, ServerAt, World,
};
use crate::ramp::Landing;
use crate::random::{self, Purpose};
use crate::scoring::{Cause, Rule};
use crate::server::{Condition, JobId};

/// A server that fails fast answers after this.
const FAST: Micros = 1_000;
/// A cold server that falls over is a breach if this part of the work came from balancers that knew.
const KNEW: f64 = 2.0 / 3.0;
/// What a call has at least, however late its caller is.
const LEAST: Micros = 1_000;

impl World<'_> {
    fn key(&self, attempt: AttemptAt) -> u64 {
        self.attempts[attempt as usize].key
    }

    /// A number of its own for every attempt, the same whatever the policy did before.
    pub(super) fn new_key(&self, attempt: AttemptAt) -> u64 {
        let Attempt { request, number, process, .. } = self.attempts[attempt as usize];
        let r = &self.requests[request as usize];
        let who = match r.caller {
            Caller::Client { number, .. } => u64::from(number),
            Caller::Job(job) => {
                let job = &self.jobs[job as usize];
                let above = &self.attempts[job.attempt as usize];
                let who = u64::from(job.calls_left) << 8 | u64::from(above.number) << 16;
                match self.requests[above.request as usize].caller {
                    Caller::Client { .. } => who,
                    // Prevents a repeat further up from meeting the very draws of the attempt before.
                    Caller::Job(_) => random::pair(who, above.key),
                }
            }
        };
        let tier = self.processes[process as usize].tier as u64;
        random::pair(u64::from(r.arrival) << 8 | tier, u64::from(number) << 24 | who)
    }

    /// How long a message takes between an attempt's balancer and its server.
    fn away(&self, attempt: AttemptAt, back: u64) -> Micros {
        let a = &self.attempts[attempt as usize];
        let (from, to) = (self.processes[a.process as usize].zone, self.servers[a.to as usize].zone);
        self.way(from, to, self.key(attempt) ^ back << 60)
    }

    /// An attempt leaves its balancer, on an idle connection or on a new one.
    pub(super) fn depart(&mut self, attempt: AttemptAt) {
        let way = self.away(attempt, 0);
        let Attempt { process, to, limit, .. } = self.attempts[attempt as usize];
        self.after(limit, Ev::Limit { attempt });
        let s = &self.servers[to as usize];
        let (up, epoch, tier) = (s.up, s.epoch, s.tier);
        let unreachable = s.vanished || self.severed(process, to);
        let full = s.table_full();
        let place = s.place as u32;
        let close = self.day.tiers[tier].connections.idle_close.0;
        let p = &mut self.processes[process as usize];
        let (mut found, mut closed) = (false, 0);
        if let Some(idle) = p.idle.get_mut(&place) {
            // The end of a process shows on its connections, that of a machine does not.
            while let Some((since, to)) = idle.connections.pop_back() {
                if to == epoch && since + close > self.now {
                    found = true;
                    break;
                }
                closed += u32::from(to == epoch);
            }
        }
        for _ in 0..closed {
            self.disconnect(to, epoch);
        }
        let a = &mut self.attempts[attempt as usize];
        (a.connected, a.fresh) = (found, !found);
        if unreachable {
            if !found {
                let wait = self.day.tiers[tier].connections.connect_timeout.0;
                self.after(wait, Ev::Answer { attempt, outcome: Outcome::ConnectFailed });
            }
            return;
        }
        if !up || (!found && full) {
            return self.after(2 * way, Ev::Answer { attempt, outcome: Outcome::ConnectFailed });
        }
        let mut wait = way;
        if !found {
            a.connected = true;
            self.servers[to as usize].connections += 1;
            self.tally.handshakes += 1;
            let trips = self.day.tiers[tier].connections.handshake_trips;
            wait += (trips * 2.0 * way as f64) as Micros;
        }
        self.after(wait, Ev::Land { attempt });
    }

    /// Calls of the next tier that a request makes.
    fn calls(&self, arrival: u32, tier: usize) -> u32 {
        let mean = self.day.tiers[tier].calls;
        let drawn =
            random::unit(self.day.seed, Purpose::Request, random::pair(u64::from(arrival), 77 + tier as u64));
        mean as u32 + u32::from(drawn < mean.fract())
    }

    /// Work that an attempt is for its server.
    fn work_of(&self, attempt: AttemptAt) -> f64 {
        let a = &self.attempts[attempt as usize];
        let r = &self.requests[a.request as usize];
        let s = &self.servers[a.to as usize];
        let class = &self.day.classes[r.class];
        let mut rng = random::stream(self.day.seed, Purpose::Attempt, self.key(attempt));
        let noise = random::factor(&mut rng, crate::scenario::Spread::Lognormal, class.attempt_noise);
        let mut work = self.arrivals[r.arrival as usize].work * self.day.tiers[s.tier].work * noise;
        for &(fault, class, share, factor) in &self.heavy {
            let key = random::pair(u64::from(r.arrival), 1_000_000 + u64::from(fault));
            if class == r.class && random::unit(self.day.seed, Purpose::Request, key) < share {
                work *= factor;
            }
        }
        match s.slow {
            Some((factor, Some(class))) if class == r.class => work * factor,
            _ => work,
        }
    }

    /// A request reaches its server.
    pub(super) fn land(&mut self, attempt: AttemptAt) {
        let Attempt { request, process, to, fresh, ended, epoch, .. } = self.attempts[attempt as usize];
        if ended && fresh {
            // It was given up before its connection was up.
            return;
        }
        let way = self.away(attempt, 1);
        let s = &self.servers[to as usize];
        if s.vanished || self.severed(process, to) {
            return;
        }
        if !s.up || s.epoch != epoch {
            let outcome = if fresh { Outcome::ConnectFailed } else { Outcome::Reset };
            return self.after(way, Ev::Answer { attempt, outcome });
        }
        let (tier, key) = (s.tier, self.key(attempt));
        let work = self.work_of(attempt);
        let handshake = if fresh { self.day.tiers[tier].connections.handshake_work.0 as f64 } else { 0.0 };
        let told = self.processes[process as usize].told.get(&to);
        let s = &mut self.servers[to as usize];
        let knew = told.is_some_and(|t| t.started == s.started);
        if let (Some(watch), Some(started)) = (&mut self.watch, s.started) {
            let work = work + handshake;
            watch.landings.push(Landing { server: to, started, at: self.now, work, told: knew });
        }
        let rules = &self.day.rules;
        let pushed = s.push(self.now, work + handshake, knew, rules.overload_factor, rules.tip_after.0);
        // A watched one stays up, so that all it gets is seen.
        if let Some(known) = pushed.filter(|_| self.watch.is_none()) {
            s.fallen = true;
            self.fallen += 1;
            if known >= KNEW {
                let what = format!("server {to} was pushed over while cold, {:.0}% knowingly", known * 100.0);
                self.breach(Rule::Cold, process, Some(to), what);
            }
            self.stop_server(to, true);
            return self.after(way, Ev::Answer { attempt, outcome: Outcome::Reset });
        }
        if s.silent {
            return;
        }
        if s.draining || s.full() {
            return self.after(way, Ev::Answer { attempt, outcome: Outcome::Rejected });
        }
        if random::unit(self.day.seed, Purpose::Fate, key) < s.failing {
            return self.after(way + FAST, Ev::Answer { attempt, outcome: Outcome::Error });
        }
        if random::unit(self.day.seed, Purpose::Fate, key ^ 1) < s.breaking {
            let mut rng = random::stream(self.day.seed, Purpose::Fate, key ^ 2);
            let at = (work * rng.random::<f64>()) as Micros;
            self.after(way + at, Ev::Answer { attempt, outcome: Outcome::Reset });
        }
        let r = &self.requests[request as usize];
        let arrival = r.arrival;
        let calls = self.calls(arrival, tier);
        let each = work / f64::from(calls + 1);
        let job = self.jobs.len() as JobId;
        self.jobs.push(Job {
            attempt,
            server: to,
            epoch,
            arrival,
            phase: Phase::Waiting,
            since: self.now,
            segment: each + handshake,
            each,
            calls_left: calls,
            useful: 0.0,
            call: None,
        });
        self.attempts[attempt as usize].job = Some(job);
        let s = &mut self.servers[to as usize];
        s.advance(self.now);
        if s.admit(job, each + handshake) {
            self.jobs[job as usize].phase = Phase::Running;
        }
        self.replan(to);
    }

    /// A server's next change: jobs are done, or it has choked or recovered.
    pub(super) fn step(&mut self, server: ServerAt, plan: u32) {
        let s = &mut self.servers[server as usize];
        if s.plan != plan {
            return;
        }
        s.advance(self.now);
        while let Some(job) = self.servers[server as usize].done() {
            self.segment_done(server, job);
        }
        self.replan(server);
    }

    /// What a server's state makes of time spent there.
    fn cause(&self, server: ServerAt, otherwise: Cause) -> Cause {
        match self.servers[server as usize].condition(self.now) {
            Condition::Well => otherwise,
            Condition::Cold => Cause::Cold,
            Condition::Choked => Cause::Choke,
            Condition::Silent => Cause::Silent,
            Condition::Slowed => Cause::Slowed,
        }
    }

    fn segment_done(&mut self, server: ServerAt, job: JobId) {
        let cause = self.cause(server, Cause::Queueing);
        let j = &mut self.jobs[job as usize];
        let (segment, elapsed, arrival) = (j.segment, self.now - j.since, j.arrival);
        j.useful += segment;
        self.tally.work += segment;
        let s = &mut self.servers[server as usize];
        s.pending = (s.pending - segment).max(0.0);
        let tier = s.tier;
        self.count(arrival, tier).work += segment;
        let own = elapsed.min(segment as Micros);
        let a = &mut self.arrivals[arrival as usize];
        a.charge(Cause::Work, None, own);
        a.charge(cause, Some(server), elapsed - own);
        let j = &mut self.jobs[job as usize];
        if j.calls_left == 0 {
            return self.finish(job, Outcome::Ok);
        }
        j.calls_left -= 1;
        (j.phase, j.since) = (Phase::Calling, self.now);
        let attempt = j.attempt;
        let alive = |p: &ProcessAt| self.processes[*p as usize].alive;
        let Some(process) = self.behind[server as usize].filter(alive) else {
            return self.finish(job, Outcome::Error);
        };
        let a = &self.attempts[attempt as usize];
        let class = self.requests[a.request as usize].class;
        let left = if self.day.passes_deadline {
            (a.sent + a.limit).saturating_sub(self.now).max(LEAST)
        } else {
            self.day.classes[class].deadline.0
        };
        let request = self.new_request(process, Caller::Job(job), arrival, class, self.now + left);
        self.jobs[job as usize].call = Some(request);
        self.after(0, Ev::Message { process, message: Message::Request(request) });
    }

    /// A server's call is over: it goes on with the request, or fails it.
    pub(super) fn call_over(&mut self, job: JobId, ok: bool, useful: f64) {
        let j = &mut self.jobs[job as usize];
        let server = j.server;
        j.call = None;
        if self.servers[server as usize].epoch != j.epoch {
            return;
        }
        if ok {
            j.useful += useful;
            (j.phase, j.since, j.segment) = (Phase::Running, self.now, j.each);
            let each = j.each;
            let s = &mut self.servers[server as usize];
            s.advance(self.now);
            s.pending += each;
            s.run(job, each);
        } else {
            self.servers[server as usize].advance(self.now);
            self.finish(job, Outcome::Error);
        }
        self.replan(server);
    }

    /// A job leaves its server with an answer; the next one that waits takes its slot.
    fn finish(&mut self, job: JobId, outcome: Outcome) {
        let Job { attempt, server, .. } = self.jobs[job as usize];
        let vanished = self.servers[server as usize].vanished;
        if !vanished && !self.attempts[attempt as usize].ended {
            let way = self.away(attempt, 1);
            self.after(way, Ev::Answer { attempt, outcome });
        }
        let Some(next) = self.servers[server as usize].leave(job) else { return };
        let cause = self.cause(server, Cause::Queueing);
        let j = &mut self.jobs[next as usize];
        let (waited, segment, arrival) = (self.now - j.since, j.segment, j.arrival);
        (j.phase, j.since) = (Phase::Running, self.now);
        self.servers[server as usize].run(next, segment);
        self.arrivals[arrival as usize].charge(cause, Some(server), waited);
    }

    /// An attempt's end reaches its balancer.
    pub(super) fn answer(&mut self, attempt: AttemptAt, outcome: Outcome) {
        let Attempt { process, to, sent, request, ended, job, .. } = self.attempts[attempt as usize];
        if ended || !self.processes[process as usize].alive {
            return;
        }
        // A connection that did not come up is seen on this side of a cut, an answer does not cross it.
        if outcome != Outcome::ConnectFailed && self.severed(process, to) {
            return;
        }
        let cause = match outcome {
            Outcome::Error if job.is_none() => Some(Cause::Error),
            Outcome::Reset => Some(Cause::Reset),
            Outcome::ConnectFailed => Some(Cause::WrongList),
            Outcome::Rejected => Some(self.cause(to, Cause::Queueing)),
            _ => None,
        };
        if let Some(cause) = cause {
            let arrival = self.requests[request as usize].arrival;
            self.arrivals[arrival as usize].charge(cause, Some(to), self.now - sent);
        }
        if outcome == Outcome::Ok {
            let (count, sum) = &mut self.servers[to as usize].answered;
            (*count, *sum) = (*count + 1, *sum + (self.now - sent));
        }
        let kept = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        self.end_attempt(attempt, kept);
        self.message(process, Message::Outcome(attempt, outcome));
    }

    /// An attempt's time is over before its answer came.
    pub(super) fn limit(&mut self, attempt: AttemptAt) {
        let Attempt { process, ended, .. } = self.attempts[attempt as usize];
        if ended || !self.processes[process as usize].alive {
            return;
        }
        self.blame(attempt);
        self.end_attempt(attempt, false);
        self.message(process, Message::Outcome(attempt, Outcome::TimedOut));
    }

    /// Books the time of an attempt that is given up to what keeps it.
    pub(super) fn blame(&mut self, attempt: AttemptAt) {
        let Attempt { to, sent, request, job, .. } = self.attempts[attempt as usize];
        let arrival = self.requests[request as usize].arrival;
        let Some(job) = job else {
            let cause = self.cause(to, Cause::TimeOut);
            return self.arrivals[arrival as usize].charge(cause, Some(to), self.now - sent);
        };
        let Job { phase, since, call, .. } = self.jobs[job as usize];
        let spent = self.now - since;
        match (phase, call) {
            (Phase::Calling, Some(call)) => self.blame_call(call),
            (Phase::Waiting, _) => {
                let cause = self.cause(to, Cause::Queueing);
                self.arrivals[arrival as usize].charge(cause, Some(to), spent);
            }
            _ => {
                let cause = self.cause(to, Cause::TimeOut);
                self.arrivals[arrival as usize].charge(cause, Some(to), spent);
            }
        }
    }

    fn blame_call(&mut self, call: RequestAt) {
        let r = &self.requests[call as usize];
        match r.attempt.filter(|a| !self.attempts[*a as usize].ended) {
            Some(attempt) => self.blame(attempt),
            None => {
                let (arrival, held) = (r.arrival, self.now - r.idle);
                self.arrivals[arrival as usize].charge(Cause::Held, None, held);
            }
        }
    }

    /// The balancer is done with an attempt; its connection is kept or closed.
    pub(super) fn end_attempt(&mut self, attempt: AttemptAt, kept: bool) {
        let a = &mut self.attempts[attempt as usize];
        a.ended = true;
        let (process, to, epoch, connected) = (a.process, a.to, a.epoch, a.connected);
        self.processes[process as usize].out.remove(&attempt);
        if !connected {
            return;
        }
        let s = &self.servers[to as usize];
        if !kept || s.epoch != epoch || self.places[s.place] != to {
            return self.disconnect(to, epoch);
        }
        let place = s.place as u32;
        let close = self.day.tiers[s.tier].connections.idle_close.0;
        let idle: &mut Idle = self.processes[process as usize].idle.entry(place).or_default();
        idle.connections.push_back((self.now, epoch));
        if !idle.looked_over {
            idle.looked_over = true;
            self.after(close, Ev::Prune { process, place });
        }
    }

    /// Servers close what has been idle for long.
    pub(super) fn prune(&mut self, process: ProcessAt, place: u32) {
        let server = self.places[place as usize];
        let s = &self.servers[server as usize];
        let (epoch, close) = (s.epoch, self.day.tiers[s.tier].connections.idle_close.0);
        let Some(idle) = self.processes[process as usize].idle.get_mut(&place) else { return };
        let mut closed = 0;
        while let Some(&(since, to)) = idle.connections.front() {
            if to == epoch && since + close > self.now {
                break;
            }
            closed += u32::from(to == epoch);
            idle.connections.pop_front();
        }
        let next = idle.connections.front().map(|(since, _)| since + close);
        idle.looked_over = next.is_some();
        for _ in 0..closed {
            self.disconnect(server, epoch);
        }
        if let Some(at) = next {
            self.at(at, Ev::Prune { process, place });
        }
    }

    /// A probe is answered beside the queue; it tells that the process runs, and costs work.
    pub(super) fn probe(&mut self, process: ProcessAt, server: ServerAt) {
        self.tally.probes += 1;
        let number = random::pair(u64::from(process) << 32 | u64::from(server), self.now);
        let way = self.way(self.processes[process as usize].zone, self.servers[server as usize].zone, number);
        let to = self.places[self.servers[server as usize].place];
        let t = &self.day.tiers[self.servers[to as usize].tier];
        let s = &mut self.servers[to as usize];
        let (outcome, took) = if s.vanished || s.silent {
            (Outcome::TimedOut, t.connections.connect_timeout.0)
        } else if !s.up {
            (Outcome::ConnectFailed, 2 * way)
        } else {
            s.advance(self.now);
            s.spend(t.probe_work.0 as f64);
            self.replan(to);
            (Outcome::Ok, 2 * way)
        };
        self.after(took, Ev::Message { process, message: Message::Probed { server, outcome, took } });
    }

    pub(super) fn disconnect(&mut self, server: ServerAt, epoch: u32) {
        let s = &mut self.servers[server as usize];
        if s.epoch == epoch && s.connections > 0 {
            s.connections -= 1;
        }
    }

    /// A server's process ends with all it holds.
    pub(super) fn stop_server(&mut self, server: ServerAt, tells: bool) {
        let jobs = self.servers[server as usize].stop();
        for job in jobs {
            let attempt = self.jobs[job as usize].attempt;
            if tells && !self.attempts[attempt as usize].ended {
                let way = self.away(attempt, 1);
                self.after(way, Ev::Answer { attempt, outcome: Outcome::Reset });
            }
        }
        if let Some(process) = self.behind[server as usize].filter(|p| self.processes[*p as usize].alive) {
            self.end_process(process, false);
        }
    }
}
