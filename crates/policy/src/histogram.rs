//! A histogram of recent values whose samples decay with time.

use crate::event::Micros;

/// What a histogram can tell apart, and from how many samples.
pub(crate) struct HistogramTuning {
    /// Lower edge of the first bucket.
    pub lowest: f64,
    /// Buckets of equal ratio to a doubling.
    pub buckets_per_doubling: f64,
    /// Buckets in all; larger values go into the last.
    pub buckets: usize,
    /// A decay that leaves more than this share waits: it is not yet worth a pass over all buckets.
    pub max_remaining: f64,
    /// Samples that stay whatever their age.
    pub kept_samples: f64,
    /// With fewer samples the 99th percentile is infinite.
    pub tail_samples: f64,
    /// Share of the values that may be cut off before the 99th percentile is widened.
    pub cut_off_share: f64,
    /// Factor on the 99th percentile for each value cut off beyond that share.
    pub tail_widening: f64,
    /// Upper bound of that factor.
    pub max_tail_factor: f64,
}

/// Whether a value was measured to its end.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Sample {
    Complete,
    /// The true value is larger: a time limit ended the measurement.
    CutOff,
}

/// Percentiles of recent values: a histogram with buckets of equal ratio, whose samples decay with time.
pub(crate) struct DecayingHistogram {
    tuning: &'static HistogramTuning,
    counts: Vec<f64>,
    /// Samples that are left after their decay.
    pub total: f64,
    /// Factor on the 99th percentile, raised by values that were cut off.
    pub tail_factor: f64,
    pub p50: f64,
    pub p90: f64,
    /// Infinite while there are too few samples.
    pub p99: f64,
    decayed_at: Micros,
}

impl DecayingHistogram {
    pub fn new(tuning: &'static HistogramTuning) -> Self {
        DecayingHistogram {
            tuning,
            counts: vec![0.0; tuning.buckets],
            total: 0.0,
            tail_factor: 1.0,
            p50: 0.0,
            p90: 0.0,
            p99: 0.0,
            decayed_at: 0,
        }
    }

    /// Lets the samples decay to half within `half_life` microseconds. The last few stay whatever their age:
    /// prevents a source with few values from forgetting each one before the next.
    pub fn decay(&mut self, now: Micros, half_life: f64) {
        let elapsed = now - self.decayed_at.min(now);
        let by_age = 0.5_f64.powf(elapsed as f64 / half_life);
        let kept_samples = self.tuning.kept_samples;
        let remaining = by_age.max(kept_samples / self.total.max(kept_samples));
        if remaining < self.tuning.max_remaining {
            self.counts.iter_mut().for_each(|count| *count *= remaining);
            self.total *= remaining;
            self.decayed_at = now;
        }
    }

    /// Adds a value. One that was cut off counts as it is, and while more than 1% are, the 99th percentile is
    /// widened: prevents cut-offs from dragging down the percentile that sets them.
    pub fn record(&mut self, value: f64, sample: Sample) {
        let lowest = self.tuning.lowest;
        let bucket = (self.tuning.buckets_per_doubling * (value.max(lowest) / lowest).log2()) as usize;
        self.counts[bucket.min(self.tuning.buckets - 1)] += 1.0;
        self.total += 1.0;
        let step = if sample == Sample::CutOff { 1.0 } else { -self.tuning.cut_off_share };
        let widened = self.tail_factor * self.tuning.tail_widening.powf(step);
        self.tail_factor = widened.clamp(1.0, self.tuning.max_tail_factor);
        self.update_percentiles();
    }

    /// The buckets that are not empty, with their numbers.
    pub fn buckets(&self) -> impl Iterator<Item = (usize, f64)> + '_ {
        self.counts.iter().copied().enumerate().filter(|(_, count)| *count > 0.0)
    }

    /// Adds what another histogram of the same tuning held at `saved_at`.
    pub fn restore(&mut self, saved_at: Micros, buckets: &[(usize, f64)], tail_factor: f64) {
        for &(bucket, count) in buckets.iter().filter(|(_, count)| *count > 0.0) {
            self.counts[bucket.min(self.tuning.buckets - 1)] += count;
            self.total += count;
        }
        self.tail_factor = tail_factor.clamp(1.0, self.tuning.max_tail_factor);
        self.decayed_at = saved_at;
        self.update_percentiles();
    }

    fn update_percentiles(&mut self) {
        self.p50 = self.quantile(0.5);
        self.p90 = self.quantile(0.9);
        let tail_known = self.total >= self.tuning.tail_samples;
        self.p99 = if tail_known { self.quantile(0.99) * self.tail_factor } else { f64::INFINITY };
    }

    fn quantile(&self, quantile: f64) -> f64 {
        let mut remaining = quantile * self.total;
        let bucket = self.counts.iter().position(|count| {
            remaining -= count;
            remaining <= 0.0
        });
        let middle = bucket.unwrap_or(self.tuning.buckets - 1) as f64 + 0.5;
        self.tuning.lowest * (middle / self.tuning.buckets_per_doubling).exp2()
    }
}
