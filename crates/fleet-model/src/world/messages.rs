//! Messages to balancer processes, which handle one message at a time, and the resulting events for the policy.

use zincstand_policy::{Event, Micros, Outcome};

use super::World;
use super::event::{Message, Reply, WorldEvent};
use super::index::{AttemptIndex, ProcessIndex, RequestIndex};
use super::state::{Caller, RecentEvent};
use crate::server::GroundTruth;

/// Processor time for a timer, as a share of that for any other message.
const TIMER_COST_SHARE: f64 = 0.1;

impl World<'_> {
    /// Delivers a message to a process, which handles it immediately or queues it while it is busy.
    pub(super) fn receive_message(&mut self, process: ProcessIndex, message: Message) {
        let record = &mut self.processes[process];
        if !record.alive {
            if let Message::Request(request) = message {
                self.close_request(request, Reply::Unreachable, 0.0);
            }
            return;
        }
        if record.busy_until <= self.now && record.inbox.is_empty() {
            return self.process_message(process, message);
        }
        record.inbox.push_back(message);
        if !record.wake_scheduled {
            record.wake_scheduled = true;
            let at = record.busy_until;
            self.schedule_at(at, WorldEvent::ProcessReady { process });
        }
    }

    /// Handles the next message of a process that was busy.
    pub(super) fn process_ready(&mut self, process: ProcessIndex) {
        let record = &mut self.processes[process];
        record.wake_scheduled = false;
        if let Some(message) = record.inbox.pop_front() {
            self.process_message(process, message);
        }
        let record = &mut self.processes[process];
        if !record.inbox.is_empty() && !record.wake_scheduled {
            record.wake_scheduled = true;
            let at = record.busy_until.max(self.now);
            self.schedule_at(at, WorldEvent::ProcessReady { process });
        }
    }

    /// Schedules a message from a process to itself, for the next instant.
    pub(super) fn send_to_self(&mut self, process: ProcessIndex, message: Message) {
        self.schedule_after(1, WorldEvent::Message { process, message });
    }

    /// Spends the processor time of a process for a message, and passes the message to the policy.
    fn process_message(&mut self, process: ProcessIndex, message: Message) {
        let cost = self.message_cost(message);
        let record = &mut self.processes[process];
        record.busy_until = record.busy_until.max(self.now) + cost;
        let event = match message {
            Message::Request(request) => self.request_event(process, request),
            Message::Outcome(attempt, outcome) => self.outcome_event(process, attempt, outcome),
            Message::ClientDisconnected(request) => self.disconnect_event(process, request),
            Message::Timer(token) => Event::Timer { token },
            Message::HealthChecked { server, outcome, latency } => {
                Event::HealthChecked { server, outcome, latency, load: None }
            }
        };
        self.handle_policy_event(process, event);
    }

    fn message_cost(&self, message: Message) -> Micros {
        let balancers = &self.scenario.balancers;
        let cost = balancers.event_cost.0 as f64 / balancers.cores;
        let cost = if matches!(message, Message::Timer(_)) { cost * TIMER_COST_SHARE } else { cost };
        cost as Micros
    }

    fn request_event(&mut self, process: ProcessIndex, request: RequestIndex) -> Event {
        self.remember_event(process, RecentEvent::RequestReceived { request });
        let record = &mut self.requests[request];
        record.idle_since = self.now;
        let time_left = record.deadline.saturating_sub(self.now);
        let class = record.class;
        let arrival = record.arrival;
        let marked_retry = matches!(record.caller, Caller::Client { number, .. } if number > 0);
        let full_deadline = self.scenario.classes[class].deadline.0 as f64;
        let tier = self.processes[process].tier;
        let count = self.tier_count(arrival, tier);
        count.requests += 1;
        count.time_left += time_left as f64 / full_deadline;
        Event::Request {
            id: u64::from(request),
            class,
            time_left,
            tenant: self.arrivals[arrival].tenant,
            work: None,
            marked_retry,
            body_pending: false,
        }
    }

    fn outcome_event(&mut self, process: ProcessIndex, attempt: AttemptIndex, outcome: Outcome) -> Event {
        let attempt_record = &self.attempts[attempt];
        let request = attempt_record.request;
        let server = attempt_record.server;
        let number = attempt_record.number;
        let latency = self.now - attempt_record.sent;
        let useful = attempt_record.job.map_or(0.0, |job| self.jobs[job].useful);
        self.remember_event(process, RecentEvent::AttemptEnded { request, server, outcome });
        let record = &mut self.requests[request];
        record.attempts_in_flight = record.attempts_in_flight.saturating_sub(1);
        if record.attempts_in_flight == 0 {
            record.latest_attempt = None;
            record.idle_since = self.now;
        }
        if outcome.never_ran() && record.possible_run.is_some_and(|run| run.attempt == attempt) {
            record.possible_run = None;
        }
        if outcome == Outcome::Ok && !record.closed {
            self.close_request(request, Reply::Served, useful);
        }
        Event::Outcome {
            request: u64::from(request),
            attempt: number,
            server,
            outcome,
            latency,
            finished: self.requests[request].closed,
            body_consumed: false,
            load: None,
        }
    }

    fn disconnect_event(&mut self, process: ProcessIndex, request: RequestIndex) -> Event {
        let record = &mut self.requests[request];
        if !record.closed {
            record.closed = true;
            self.processes[process].open_requests.remove(&request);
        }
        Event::ClientDisconnected { request: u64::from(request) }
    }

    /// Passes an event to the policy of a process and executes the resulting actions.
    pub(super) fn handle_policy_event(&mut self, process: ProcessIndex, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let record = &mut self.processes[process];
        let truth = GroundTruth { servers: self.servers.as_slice(), now: self.now };
        record.policy.handle(self.now + record.clock_offset, event, &truth, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(process, action);
        }
        self.actions = actions;
    }

    /// Closes a request and sends the final response to its caller. Has no effect on a closed request.
    pub(super) fn close_request(&mut self, request: RequestIndex, reply: Reply, useful: f64) {
        let record = &mut self.requests[request];
        if record.closed {
            return;
        }
        record.closed = true;
        self.processes[record.process].open_requests.remove(&request);
        match record.caller {
            Caller::Client { arrival, number } => {
                let latency = self.scenario.network.client.0;
                let event = WorldEvent::ReplyArrived { arrival, number, reply, useful };
                self.schedule_after(latency, event);
            }
            Caller::Job(job) => {
                let ok = matches!(reply, Reply::Served);
                self.schedule_after(0, WorldEvent::NestedCallEnded { job, ok, useful });
            }
        }
    }
}
