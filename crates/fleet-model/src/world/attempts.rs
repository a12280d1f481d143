//! Attempts as their balancers handle them: creation, sending, outcome and time limit.

use zincstand_policy::{Micros, Outcome};

use super::event::{Message, WorldEvent};
use super::index::{AttemptIndex, ProcessIndex, RequestIndex, ServerIndex};
use super::state::{Attempt, AttemptConnection, Caller, Request};
use super::{World, keys};
use crate::random;
use crate::scoring::Cause;
use crate::server::JobIndex;

/// Direction of a message between an attempt's balancer and its server. Each direction has its own jitter.
#[derive(Clone, Copy)]
pub(super) enum Direction {
    /// From the balancer to the server.
    ToServer = 0,
    /// From the server to the balancer.
    ToBalancer = 1,
}

impl World<'_> {
    /// Creates an attempt. Its time limit expires no later than the deadline of its request.
    pub(super) fn new_attempt(
        &mut self,
        process: ProcessIndex,
        request: RequestIndex,
        server: ServerIndex,
        limit: Micros,
    ) -> AttemptIndex {
        let destination = self.server_at_address[self.servers[server].address];
        let Request { attempts_sent, deadline, .. } = self.requests[request];
        let time_left = deadline.saturating_sub(self.now).max(1);
        self.attempts.push(Attempt {
            request,
            number: attempts_sent,
            process,
            server,
            destination,
            sent: self.now,
            limit: limit.max(1).min(time_left),
            ended: false,
            connection: AttemptConnection::None,
            epoch: self.servers[destination].epoch,
            job: None,
            key: self.attempt_key(process, request),
        })
    }

    /// Returns the key of the random draws of a request's next attempt. It does not depend on earlier decisions of the
    /// policy.
    fn attempt_key(&self, process: ProcessIndex, request: RequestIndex) -> u64 {
        let request = &self.requests[request];
        let caller_key = match request.caller {
            Caller::Client { number, .. } => u64::from(number),
            Caller::Job(job) => self.nested_caller_key(job),
        };
        keys::attempt(request.arrival, self.processes[process].tier, request.attempts_sent, caller_key)
    }

    fn nested_caller_key(&self, job: JobIndex) -> u64 {
        let job = &self.jobs[job];
        let outer = &self.attempts[job.attempt];
        let key = keys::nested_call(job.calls_left, outer.number);
        match self.requests[outer.request].caller {
            Caller::Client { .. } => key,
            // Without the outer key, a call that is repeated in an earlier tier would draw the same numbers again.
            Caller::Job(_) => random::combine(key, outer.key),
        }
    }

    /// Returns the network latency between an attempt's balancer and its server.
    pub(super) fn attempt_latency(&self, attempt: AttemptIndex, direction: Direction) -> Micros {
        let attempt = &self.attempts[attempt];
        let from = self.processes[attempt.process].zone;
        let to = self.servers[attempt.destination].zone;
        self.network_latency(from, to, keys::attempt_message(attempt.key, direction))
    }

    /// Schedules the arrival of an outcome at the balancer.
    pub(super) fn schedule_outcome(&mut self, attempt: AttemptIndex, delay: Micros, outcome: Outcome) {
        self.schedule_after(delay, WorldEvent::AttemptAnswered { attempt, outcome });
    }

    /// Sends an outcome from the server, which reaches the balancer after the network latency.
    pub(super) fn send_outcome(&mut self, attempt: AttemptIndex, outcome: Outcome) {
        let latency = self.attempt_latency(attempt, Direction::ToBalancer);
        self.schedule_outcome(attempt, latency, outcome);
    }

    /// Sends an attempt on an idle connection or on a new one.
    pub(super) fn send_attempt(&mut self, attempt: AttemptIndex) {
        let latency = self.attempt_latency(attempt, Direction::ToServer);
        let Attempt { process, destination, limit, .. } = self.attempts[attempt];
        self.schedule_after(limit, WorldEvent::AttemptTimedOut { attempt });
        let table_full = self.servers[destination].is_connection_table_full();
        let reused = self.take_idle_connection(process, destination);
        self.attempts[attempt].connection =
            if reused { AttemptConnection::Reused } else { AttemptConnection::Connecting };
        let server = &self.servers[destination];
        let connections = &self.scenario.tiers[server.tier].connections;
        if server.vanished || self.partitioned(process, destination) {
            if !reused {
                self.schedule_outcome(attempt, connections.connect_timeout.0, Outcome::ConnectFailed);
            }
            return;
        }
        if !server.is_up() || (!reused && table_full) {
            return self.schedule_outcome(attempt, 2 * latency, Outcome::ConnectFailed);
        }
        let mut delay = latency;
        if !reused {
            self.attempts[attempt].connection = AttemptConnection::New;
            self.servers[destination].connections += 1;
            self.metrics.handshakes += 1;
            delay += (connections.handshake_round_trips * 2.0 * latency as f64) as Micros;
        }
        self.schedule_after(delay, WorldEvent::AttemptArrived { attempt });
    }

    /// Delivers an attempt's outcome to its balancer.
    pub(super) fn attempt_answered(&mut self, attempt: AttemptIndex, outcome: Outcome) {
        let Attempt { process, destination, sent, request, ended, job, .. } = self.attempts[attempt];
        if ended || !self.processes[process].alive {
            return;
        }
        // The balancer itself detects that a connection is not established. Answers do not cross a partition.
        if outcome != Outcome::ConnectFailed && self.partitioned(process, destination) {
            return;
        }
        let latency = self.now - sent;
        if let Some(cause) = self.cause_of_failure(destination, outcome, job) {
            let arrival = self.requests[request].arrival;
            self.arrivals[arrival].charge(cause, Some(destination), latency);
        }
        if outcome == Outcome::Ok {
            self.servers[destination].answered.add(latency);
        }
        let reusable = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        self.end_attempt(attempt, reusable);
        self.receive_message(process, Message::Outcome(attempt, outcome));
    }

    /// Returns the cause to which the time of a failed attempt is charged. `None` if it did not fail or its job was
    /// charged.
    fn cause_of_failure(
        &self,
        server: ServerIndex,
        outcome: Outcome,
        job: Option<JobIndex>,
    ) -> Option<Cause> {
        match outcome {
            Outcome::Error if job.is_none() => Some(Cause::Error),
            Outcome::Reset => Some(Cause::Reset),
            Outcome::ConnectFailed => Some(Cause::WrongList),
            Outcome::Rejected => Some(self.server_cause(server, Cause::Queueing)),
            _ => None,
        }
    }

    /// Ends an attempt whose time limit has expired before its outcome arrived.
    pub(super) fn attempt_timed_out(&mut self, attempt: AttemptIndex) {
        let Attempt { process, ended, .. } = self.attempts[attempt];
        if ended || !self.processes[process].alive {
            return;
        }
        self.charge_abandoned_attempt(attempt);
        self.end_attempt(attempt, false);
        self.receive_message(process, Message::Outcome(attempt, Outcome::TimedOut));
    }

    /// Ends an attempt at its balancer. A reusable connection becomes idle, and any other connection is closed.
    pub(super) fn end_attempt(&mut self, attempt: AttemptIndex, reusable: bool) {
        let record = &mut self.attempts[attempt];
        record.ended = true;
        let Attempt { process, destination, epoch, connection, .. } = *record;
        self.processes[process].attempts_in_flight.remove(&attempt);
        if !connection.is_established() {
            return;
        }
        let server = &self.servers[destination];
        let same_process = server.epoch == epoch && self.server_at_address[server.address] == destination;
        if reusable && same_process {
            self.pool_connection(process, destination, epoch);
        } else {
            self.disconnect(destination, epoch);
        }
    }
}
