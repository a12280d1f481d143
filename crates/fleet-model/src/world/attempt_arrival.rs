//! Arrival of attempts at their servers: failures on arrival, collapse of warming servers, and the start of jobs.

use rand::RngExt;
use zincstand_policy::{Micros, Outcome};

use super::attempts::Direction;
use super::index::{ArrivalIndex, AttemptIndex, ProcessIndex, ServerIndex};
use super::recording::ArrivalAtServer;
use super::state::{Attempt, Job, JobPhase};
use super::{World, keys};
use crate::random::{self, Purpose};
use crate::scenario::DistributionKind;
use crate::scoring::Rule;
use crate::server::{JobAdmission, OverloadRule, Slowdown, WarmUpWork};

/// Time that a server takes to answer a request that it fails immediately.
const FAST_ERROR_DELAY: Micros = 1_000;
/// The collapse of a warming server breaks a rule if at least this share of the work came from balancers that had been
/// notified of its start.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;

impl World<'_> {
    /// Delivers an attempt to its server.
    pub(super) fn attempt_arrived(&mut self, attempt: AttemptIndex) {
        let Attempt { process, destination, connection, ended, epoch, .. } = self.attempts[attempt];
        if ended && connection.is_new() {
            // The balancer gave the attempt up before its connection was established.
            return;
        }
        let server = &self.servers[destination];
        if server.vanished || self.partitioned(process, destination) {
            return;
        }
        if !server.is_up() || server.epoch != epoch {
            let outcome = if connection.is_new() { Outcome::ConnectFailed } else { Outcome::Reset };
            return self.send_outcome(attempt, outcome);
        }
        let work = self.attempt_work(attempt);
        let handshake_work = if connection.is_new() {
            self.scenario.tiers[server.tier].connections.handshake_work.0 as f64
        } else {
            0.0
        };
        if let Some(informed_share) = self.record_warm_up_work(attempt, work + handshake_work) {
            self.collapse_server(destination, process, informed_share);
            return self.send_outcome(attempt, Outcome::Reset);
        }
        if !self.fails_on_arrival(attempt, work) {
            self.start_job(attempt, work, handshake_work);
        }
    }

    /// Counts the work of an attempt if its server is warming up. If the server collapses, returns the share of the
    /// work whose senders had been notified of its start.
    fn record_warm_up_work(&mut self, attempt: AttemptIndex, work: f64) -> Option<f64> {
        let Attempt { process, destination, .. } = self.attempts[attempt];
        let notification = self.processes[process].notifications.get(&destination);
        let server = &mut self.servers[destination];
        let informed = notification.is_some_and(|notification| notification.started == server.started);
        if let (Some(recording), Some(started)) = (&mut self.start_recording, server.started) {
            recording.arrivals.push(ArrivalAtServer {
                server: destination,
                started,
                at: self.now,
                work,
                informed,
            });
        }
        let rules = &self.scenario.rules;
        let rule = OverloadRule { factor: rules.overload_factor, window: rules.overload_window.0 };
        let informed_share = server.record_warm_up_work(WarmUpWork { at: self.now, work, informed }, rule);
        // During a recording, servers do not collapse, so that the recording is complete.
        informed_share.filter(|_| self.start_recording.is_none())
    }

    /// Collapses a warming server under the work that it received, the last of it from `process`.
    fn collapse_server(&mut self, server: ServerIndex, process: ProcessIndex, informed_share: f64) {
        self.collapsed += 1;
        if informed_share >= MIN_INFORMED_SHARE {
            let percent = informed_share * 100.0;
            let description = format!(
                "server {server} was overloaded while warming up, {percent:.0}% of the work from balancers notified of its start"
            );
            self.record_breach(Rule::WarmUpOverload, process, Some(server), description);
        }
        self.stop_server(server);
        self.servers[server].collapse();
    }

    /// Whether an attempt fails before its server starts to work on it. If so, schedules its outcome, unless the
    /// server is silent.
    fn fails_on_arrival(&mut self, attempt: AttemptIndex, work: f64) -> bool {
        let Attempt { destination, key, .. } = self.attempts[attempt];
        let latency = self.attempt_latency(attempt, Direction::ToBalancer);
        let server = &self.servers[destination];
        if server.silent {
            return true;
        }
        if server.is_draining() || server.is_full() {
            self.schedule_outcome(attempt, latency, Outcome::Rejected);
            return true;
        }
        if random::unit(self.scenario.seed, Purpose::Failure, keys::attempt_error(key)) < server.error_rate {
            self.schedule_outcome(attempt, latency + FAST_ERROR_DELAY, Outcome::Error);
            return true;
        }
        if random::unit(self.scenario.seed, Purpose::Failure, keys::attempt_reset(key)) < server.reset_rate {
            // The server keeps working on the attempt after the connection has broken.
            let mut rng = random::stream(self.scenario.seed, Purpose::Failure, keys::attempt_reset_time(key));
            let breaks_after = (work * rng.random::<f64>()) as Micros;
            self.schedule_outcome(attempt, latency + breaks_after, Outcome::Reset);
        }
        false
    }

    /// Starts the job of an attempt at its server, or queues it.
    fn start_job(&mut self, attempt: AttemptIndex, work: f64, handshake_work: f64) {
        let Attempt { request, destination, epoch, .. } = self.attempts[attempt];
        let arrival = self.requests[request].arrival;
        let calls = self.nested_calls(arrival, self.servers[destination].tier);
        let segment_between_calls = work / f64::from(calls + 1);
        let segment = segment_between_calls + handshake_work;
        let job = self.jobs.next_index();
        self.attempts[attempt].job = Some(job);
        let server = &mut self.servers[destination];
        server.advance(self.now);
        let phase = match server.admit(job, segment) {
            JobAdmission::Running => JobPhase::Running,
            JobAdmission::Waiting => JobPhase::Waiting,
        };
        self.jobs.push(Job {
            attempt,
            server: destination,
            epoch,
            arrival,
            phase,
            since: self.now,
            segment,
            segment_between_calls,
            calls_left: calls,
            useful: 0.0,
            call: None,
        });
        self.plan_next_change(destination);
    }

    /// Returns the number of calls of the next tier that a request makes in a tier.
    fn nested_calls(&self, arrival: ArrivalIndex, tier: usize) -> u32 {
        let mean = self.scenario.tiers[tier].calls;
        let key = keys::call_count(arrival, tier);
        let drawn = random::unit(self.scenario.seed, Purpose::Request, key);
        mean as u32 + u32::from(drawn < mean.fract())
    }

    /// Returns the work of an attempt at its server, in microseconds.
    fn attempt_work(&self, attempt: AttemptIndex) -> f64 {
        let attempt = &self.attempts[attempt];
        let request = &self.requests[attempt.request];
        let server = &self.servers[attempt.destination];
        let class = &self.scenario.classes[request.class];
        let mut rng = random::stream(self.scenario.seed, Purpose::Attempt, attempt.key);
        let noise = random::factor(&mut rng, DistributionKind::Lognormal, class.attempt_noise);
        let tier_work = self.scenario.tiers[server.tier].work;
        let mut work = self.arrivals[request.arrival].work * tier_work * noise;
        for heavy in &self.heavy_tails {
            let key = keys::heavy_tail(request.arrival, heavy.fault);
            if heavy.class == request.class
                && random::unit(self.scenario.seed, Purpose::Request, key) < heavy.share
            {
                work *= heavy.factor;
            }
        }
        match server.slowdown {
            Some(Slowdown { factor, class: Some(class) }) if class == request.class => work * factor,
            _ => work,
        }
    }
}
