//! Clients: the choice of a balancer, time limits, and retries.

use zincstand_policy::Micros;

use super::arrivals::weighted_index;
use super::event::{Message, Reply, WorldEvent};
use super::index::{ArrivalIndex, ProcessIndex, RequestIndex};
use super::state::{Caller, ClientAttempt, FrontBalancer, Request};
use super::{World, keys};
use crate::random::{self, Purpose};
use crate::scenario::Idempotency;
use crate::scoring::{Cause, RequestEnd, Rule};

/// Shortest time limit with which a client still sends an attempt.
const MIN_ATTEMPT_TIME: Micros = 1_000;
/// Number of retries after which the backoff no longer doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

impl World<'_> {
    /// Sets whether clients open connections to a balancer.
    pub(super) fn front_update(&mut self, balancer: u32, open: bool) {
        self.front_balancers[balancer as usize].listed = open;
        self.update_front_routes();
    }

    /// Routes clients to the balancers of their zone, or to all balancers if their zone has none.
    pub(super) fn update_front_routes(&mut self) {
        let listed = |in_zone: &dyn Fn(&FrontBalancer) -> bool| -> Vec<u32> {
            let balancers = self.front_balancers.iter().enumerate();
            let accepting = balancers.filter(|(_, balancer)| balancer.listed && in_zone(balancer));
            accepting.map(|(index, _)| index as u32).collect()
        };
        let route = |zone: u32| {
            let local = listed(&|balancer| balancer.zone == zone);
            if local.is_empty() { listed(&|_| true) } else { local }
        };
        self.front_routes = (0..self.front_routes.len() as u32).map(route).collect();
    }

    /// Returns the time limit of an attempt that a client sends now. It expires no later than the deadline.
    fn client_time_limit(&self, arrival: ArrivalIndex) -> Micros {
        let arrival = &self.arrivals[arrival];
        let deadline = self.scenario.classes[arrival.class].deadline.0;
        let per_attempt = (deadline as f64 * self.scenario.clients.attempt_timeout_share) as Micros;
        per_attempt.min((arrival.at + deadline).saturating_sub(self.now))
    }

    /// Sends an attempt of a client to a balancer.
    pub(super) fn send_client_attempt(&mut self, arrival: ArrivalIndex, number: u32) {
        let limit = self.client_time_limit(arrival);
        if limit < MIN_ATTEMPT_TIME {
            return self.client_attempt_failed(arrival, number, Reply::Failed);
        }
        if number == 0 {
            self.metrics.first_attempts += 1;
        } else {
            self.metrics.client_retries += 1;
        }
        self.client_attempts[arrival] = ClientAttempt { number, pending: true };
        self.schedule_after(limit, WorldEvent::ClientAttemptTimedOut { arrival, number });
        let latency = self.scenario.network.client.0;
        let key = keys::client_attempt(arrival, number);
        match self.choose_front_process(arrival, key) {
            Ok(process) => self.call_balancer(process, arrival, number, limit),
            Err(reply) => {
                let event = WorldEvent::ReplyArrived { arrival, number, reply, useful: 0.0 };
                self.schedule_after(2 * latency, event);
            }
        }
    }

    /// Chooses the process that a client connects to.
    ///
    /// # Errors
    ///
    /// No process accepts the connection; the error is the reply to the client.
    fn choose_front_process(&self, arrival: ArrivalIndex, key: u64) -> Result<ProcessIndex, Reply> {
        let drawn = random::unit(self.scenario.seed, Purpose::BalancerChoice, key);
        let route = &self.front_routes[self.arrivals[arrival].zone as usize];
        let shares = &self.scenario.balancers.shares;
        let index = if shares.is_empty() {
            (drawn * route.len() as f64) as usize
        } else {
            weighted_index(drawn, route.iter().map(|&balancer| shares[balancer as usize]))
        };
        let balancer = route.get(index).map(|&balancer| &self.front_balancers[balancer as usize]);
        let process = balancer.and_then(|balancer| balancer.process);
        let alive = process.filter(|process| self.processes[*process].alive);
        let process = alive.ok_or(Reply::Unreachable)?;
        let open_requests = self.processes[process].open_requests.len();
        if open_requests >= self.scenario.limits.max_open_requests.max(1) as usize {
            return Err(Reply::Rejected { retry_after: 0 });
        }
        Ok(process)
    }

    fn call_balancer(&mut self, process: ProcessIndex, arrival: ArrivalIndex, number: u32, limit: Micros) {
        let latency = self.scenario.network.client.0;
        let class = self.arrivals[arrival].class;
        let caller = Caller::Client { arrival, number };
        let deadline = self.now + latency + limit;
        let request = self.new_request(process, caller, arrival, class, deadline);
        let message = Message::Request(request);
        self.schedule_after(latency, WorldEvent::Message { process, message });
        let key = keys::client_attempt(arrival, number);
        let drawn = random::unit(self.scenario.seed, Purpose::Client, key);
        let impatient = self.scenario.clients.early_cancel_share;
        if drawn < impatient {
            // The client disconnects before its time limit, and does not wait for an answer.
            let disconnects_after = (limit as f64 * drawn / impatient) as Micros;
            let message = Message::ClientDisconnected(request);
            self.schedule_after(disconnects_after + latency, WorldEvent::Message { process, message });
        }
    }

    /// Registers a request that is on its way to a process.
    pub(super) fn new_request(
        &mut self,
        process: ProcessIndex,
        caller: Caller,
        arrival: ArrivalIndex,
        class: usize,
        deadline: Micros,
    ) -> RequestIndex {
        let request = self.requests.push(Request {
            process,
            caller,
            arrival,
            class,
            deadline,
            closed: false,
            attempts_sent: 0,
            attempts_in_flight: 0,
            possible_run: None,
            idle_since: self.now,
            latest_attempt: None,
        });
        self.processes[process].open_requests.insert(request);
        let due = deadline + self.scenario.rules.response_grace.0;
        self.schedule_at(due, WorldEvent::AnswerDue { request });
        request
    }

    /// Checks that a request has its final answer after its deadline and the grace time.
    pub(super) fn answer_due(&mut self, request: RequestIndex) {
        let record = &self.requests[request];
        let process = record.process;
        if record.closed || !self.processes[process].alive {
            return;
        }
        self.record_breach(Rule::Lost, process, None, format!("request {request} has no final answer"));
        self.close_request(request, Reply::Failed, 0.0);
        self.receive_message(process, Message::ClientDisconnected(request));
    }

    /// Ends an attempt of a client whose time limit has expired.
    pub(super) fn client_attempt_timed_out(&mut self, arrival: ArrivalIndex, number: u32) {
        if self.client_attempts[arrival].waits_for(number) {
            self.client_attempt_failed(arrival, number, Reply::Failed);
        }
    }

    /// Delivers a reply to a client. It has no effect if the client no longer waits for the reply.
    pub(super) fn reply_arrived(&mut self, arrival: ArrivalIndex, number: u32, reply: Reply, useful: f64) {
        if !self.client_attempts[arrival].waits_for(number) {
            return;
        }
        if let Reply::Served = reply {
            self.client_attempts[arrival].pending = false;
            self.metrics.useful_work += useful;
            self.arrivals[arrival].end = RequestEnd::Served(self.now);
            return;
        }
        self.client_attempt_failed(arrival, number, reply);
    }

    /// Retries a failed attempt of a client if time is left and the class permits it.
    fn client_attempt_failed(&mut self, arrival: ArrivalIndex, number: u32, reply: Reply) {
        self.client_attempts[arrival].pending = false;
        let class = &self.scenario.classes[self.arrivals[arrival].class];
        let never_ran = matches!(reply, Reply::Rejected { .. } | Reply::Unreachable);
        // Only servers of the same cell detect duplicates by idempotency key, and the next attempt may reach any cell.
        let repeatable = class.idempotency == Idempotency::Idempotent || never_ran;
        let backoff = self.client_backoff(arrival, number, reply);
        let deadline = self.arrivals[arrival].at + class.deadline.0;
        if !repeatable || number >= self.scenario.clients.retries || self.now + backoff >= deadline {
            return self.end_arrival(arrival, reply);
        }
        self.arrivals[arrival].charge(Cause::Retry, None, backoff);
        self.schedule_after(backoff, WorldEvent::ClientAttempt { arrival, number: number + 1 });
    }

    /// Returns the backoff of a client before a retry, which is longer if the client honours `Retry-After`.
    fn client_backoff(&self, arrival: ArrivalIndex, number: u32, reply: Reply) -> Micros {
        let clients = &self.scenario.clients;
        let key = keys::client_backoff(arrival, number);
        let drawn = random::unit(self.scenario.seed, Purpose::Client, key);
        let backoff_factor = f64::from(1u32 << number.min(MAX_BACKOFF_DOUBLINGS));
        let mut backoff = clients.backoff.0 as f64 * backoff_factor * (0.5 + drawn);
        if let Reply::Rejected { retry_after } = reply
            && self.scenario.limits.retry_after
            && random::unit(self.scenario.seed, Purpose::Client, keys::honours_retry_after(key))
                < clients.retry_after_share
        {
            backoff = backoff.max(retry_after.min(self.scenario.limits.max_retry_after.0) as f64);
        }
        backoff as Micros
    }

    /// Ends a request of a client after its last attempt.
    fn end_arrival(&mut self, arrival: ArrivalIndex, reply: Reply) {
        let arrival = &mut self.arrivals[arrival];
        arrival.end = match reply {
            Reply::Rejected { .. } => RequestEnd::Rejected(self.now),
            _ => RequestEnd::Failed(self.now),
        };
        if let Reply::Unreachable = reply {
            arrival.charge(Cause::Unreachable, None, 1);
        }
    }
}
