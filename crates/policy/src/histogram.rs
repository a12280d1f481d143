//! A histogram of recent values whose samples decay with time.

use crate::event::Micros;
use crate::learned::{LatencyHistogram, LearnedBucket};

/// Configuration of a histogram: its resolution, its decay and the samples that it needs.
pub(crate) struct HistogramConfig {
    /// Lower edge of the first bucket.
    pub lowest_edge: f64,
    /// Number of buckets for each doubling of the value. All buckets have the same ratio of upper to lower
    /// edge.
    pub buckets_per_doubling: f64,
    /// Number of buckets. Values above the last bucket are counted in it.
    pub bucket_count: usize,
    /// A decay is postponed while it would leave more than this share of the samples: a pass over all buckets
    /// would cost more than the gain in accuracy.
    pub max_remaining: f64,
    /// Number of samples that are kept regardless of their age.
    pub min_retained_samples: f64,
    /// Minimum number of samples for the 99th percentile. With fewer it is infinite.
    pub min_tail_samples: f64,
    /// Share of the values that may be censored before the 99th percentile is widened.
    pub max_censored_share: f64,
    /// Factor on the 99th percentile for each censored value beyond that share.
    pub tail_widening: f64,
    /// Upper bound of the factor on the 99th percentile.
    pub max_tail_factor: f64,
}

/// Whether a value was measured to its end.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Sample {
    /// The value was measured to its end.
    Complete,
    /// A time limit ended the measurement: the true value is larger.
    Censored,
}

/// Percentiles of recent values, from a histogram with buckets of equal ratio whose samples decay with time.
pub(crate) struct DecayingHistogram {
    config: &'static HistogramConfig,
    /// Decayed number of samples in each bucket.
    counts: Vec<f64>,
    /// Decayed number of samples in all buckets.
    total: f64,
    /// Factor on the 99th percentile, raised by censored values.
    tail_factor: f64,
    median: f64,
    p90: f64,
    /// Infinite while there are too few samples.
    p99: f64,
    /// Time up to which the samples have decayed.
    decayed_at: Micros,
}

impl DecayingHistogram {
    /// Creates an empty histogram.
    pub fn new(config: &'static HistogramConfig) -> Self {
        DecayingHistogram {
            config,
            counts: vec![0.0; config.bucket_count],
            total: 0.0,
            tail_factor: 1.0,
            median: 0.0,
            p90: 0.0,
            p99: 0.0,
            decayed_at: 0,
        }
    }

    /// Decayed number of samples.
    pub fn samples(&self) -> f64 {
        self.total
    }

    /// Median of the values, 0 before the first one.
    pub fn median(&self) -> f64 {
        self.median
    }

    /// 90th percentile of the values, 0 before the first one.
    pub fn p90(&self) -> f64 {
        self.p90
    }

    /// 99th percentile of the values, infinite while there are too few samples, 0 before the first one.
    pub fn p99(&self) -> f64 {
        self.p99
    }

    /// Decays the samples up to `now`: half of them remain after `half_life` microseconds.
    ///
    /// The last [`HistogramConfig::min_retained_samples`] are kept regardless of their age. A source with few
    /// values would otherwise lose each one before the next arrives.
    pub fn decay(&mut self, now: Micros, half_life: f64) {
        let elapsed = now - self.decayed_at.min(now);
        let age_factor = 0.5_f64.powf(elapsed as f64 / half_life);
        let retained = self.config.min_retained_samples;
        let remaining = age_factor.max(retained / self.total.max(retained));
        if remaining < self.config.max_remaining {
            self.counts.iter_mut().for_each(|count| *count *= remaining);
            self.total *= remaining;
            self.decayed_at = now;
        }
    }

    /// Adds a value.
    ///
    /// A censored value is counted as measured, although the true value is larger. The time limit that
    /// censors values is derived from the 99th percentile, so the percentile would shrink with each of them.
    /// To prevent this it is widened while more than [`HistogramConfig::max_censored_share`] of the values
    /// are censored.
    pub fn record(&mut self, value: f64, sample: Sample) {
        let lowest = self.config.lowest_edge;
        let bucket = (self.config.buckets_per_doubling * (value.max(lowest) / lowest).log2()) as usize;
        self.counts[bucket.min(self.config.bucket_count - 1)] += 1.0;
        self.total += 1.0;
        let step = if sample == Sample::Censored { 1.0 } else { -self.config.max_censored_share };
        let widened = self.tail_factor * self.config.tail_widening.powf(step);
        self.tail_factor = widened.clamp(1.0, self.config.max_tail_factor);
        self.update_percentiles();
    }

    /// Exports the buckets that are not empty.
    pub fn export(&self) -> LatencyHistogram {
        let buckets = self.counts.iter().enumerate().map(|(index, &count)| LearnedBucket { index, count });
        LatencyHistogram {
            counts: buckets.filter(|bucket| bucket.count > 0.0).collect(),
            tail_factor: self.tail_factor,
        }
    }

    /// Adds the samples of a histogram of the same configuration that was exported at `saved_at`.
    pub fn import(&mut self, saved_at: Micros, saved: &LatencyHistogram) {
        for bucket in saved.counts.iter().filter(|bucket| bucket.count > 0.0) {
            self.counts[bucket.index.min(self.config.bucket_count - 1)] += bucket.count;
            self.total += bucket.count;
        }
        self.tail_factor = saved.tail_factor.clamp(1.0, self.config.max_tail_factor);
        self.decayed_at = saved_at;
        self.update_percentiles();
    }

    fn update_percentiles(&mut self) {
        self.median = self.quantile(0.5);
        self.p90 = self.quantile(0.9);
        let tail_known = self.total >= self.config.min_tail_samples;
        self.p99 = if tail_known { self.quantile(0.99) * self.tail_factor } else { f64::INFINITY };
    }

    /// Returns the middle of the bucket in which the quantile lies.
    fn quantile(&self, quantile: f64) -> f64 {
        let mut remaining = quantile * self.total;
        let bucket = self.counts.iter().position(|count| {
            remaining -= count;
            remaining <= 0.0
        });
        let middle = bucket.unwrap_or(self.config.bucket_count - 1) as f64 + 0.5;
        self.config.lowest_edge * (middle / self.config.buckets_per_doubling).exp2()
    }
}

#[cfg(test)]
mod tests;
