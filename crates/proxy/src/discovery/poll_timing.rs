//! Time limits of calls to discovery and the backoff after failed calls.

use std::ops::RangeInclusive;
use std::time::Duration;

/// A duration that is a fraction of the drain grace period, limited to a lower and an upper bound.
///
/// A change counts as received by the balancer as soon as the discovery agent on the same machine knows it, even if the
/// balancer has not polled the agent since. All durations between two calls are therefore fractions of the drain grace
/// period, so that a drain is known in time. The lower bounds limit the number of calls. The upper bounds keep the total of
/// a call, a backoff and the next call under 6 s: even if earlier calls failed, a change counts as received 6 s after
/// discovery had the change and could be reached.
struct GraceFraction {
    /// The fraction of the drain grace period.
    fraction: f64,
    bounds: RangeInclusive<Duration>,
}

impl GraceFraction {
    const fn new(fraction: f64, min_millis: u64, max_millis: u64) -> GraceFraction {
        let bounds = Duration::from_millis(min_millis)..=Duration::from_millis(max_millis);
        GraceFraction { fraction, bounds }
    }

    fn of(&self, drain_grace: Duration) -> Duration {
        drain_grace.mul_f64(self.fraction).clamp(*self.bounds.start(), *self.bounds.end())
    }
}

/// How long discovery delays the response to a watch call if there are no changes. Only after this time can the client
/// distinguish a discovery service that does not respond from one without changes.
const WATCH_WAIT: GraceFraction = GraceFraction::new(0.4, 40, 1200);
/// Time limit for the complete response to a call, in addition to the wait of a watch call. A healthy agent on the same
/// machine has responded by then.
const RESPONSE_TIMEOUT: GraceFraction = GraceFraction::new(0.2, 40, 800);
/// The backoff after the first failed call. It doubles with each further failure.
const FIRST_BACKOFF: GraceFraction = GraceFraction::new(0.04, 4, 100);
/// The maximum backoff.
const MAX_BACKOFF: GraceFraction = GraceFraction::new(0.3, 20, 500);

/// The durations that determine when the next call to discovery starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollTiming {
    /// How long discovery delays the response to a watch call if there are no changes.
    pub(super) watch_wait: Duration,
    /// Time limit for the complete response to a call, in addition to the wait.
    pub(super) response_timeout: Duration,
    /// The backoff after the first failed call.
    pub(super) first_backoff: Duration,
    /// The maximum backoff.
    pub(super) max_backoff: Duration,
}

impl PollTiming {
    /// Returns the timing with which a drain is known within `drain_grace` of its announcement. For a grace period under
    /// 100 ms the lower bounds apply, which add up to 84 ms: more frequent calls would cost more than they gain.
    pub(super) fn within(drain_grace: Duration) -> PollTiming {
        PollTiming {
            watch_wait: WATCH_WAIT.of(drain_grace),
            response_timeout: RESPONSE_TIMEOUT.of(drain_grace),
            first_backoff: FIRST_BACKOFF.of(drain_grace),
            max_backoff: MAX_BACKOFF.of(drain_grace),
        }
    }

    /// Returns the backoff that follows `backoff`.
    pub(super) fn next_backoff(&self, backoff: Duration) -> Duration {
        (2 * backoff).min(self.max_backoff)
    }
}

#[cfg(test)]
mod tests;
