//! Share of the calls that fail, by the length of the gap before the call.

use crate::event::Micros;

/// Number of buckets, one for each doubling of the gap. A gap in microseconds has at most 64 bits.
const BUCKETS: usize = 64;

/// Moving averages of the share of calls that fail, in buckets of gaps.
///
/// A failure after a gap counts for all longer gaps too, a success for all shorter ones: a connection that
/// was dropped after some idle time stays dropped.
pub(crate) struct FailureByIdleTime {
    /// Share of the failed calls in each bucket, from 0 to 1.
    shares: [f64; BUCKETS],
}

impl FailureByIdleTime {
    /// Creates averages without failures.
    pub fn new() -> Self {
        FailureByIdleTime { shares: [0.0; BUCKETS] }
    }

    /// Returns the bucket of a gap: the number of times that `shortest` can be doubled within it. Gaps
    /// shorter than twice `shortest` are in bucket 0.
    pub fn bucket(gap: Micros, shortest: Micros) -> usize {
        (gap / shortest).checked_ilog2().unwrap_or(0) as usize
    }

    /// Share of the calls that failed after a gap of the bucket, from 0 to 1.
    pub fn share(&self, bucket: usize) -> f64 {
        self.shares[bucket]
    }

    /// Records a call. `weight` is its weight in the moving averages, from 0 to 1.
    pub fn record(&mut self, bucket: usize, failed: bool, weight: f64) {
        let affected = if failed { bucket..BUCKETS } else { 0..bucket + 1 };
        let value = f64::from(u8::from(failed));
        for share in &mut self.shares[affected] {
            *share += weight * (value - *share);
        }
    }

    /// Multiplies all shares by `remaining`.
    pub fn decay(&mut self, remaining: f64) {
        self.shares.iter_mut().for_each(|share| *share *= remaining);
    }
}

#[cfg(test)]
mod tests;
