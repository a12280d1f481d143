//! Share of failures by the length of a gap that came before, in buckets of a doubling each.

use crate::event::Micros;

/// More doublings of a microsecond than a gap can have.
const BUCKETS: usize = 64;

/// Shares that move with each call: what fails after a gap fails after longer ones, what works works after
/// shorter ones.
pub(crate) struct FailureByGap {
    shares: [f64; BUCKETS],
}

impl FailureByGap {
    pub fn new() -> Self {
        FailureByGap { shares: [0.0; BUCKETS] }
    }

    /// The bucket of a gap, in doublings of the `shortest` that counts; 0 for less than two of them.
    pub fn bucket(gap: Micros, shortest: Micros) -> usize {
        (gap / shortest).checked_ilog2().unwrap_or(0) as usize
    }

    /// Share of the calls that failed after a gap of that bucket.
    pub fn share(&self, bucket: usize) -> f64 {
        self.shares[bucket]
    }

    /// Records a call; `gain` is its weight in the shares.
    pub fn record(&mut self, bucket: usize, failed: bool, gain: f64) {
        let alike = if failed { bucket..BUCKETS } else { 0..bucket + 1 };
        let value = f64::from(u8::from(failed));
        for share in &mut self.shares[alike] {
            *share += gain * (value - *share);
        }
    }

    /// Multiplies all shares by `remaining`.
    pub fn decay(&mut self, remaining: f64) {
        self.shares.iter_mut().for_each(|share| *share *= remaining);
    }
}
