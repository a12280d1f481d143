//! Idle connections: after how long a gap calls on them fail, and when to close them before use.

use crate::event::{Micros, Outcome};
use crate::failure_by_gap::FailureByGap;
use crate::request::AttemptEnd;
use crate::settings::Idempotency;

/// Idle connections are closed before a call when this share of calls on such ones failed.
const MAX_FAILED: f64 = 0.5;
/// The same for calls that may not be repeated and what broke at once: a new connection costs less than they.
const MAX_BROKEN: f64 = 0.1;
/// A dead connection breaks within this part of the median; what breaks later had reached the server.
const AT_ONCE: f64 = 0.1;
/// Weight of one more call in those shares.
const GAIN: f64 = 0.25;
/// Shortest gap that counts, in microseconds.
const SHORTEST_GAP: Micros = 64;

/// Shares of the calls that broke at once or timed out, and of those that broke at once, by their gap.
pub(crate) struct IdleConnections {
    failed: FailureByGap,
    broken: FailureByGap,
}

impl IdleConnections {
    pub fn new() -> Self {
        IdleConnections { failed: FailureByGap::new(), broken: FailureByGap::new() }
    }

    pub fn bucket(gap: Micros) -> usize {
        FailureByGap::bucket(gap, SHORTEST_GAP)
    }

    /// Prevents calls on connections that something between dropped unseen.
    pub fn must_close(&self, bucket: usize, idempotency: Idempotency) -> bool {
        let risky = idempotency == Idempotency::NotIdempotent && self.broken.share(bucket) > MAX_BROKEN;
        self.failed.share(bucket) > MAX_FAILED || risky
    }

    /// Records the end of a call. Prevents spoilt answers from passing for dead connections; costs
    /// connections where a server breaks off at once for reasons of its own.
    pub fn record(&mut self, bucket: usize, end: &AttemptEnd, median: f64) {
        if bucket > 0 {
            let broken = end.outcome == Outcome::Reset && end.latency as f64 <= AT_ONCE * median;
            self.failed.record(bucket, broken || end.outcome == Outcome::TimedOut, GAIN);
            self.broken.record(bucket, broken, GAIN);
        }
    }

    pub fn decay(&mut self, remaining: f64) {
        self.failed.decay(remaining);
        self.broken.decay(remaining);
    }
}
