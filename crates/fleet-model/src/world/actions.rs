//! Execution of a policy's actions, with a check of each attempt against the rules.

use zincstand_policy::{Action, Micros, Outcome, RequestId};

use super::World;
use super::event::{Message, Reply, WorldEvent};
use super::index::{AttemptIndex, ProcessIndex, RequestIndex, ServerIndex};
use super::state::{PossibleRun, RecentEvent};
use crate::scenario::{Class, Idempotency};
use crate::scoring::Rule;

/// A rule that an action breaks, with a description of the action.
struct Violation {
    rule: Rule,
    description: String,
}

impl World<'_> {
    /// Executes an action of a process's policy.
    pub(super) fn apply_action(&mut self, process: ProcessIndex, action: Action) {
        match action {
            Action::Send { request, server, limit, .. } => {
                self.send(process, RequestIndex::of_id(request), server, limit);
            }
            Action::Reject { request, retry_after, .. } => {
                self.reject(process, RequestIndex::of_id(request), retry_after);
            }
            Action::Fail { request, .. } => {
                let request = RequestIndex::of_id(request);
                if !self.requests[request].closed {
                    self.remember_event(process, RecentEvent::RequestFailed { request });
                    self.give_up(request, Reply::Failed);
                }
            }
            Action::Cancel { request, attempt } => self.cancel(process, request, attempt),
            Action::HealthCheck { server } => self.health_check(process, server),
            Action::CloseIdle { server } => {
                let address = self.servers[server].address as u32;
                self.drop_idle_connections(process, address);
            }
            Action::Timer { delay, token } => {
                let message = Message::Timer(token);
                self.schedule_after(delay.max(1), WorldEvent::Message { process, message });
            }
            Action::Watch => self.call_discovery(process, true),
            Action::Fetch => self.call_discovery(process, false),
        }
    }

    fn reject(&mut self, process: ProcessIndex, request: RequestIndex, retry_after: Micros) {
        let record = &self.requests[request];
        if record.closed {
            return;
        }
        let idempotent = self.scenario.classes[record.class].idempotency == Idempotency::Idempotent;
        if record.possible_run.is_some() && !idempotent {
            let description = format!("request {request} is rejected though it may have run");
            self.record_breach(Rule::Duplicate, process, None, description);
        }
        self.remember_event(process, RecentEvent::RequestRejected { request });
        self.give_up(request, Reply::Rejected { retry_after });
    }

    fn give_up(&mut self, request: RequestIndex, reply: Reply) {
        self.charge_idle_time(request);
        self.close_request(request, reply, 0.0);
    }

    fn cancel(&mut self, process: ProcessIndex, request: RequestId, number: u32) {
        let in_flight = &self.processes[process].attempts_in_flight;
        let found = in_flight.iter().rev().copied().find(|&attempt| {
            let attempt = &self.attempts[attempt];
            u64::from(attempt.request) == request && attempt.number == number
        });
        if let Some(attempt) = found {
            self.charge_abandoned_attempt(attempt);
            self.end_attempt(attempt, false);
            self.send_to_self(process, Message::Outcome(attempt, Outcome::Cancelled));
        }
    }

    /// Sends an attempt. If it breaks a rule, the breach is recorded, and the attempt is sent nevertheless. An attempt
    /// beyond the largest number of attempts is not sent.
    fn send(&mut self, process: ProcessIndex, request: RequestIndex, server: ServerIndex, limit: Micros) {
        let record = &self.requests[request];
        if record.closed || record.attempts_sent >= self.scenario.limits.max_attempts {
            let attempt = self.new_attempt(process, request, server, limit);
            self.attempts[attempt].ended = true;
            return self.send_to_self(process, Message::Outcome(attempt, Outcome::NotSent));
        }
        if let Some(violation) = self.violation_of_send(process, request, server) {
            self.record_breach(violation.rule, process, Some(server), violation.description);
        }
        self.remember_event(process, RecentEvent::AttemptSent { request, server, limit });
        self.charge_idle_time(request);
        let attempt = self.new_attempt(process, request, server, limit);
        self.account_attempt(attempt);
        self.send_attempt(attempt);
    }

    /// Counts an attempt that is about to be sent.
    fn account_attempt(&mut self, attempt: AttemptIndex) {
        let attempt_record = &self.attempts[attempt];
        let process = &mut self.processes[attempt_record.process];
        process.attempts_in_flight.insert(attempt);
        let server = &self.servers[attempt_record.server];
        let tier = server.tier;
        let request = &mut self.requests[attempt_record.request];
        request.attempts_sent += 1;
        request.attempts_in_flight += 1;
        request.latest_attempt = Some(attempt);
        request.possible_run.get_or_insert(PossibleRun { attempt, sent_at: self.now, cell: server.cell });
        let arrival = request.arrival;
        self.metrics.attempts += 1;
        if tier == process.tier && server.zone != process.zone {
            self.metrics.cross_zone_attempts += 1;
        }
        self.tier_count(arrival, tier).attempts += 1;
        self.arrivals[arrival].attempts += 1;
    }

    /// Returns the rule that an attempt breaks if it is sent now. The rule on duplicates takes precedence over the rule
    /// on draining.
    fn violation_of_send(
        &self,
        process: ProcessIndex,
        request: RequestIndex,
        server: ServerIndex,
    ) -> Option<Violation> {
        let drain = self.drain_violation(process, request, server);
        self.duplicate_violation(request, server).or(drain)
    }

    fn drain_violation(
        &self,
        process: ProcessIndex,
        request: RequestIndex,
        server: ServerIndex,
    ) -> Option<Violation> {
        let notifications = &self.processes[process].notifications;
        let notification = notifications.get(&server).copied().unwrap_or_default();
        if let Some(not_ready_since) = notification.not_ready_since
            && self.now > not_ready_since + self.scenario.rules.drain_grace.0
        {
            let seconds = (self.now - not_ready_since) as f64 / 1e6;
            let description =
                format!("request {request} goes to a server draining or removed for {seconds:.2} s");
            return Some(Violation { rule: Rule::Drain, description });
        }
        if !notification.known {
            let description = format!("request {request} goes to a server that was on no list");
            return Some(Violation { rule: Rule::Drain, description });
        }
        None
    }

    fn duplicate_violation(&self, request: RequestIndex, server: ServerIndex) -> Option<Violation> {
        let record = &self.requests[request];
        let run = record.possible_run?;
        if record.attempts_in_flight > 0 && !self.scenario.limits.hedging {
            let description = format!("request {request} has two attempts in flight at once");
            return Some(Violation { rule: Rule::Duplicate, description });
        }
        let class = &self.scenario.classes[record.class];
        if !self.may_repeat(class, run, server) {
            let description = format!("request {request} may run twice");
            return Some(Violation { rule: Rule::Duplicate, description });
        }
        None
    }

    /// Whether a request that a server may have executed may be sent to `server`.
    fn may_repeat(&self, class: &Class, run: PossibleRun, server: ServerIndex) -> bool {
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey => {
                let same_cell = run.cell == self.servers[server].cell;
                same_cell && self.now < run.sent_at + class.dedup_window.0
            }
            Idempotency::NotIdempotent => false,
        }
    }
}
