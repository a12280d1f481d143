//! Attribution of the time of requests to causes.

use super::World;
use super::index::{AttemptIndex, RequestIndex, ServerIndex};
use super::state::{Attempt, Job, JobPhase};
use crate::scoring::Cause;
use crate::server::Condition;

impl World<'_> {
    /// Returns the cause to which time at a server is charged: the condition of the server, or `if_healthy`.
    pub(super) fn server_cause(&self, server: ServerIndex, if_healthy: Cause) -> Cause {
        match self.servers[server].condition(self.now) {
            Condition::Healthy => if_healthy,
            Condition::WarmingUp => Cause::WarmingUp,
            Condition::Choked => Cause::Choke,
            Condition::Silent => Cause::Silent,
            Condition::Slowed => Cause::Slowed,
        }
    }

    /// Charges the time of an abandoned attempt to the server or balancer at which the request currently is, which may
    /// be that of a nested call in a later tier.
    pub(super) fn charge_abandoned_attempt(&mut self, attempt: AttemptIndex) {
        let Attempt { destination, sent, request, job, .. } = self.attempts[attempt];
        let arrival = self.requests[request].arrival;
        let Some(job) = job else {
            let cause = self.server_cause(destination, Cause::TimeOut);
            return self.arrivals[arrival].charge(cause, Some(destination), self.now - sent);
        };
        let Job { phase, since, call, .. } = self.jobs[job];
        if let (JobPhase::Calling, Some(call)) = (phase, call) {
            return self.charge_abandoned_call(call);
        }
        let if_healthy = if phase == JobPhase::Waiting { Cause::Queueing } else { Cause::TimeOut };
        let cause = self.server_cause(destination, if_healthy);
        self.arrivals[arrival].charge(cause, Some(destination), self.now - since);
    }

    fn charge_abandoned_call(&mut self, call: RequestIndex) {
        let request = &self.requests[call];
        let in_flight = request.latest_attempt.filter(|attempt| !self.attempts[*attempt].ended);
        if let Some(attempt) = in_flight {
            self.charge_abandoned_attempt(attempt);
        } else {
            let queued_for = self.now - request.idle_since;
            self.arrivals[request.arrival].charge(Cause::Queued, None, queued_for);
        }
    }

    /// Charges the time for which a request was at a balancer without an attempt in flight.
    pub(super) fn charge_idle_time(&mut self, request: RequestIndex) {
        let request = &self.requests[request];
        if request.attempts_in_flight > 0 {
            return;
        }
        let cause = if request.attempts_sent == 0 { Cause::Queued } else { Cause::Retry };
        let idle_time = self.now - request.idle_since;
        self.arrivals[request.arrival].charge(cause, None, idle_time);
    }
}
