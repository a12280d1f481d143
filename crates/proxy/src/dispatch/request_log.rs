//! Log lines about requests: each retry, failed attempt, refusal, failure and drop, with its reason and the client's request id.

use zincstand_policy::{EndReason, Outcome, RequestId};

use crate::dispatch::active_requests::ActiveRequests;
use crate::dispatch::completion::AttemptId;
use crate::dispatch::transport::Transport;
use crate::log::limited_log_line;

impl<T: Transport> ActiveRequests<T> {
    /// Logs an attempt that repeats its request.
    pub(super) fn log_retry(&self, attempt: AttemptId) {
        let number = attempt.number;
        if number == 0 {
            return;
        }
        self.inspect(attempt.request, |active| {
            let name = active.name();
            let outcome = outcome_name(active.last_outcome());
            limited_log_line!("request: attempt {number} begins, the last outcome was {outcome} (id {name})");
        });
    }

    /// Logs an attempt that has ended without a response to forward.
    pub(super) fn log_failed_attempt(&self, attempt: AttemptId, outcome: Outcome) {
        if outcome == Outcome::Ok {
            return;
        }
        let number = attempt.number;
        self.inspect(attempt.request, |active| {
            let name = active.name();
            let outcome = outcome_name(Some(outcome));
            limited_log_line!("request: attempt {number} ended: {outcome} (id {name})");
        });
    }

    /// Logs a final response that the policy gives: a refusal or a failure.
    pub(super) fn log_not_served(&self, request: RequestId, response: &str, reason: EndReason) {
        self.inspect(request, |active| {
            let name = active.name();
            let attempts = active.attempts_started();
            let outcome = outcome_name(active.last_outcome());
            limited_log_line!(
                "request: {response}: {reason} (id {name}, {attempts} attempts, last outcome: {outcome})"
            );
        });
    }

    /// Logs a request whose client has disconnected.
    pub(super) fn log_client_disconnect(&self, request: RequestId) {
        self.inspect(request, |active| {
            let name = active.name();
            let attempts = active.attempts_started();
            limited_log_line!(
                "request: dropped, its client has disconnected (id {name}, {attempts} attempts)"
            );
        });
    }
}

/// Returns the words for an outcome; `None` means that no attempt has ended.
fn outcome_name(outcome: Option<Outcome>) -> &'static str {
    match outcome {
        None => "none",
        Some(Outcome::Ok) => "served",
        Some(Outcome::Error) => "error",
        Some(Outcome::Rejected) => "rejected",
        Some(Outcome::TimedOut) => "timed out",
        Some(Outcome::ConnectFailed) => "could not connect",
        Some(Outcome::Reset) => "reset",
        Some(Outcome::Cancelled) => "cancelled",
        Some(Outcome::NotSent) => "not sent",
    }
}
