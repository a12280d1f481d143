//! The end of an attempt: updates of its server and zone, and the retry or rejection of its request.

use super::Balancer;
use crate::concurrency_limit::QueueSignal;
use crate::context::Context;
use crate::event::{ClassId, EndReason, Micros, Outcome, RequestId, ResponseEnd, ServerId};
use crate::fleet::ServerInZone;
use crate::outlier;
use crate::request::{AttemptEnd, Continuation};
use crate::retry;

/// How long after its client's deadline a response that goes silent has ended, in microseconds.
const RESPONSE_END_DELAY: Micros = 600_000;

impl Balancer {
    /// Records the end of an attempt and decides what follows for its request.
    pub(super) fn record_outcome(&mut self, id: RequestId, mut end: AttemptEnd) {
        let Some(request) = self.requests.get_mut(&id) else {
            end.response_pending = false;
            return self.record_at_server(None, &end, QueueSignal::Unknown);
        };
        let class = request.class();
        let response_end_due = request.deadline() + RESPONSE_END_DELAY;
        let queue_signal = if request.body_pending() {
            // The attempt has no slot yet, but `record_at_server` releases one. Its latency is unknown, since
            // it would include the upload.
            self.fleet.take_slot_by_id(request.current_server());
            QueueSignal::Unknown
        } else {
            self.latencies.record(&self.context.settings, request, &end)
        };
        if matches!(end.continuation, Continuation::FinalResponseOnly) {
            request.mark_body_consumed();
        }
        if let Some(attempt) = request.end_attempt(end.outcome) {
            // Without a queue signal the attempt was too short to show whether its server is slow, so its
            // timeout does not count against it.
            if queue_signal != QueueSignal::Unknown {
                end.timeout_attribution = attempt.timeout_attribution;
            }
            self.idle_connections.record(attempt.idle_bucket, &end, self.latencies.overall_median());
        }
        self.record_at_server(Some(class), &end, queue_signal);
        if end.response_pending
            && let Some(target) = self.fleet.server_in_zone(end.server)
        {
            target.server.breakers.await_response_end(response_end_due);
        }
        self.continue_request(id, class, &end);
    }

    /// Records the end of a response whose start was recorded as the end of its attempt.
    pub(super) fn record_response_end(&mut self, server: ServerId, class: ClassId, end: ResponseEnd) {
        let may_eject = outlier::may_eject(Outcome::Reset, self.fleet.ejected_servers(), self.fleet.len());
        let Some(target) = self.fleet.server_in_zone(server) else { return };
        let availability_before = target.server.availability();
        let breakers = &mut target.server.breakers;
        match end {
            ResponseEnd::Complete => self.outliers.record_success(breakers, Some(class)),
            ResponseEnd::Broken | ResponseEnd::Silent => {
                self.outliers.record_failure(&mut self.context, breakers, Some(class), may_eject);
            }
        }
        if target.server.availability() != availability_before {
            self.fleet.recount_servers(&mut self.context);
        }
    }

    /// Finishes a request, or retries or rejects it.
    fn continue_request(&mut self, id: RequestId, class: ClassId, end: &AttemptEnd) {
        match end.continuation {
            Continuation::Finished => {
                if end.outcome == Outcome::Ok {
                    self.queues.record_served(class);
                }
                self.requests.remove(&id);
            }
            Continuation::FinalResponseOnly => self.reject(id, EndReason::BodyConsumed),
            Continuation::Any => self.retry_or_reject(id, end.outcome),
        }
    }

    /// Updates the slots, idle connections and circuit breakers of the attempt's server, and the limit of its
    /// zone. `class` is `None` if the request has already ended.
    fn record_at_server(&mut self, class: Option<ClassId>, end: &AttemptEnd, queue_signal: QueueSignal) {
        let may_eject = outlier::may_eject(end.outcome, self.fleet.ejected_servers(), self.fleet.len());
        let Some(mut target) = self.fleet.server_in_zone(end.server) else { return };
        let availability_before = target.server.availability();
        if let QueueSignal::Lateness(lateness) = queue_signal {
            target.zone.limit.adjust(&mut self.context, end, lateness);
        }
        target.release_slot();
        apply_outcome(&mut self.context, &mut target, end.outcome, self.latencies.overall_median());
        let breakers = &mut target.server.breakers;
        if end.response_pending {
            // The end of the response decides whether the server has succeeded.
        } else if end.outcome == Outcome::Ok {
            self.outliers.record_success(breakers, class);
        } else if outlier::is_failure(end) {
            self.outliers.record_failure(&mut self.context, breakers, class, may_eject);
        } else {
            breakers.allow_next_trial(self.context.now());
        }
        if target.server.availability() != availability_before {
            self.fleet.recount_servers(&mut self.context);
        }
    }

    /// Schedules a retry if the rules and the budget allow one, and rejects the request otherwise.
    fn retry_or_reject(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let median = self.latencies.class_or_overall_median(request.class()).unwrap_or(0.0);
        let backoff = retry::backoff(&mut self.context, median);
        if self.retry_budget.authorize_retry(&self.context.settings, request, outcome) {
            request.delay_until(self.context.now() + backoff);
            self.retries.push(id);
        } else {
            self.reject(id, EndReason::NoRetryAllowed);
        }
    }
}

/// Records an idle connection, a pause after a rejection, or an abandoned attempt that may still be running,
/// depending on the outcome. `median` is the median latency.
fn apply_outcome(context: &mut Context, target: &mut ServerInZone<'_>, outcome: Outcome, median: f64) {
    match outcome {
        Outcome::Rejected => target.server.pause_until(outlier::rejection_pause_end(context, median)),
        Outcome::Ok | Outcome::Error => target.server.add_idle_connection(context.now()),
        Outcome::TimedOut | Outcome::Cancelled => target.zone.limit.record_abandoned(),
        Outcome::ConnectFailed | Outcome::Reset | Outcome::NotSent => {}
    }
}
