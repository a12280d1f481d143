//! Idle connections: the idle times after which calls on them fail, and when to close them before use.

use crate::event::{Micros, Outcome};
use crate::failure_by_idle_time::FailureByIdleTime;
use crate::request::AttemptEnd;
use crate::settings::Idempotency;

/// Share of failed calls above which idle connections are closed before a call.
const MAX_FAILED_SHARE: f64 = 0.5;
/// Share of broken calls above which idle connections are closed before a call that may not be repeated. A
/// new connection costs less than the loss of such a call.
const MAX_BROKEN_SHARE: f64 = 0.1;
/// A dead connection breaks within this share of the median latency. A connection that breaks later had
/// reached the server.
const IMMEDIATE_SHARE: f64 = 0.1;
/// Weight of one call in the moving averages.
const CALL_WEIGHT: f64 = 0.25;
/// Shortest idle time for the buckets, in microseconds: bucket `n` starts at 2^n times this, bucket 0 at 0.
const SHORTEST_IDLE_TIME: Micros = 64;

/// Shares of the calls that failed on idle connections, by their idle time.
pub(crate) struct IdleConnections {
    /// Calls that broke immediately or timed out.
    failed: FailureByIdleTime,
    /// Calls that broke immediately.
    broken: FailureByIdleTime,
}

impl IdleConnections {
    /// Creates statistics without failures.
    pub fn new() -> Self {
        IdleConnections { failed: FailureByIdleTime::new(), broken: FailureByIdleTime::new() }
    }

    /// Returns the bucket of an idle time. Bucket 0 also stands for a new connection.
    pub fn bucket(idle_time: Micros) -> usize {
        FailureByIdleTime::bucket(idle_time, SHORTEST_IDLE_TIME)
    }

    /// Returns whether the idle connections to a server must be closed before a call, because the network
    /// often drops connections with such an idle time without notice.
    pub fn must_close(&self, bucket: usize, idempotency: Idempotency) -> bool {
        let not_repeatable = idempotency == Idempotency::NotIdempotent;
        let risky = not_repeatable && self.broken.share(bucket) > MAX_BROKEN_SHARE;
        self.failed.share(bucket) > MAX_FAILED_SHARE || risky
    }

    /// Records the end of a call on a connection of the bucket. `median` is the median latency.
    ///
    /// Only a connection that breaks immediately counts as dead, since a broken response may also be the
    /// server's fault. Where the server itself breaks connections immediately, some are closed needlessly.
    pub fn record(&mut self, bucket: usize, end: &AttemptEnd, median: f64) {
        if bucket == 0 {
            return;
        }
        let broken = end.outcome == Outcome::Reset && end.latency as f64 <= IMMEDIATE_SHARE * median;
        self.failed.record(bucket, broken || end.outcome == Outcome::TimedOut, CALL_WEIGHT);
        self.broken.record(bucket, broken, CALL_WEIGHT);
    }

    /// Multiplies all shares by `remaining`.
    pub fn decay(&mut self, remaining: f64) {
        self.failed.decay(remaining);
        self.broken.decay(remaining);
    }
}
