//! Outlier detection: when breakers open and close, and how much of the fleet they may eject.

use crate::circuit_breaker::{Breaker, BreakerState, Breakers};
use crate::context::Context;
use crate::event::{ClassId, Micros, Outcome};
use crate::request::{AttemptEnd, TimeoutBlame};

/// A server is ejected when so many failures in a row would come by chance less often than this.
const CHANCE: f64 = 0.01;
/// Weight of one more attempt in the share of all attempts that fail.
const FAILURE_SHARE_GAIN: f64 = 0.02;
/// That share to begin with, and its least.
const MIN_FAILURE_SHARE: f64 = 0.01;
/// Open time of a breaker, in longest deadlines.
const OPEN_TIME: f64 = 1.0;
/// Share of the servers that may be ejected.
const MAX_EJECTED: f64 = 0.34;
/// The same where they cannot be reached: prevents a lost zone from taking every call in turn.
const MAX_EJECTED_UNREACHABLE: f64 = 0.67;
/// A server that rejected an attempt gets no other for this many medians.
const REJECTION_PAUSE: f64 = 2.0;

/// Whether the end of an attempt tells against its server.
pub(crate) fn is_failure(end: &AttemptEnd) -> bool {
    let timed_out = end.outcome == Outcome::TimedOut && end.timeout_blame == TimeoutBlame::Server;
    timed_out || matches!(end.outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed)
}

/// Whether one more server may be ejected after such an outcome.
pub(crate) fn may_eject(outcome: Outcome, ejected: usize, servers: usize) -> bool {
    let unreachable = outcome == Outcome::ConnectFailed;
    let max_share = if unreachable { MAX_EJECTED_UNREACHABLE } else { MAX_EJECTED };
    (ejected as f64) < max_share * servers as f64
}

/// Prevents a server that rejects all at once (full; draining before the list says so) from looking free.
pub(crate) fn rejection_pause_end(context: &mut Context, median: f64) -> Micros {
    context.now + (median * REJECTION_PAUSE * (0.5 + context.rng.f64())) as Micros
}

/// Opens and closes breakers.
pub(crate) struct OutlierDetector {
    /// Share of the attempts that fail.
    pub failure_share: f64,
    open_time: f64,
}

impl OutlierDetector {
    pub fn new(longest_deadline: f64) -> Self {
        OutlierDetector { failure_share: MIN_FAILURE_SHARE, open_time: longest_deadline * OPEN_TIME }
    }

    /// Records an attempt that succeeded.
    pub fn record_success(&mut self, breakers: &mut Breakers, class: Option<ClassId>) {
        self.failure_share += FAILURE_SHARE_GAIN * (0.0 - self.failure_share);
        breakers.common_and_own(class).for_each(|breaker| *breaker = Breaker::default());
    }

    /// Records an attempt that failed; the class of a request that is gone is unknown.
    pub fn record_failure(
        &mut self,
        context: &mut Context,
        breakers: &mut Breakers,
        class: Option<ClassId>,
        may_eject: bool,
    ) {
        self.failure_share += FAILURE_SHARE_GAIN * (1.0 - self.failure_share);
        let failure_share = self.failure_share.clamp(MIN_FAILURE_SHARE, 0.5);
        let needed = (CHANCE.ln() / failure_share.ln()).max(2.0);
        let may_eject = may_eject || breakers.ejected();
        for breaker in breakers.common_and_own(class) {
            breaker.failures += 1;
            let failed_often = f64::from(breaker.failures) >= needed && may_eject;
            if breaker.state == BreakerState::HalfOpen || failed_often {
                let open_time = self.open_time * (0.75 + 0.5 * context.rng.f64());
                breaker.state = BreakerState::Open { until: context.now + open_time as Micros };
                // The server fails all it gets: a class's own breaker opens only where others are served.
                break;
            }
        }
    }
}
