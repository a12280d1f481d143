//! How long calls to discovery wait, and the backoff after failures.

use std::ops::RangeInclusive;
use std::time::Duration;

/// A span as a part of the drain grace period, within bounds.
///
/// What the discovery agent on the same machine has counts as received by the balancer, whether the balancer polls it
/// or not. All spans between two calls are therefore parts of the grace period within which a drain has to be heeded.
/// The lower bounds limit the number of calls, since each costs something. The upper bounds keep a call, a backoff and
/// the next call together under 6 s: whatever fails, a change counts as received 6 s after discovery had it and could
/// be reached.
struct SpanRule {
    part_of_grace: f64,
    bounds: RangeInclusive<Duration>,
}

impl SpanRule {
    const fn new(part_of_grace: f64, min_millis: u64, max_millis: u64) -> SpanRule {
        let bounds = Duration::from_millis(min_millis)..=Duration::from_millis(max_millis);
        SpanRule { part_of_grace, bounds }
    }

    fn apply(&self, drain_grace: Duration) -> Duration {
        drain_grace.mul_f64(self.part_of_grace).clamp(*self.bounds.start(), *self.bounds.end())
    }
}

/// How long discovery holds a watch call without changes. A watch that has fallen silent looks like one without
/// changes for this long.
const WATCH_WAIT: SpanRule = SpanRule::new(0.4, 40, 1200);
/// How long a call may remain without a complete response, for a watch call beyond its wait: an agent on the same
/// machine has responded by then.
const RESPONSE_TIMEOUT: SpanRule = SpanRule::new(0.2, 40, 800);
/// The backoff after the first failed call; it doubles with each further one.
const FIRST_BACKOFF: SpanRule = SpanRule::new(0.04, 4, 100);
/// The longest backoff.
const MAX_BACKOFF: SpanRule = SpanRule::new(0.3, 20, 500);

/// The spans between two calls to discovery.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollTiming {
    /// How long discovery holds a watch call without changes.
    pub(super) watch_wait: Duration,
    /// How long a call may remain without a complete response, beyond the wait.
    pub(super) response_timeout: Duration,
    /// The backoff after the first failed call.
    pub(super) first_backoff: Duration,
    /// The longest backoff.
    pub(super) max_backoff: Duration,
}

impl PollTiming {
    /// The timing by which a drain is heeded within `drain_grace` of its announcement. Under a tenth of a second the
    /// lower bounds apply, which are 84 ms together: calls in faster succession cost more than they are worth.
    pub(super) fn within(drain_grace: Duration) -> PollTiming {
        PollTiming {
            watch_wait: WATCH_WAIT.apply(drain_grace),
            response_timeout: RESPONSE_TIMEOUT.apply(drain_grace),
            first_backoff: FIRST_BACKOFF.apply(drain_grace),
            max_backoff: MAX_BACKOFF.apply(drain_grace),
        }
    }

    /// The backoff that follows `backoff`.
    pub(super) fn next_backoff(&self, backoff: Duration) -> Duration {
        (2 * backoff).min(self.max_backoff)
    }
}

#[cfg(test)]
mod tests;
