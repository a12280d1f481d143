//! Outlier detection: which failures count against a server, when its circuit breakers open, and how many
//! servers may be ejected at once.

use crate::circuit_breaker::Breakers;
use crate::context::Context;
use crate::event::{ClassId, Micros, Outcome};
use crate::jitter::jitter;
use crate::learned::LearnedState;
use crate::request::{AttemptEnd, TimeoutAttribution};

/// A breaker opens when its consecutive failures would occur by chance with less than this probability.
const CHANCE_PROBABILITY: f64 = 0.01;
/// Minimum number of consecutive failures that open a breaker.
const MIN_FAILURES: f64 = 2.0;
/// Weight of one attempt in the moving average of the share of failed attempts.
const FAILURE_SHARE_WEIGHT: f64 = 0.02;
/// Share of failed attempts that is assumed at the start, and its lower bound.
const MIN_FAILURE_SHARE: f64 = 0.01;
/// Upper bound of the share of failed attempts.
const MAX_FAILURE_SHARE: f64 = 0.5;
/// Mean open time of a breaker, as a multiple of the longest deadline of all classes.
const OPEN_TIME_DEADLINES: f64 = 1.0;
/// Share of the servers that may be ejected.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Share of the servers that may be ejected after failed connections. It is larger, because after the loss of
/// a zone each call would otherwise try one unreachable server after another.
const MAX_EJECTED_SHARE_UNREACHABLE: f64 = 0.67;
/// Mean pause after a rejection before the next attempt to the same server, in median latencies.
const REJECTION_PAUSE_MEDIANS: f64 = 2.0;

/// Returns whether the end of an attempt counts as a failure of its server.
pub(crate) fn is_failure(end: &AttemptEnd) -> bool {
    let timed_out = end.outcome == Outcome::TimedOut && end.timeout_attribution == TimeoutAttribution::Server;
    timed_out || matches!(end.outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed)
}

/// Returns whether one more server may be ejected after the outcome, with `ejected` of `servers` ejected
/// already.
pub(crate) fn may_eject(outcome: Outcome, ejected: usize, servers: usize) -> bool {
    let unreachable = outcome == Outcome::ConnectFailed;
    let max_share = if unreachable { MAX_EJECTED_SHARE_UNREACHABLE } else { MAX_EJECTED_SHARE };
    (ejected as f64) < max_share * servers as f64
}

/// Returns the time before which a server that rejected an attempt receives no other. `median` is the median
/// latency.
///
/// A server that is full, or draining but not yet listed as draining, rejects at once. Without a pause it
/// would be selected again and again, since it has no attempt in flight.
pub(crate) fn rejection_pause_end(context: &mut Context, median: f64) -> Micros {
    context.now() + (median * REJECTION_PAUSE_MEDIANS * jitter(&mut context.rng)) as Micros
}

/// Opens and closes the circuit breakers of servers by the outcomes of attempts.
pub(crate) struct OutlierDetector {
    /// Moving average of the share of attempts that fail, over all servers.
    failure_share: f64,
    /// Mean open time of a breaker, in microseconds.
    open_time: f64,
}

impl OutlierDetector {
    /// Creates a detector. `longest_deadline` is that of all classes, in microseconds.
    pub fn new(longest_deadline: f64) -> Self {
        OutlierDetector {
            failure_share: MIN_FAILURE_SHARE,
            open_time: longest_deadline * OPEN_TIME_DEADLINES,
        }
    }

    /// Records an attempt that succeeded, and closes the breakers that it passed.
    pub fn record_success(&mut self, breakers: &mut Breakers, class: Option<ClassId>) {
        self.failure_share += FAILURE_SHARE_WEIGHT * (0.0 - self.failure_share);
        for breaker in breakers.common_and_class(class) {
            breaker.record_success();
        }
    }

    /// Records an attempt that failed, and opens a breaker that has failed too often. `class` is `None` if
    /// the request has already ended; `may_eject` tells whether a server without an open breaker may get one.
    pub fn record_failure(
        &mut self,
        context: &mut Context,
        breakers: &mut Breakers,
        class: Option<ClassId>,
        may_eject: bool,
    ) {
        self.failure_share += FAILURE_SHARE_WEIGHT * (1.0 - self.failure_share);
        let max_failures = self.failures_beyond_chance();
        let may_eject = may_eject || breakers.ejected();
        for breaker in breakers.common_and_class(class) {
            let failures = f64::from(breaker.record_failure());
            let failed_too_often = failures >= max_failures && may_eject;
            if breaker.is_half_open() || failed_too_often {
                let open_time = self.open_time * (0.75 + 0.5 * context.rng.f64());
                breaker.open(context.now() + open_time as Micros);
                // The open common breaker blocks all classes. The breaker of one class opens only where the
                // server still serves others.
                break;
            }
        }
    }

    /// Minimum number of consecutive failures that chance does not explain: at the current share of failed
    /// attempts, the probability of that many is less than [`CHANCE_PROBABILITY`].
    fn failures_beyond_chance(&self) -> f64 {
        let failure_share = self.failure_share.clamp(MIN_FAILURE_SHARE, MAX_FAILURE_SHARE);
        (CHANCE_PROBABILITY.ln() / failure_share.ln()).max(MIN_FAILURES)
    }

    /// Exports the share of failed attempts.
    pub fn export(&self, learned: &mut LearnedState) {
        learned.failure_share = self.failure_share;
    }

    /// Imports the share of failed attempts.
    pub fn import(&mut self, learned: &LearnedState) {
        self.failure_share = learned.failure_share;
    }
}
