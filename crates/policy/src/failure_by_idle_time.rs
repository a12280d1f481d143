//! Share of the calls that fail, by how long their connection was idle before.

use crate::event::Micros;

/// Number of buckets, one for each doubling of the idle time, which is a 64-bit number.
const BUCKET_COUNT: usize = 64;

/// Moving averages of the share of calls that fail, in buckets of idle times.
///
/// A failure after an idle time counts for all longer ones too, a success for all shorter ones: a connection
/// that was dropped after some idle time stays dropped.
pub(crate) struct FailureByIdleTime {
    /// Share of the calls in each bucket that failed, from 0 to 1.
    shares: [f64; BUCKET_COUNT],
}

impl FailureByIdleTime {
    /// Creates averages without failures.
    pub fn new() -> Self {
        FailureByIdleTime { shares: [0.0; BUCKET_COUNT] }
    }

    /// Returns the bucket of an idle time: the number of times that `shortest` can be doubled within it. Idle
    /// times shorter than twice `shortest` are in bucket 0.
    pub fn bucket(idle_time: Micros, shortest: Micros) -> usize {
        (idle_time / shortest).checked_ilog2().unwrap_or(0) as usize
    }

    /// Share of the calls that failed after an idle time of the bucket, from 0 to 1.
    pub fn share(&self, bucket: usize) -> f64 {
        self.shares[bucket]
    }

    /// Records a call. `weight` is its weight in the moving averages, from 0 to 1.
    pub fn record(&mut self, bucket: usize, failed: bool, weight: f64) {
        let affected = if failed { bucket..BUCKET_COUNT } else { 0..bucket + 1 };
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
