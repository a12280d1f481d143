//! Learned latencies and hinted work of each class.

use crate::concurrency_limit::QueueSignal;
use crate::event::{ClassId, Micros, Outcome};
use crate::histogram::{DecayingHistogram, HistogramConfig, Sample};
use crate::learned::LearnedState;
use crate::request::{AttemptEnd, Request};
use crate::settings::Settings;
use crate::time_limits;

/// Decayed number of samples from which a median is known.
pub(crate) const MIN_SAMPLES: f64 = 6.0;
/// Number of samples that do not decay. At one request a second all samples would otherwise be lost.
const RETAINED_SAMPLES: f64 = 20.0;
/// The buckets range from 64 microseconds, which is less than any call over a network takes, to more than any
/// deadline, with a resolution of about a tenth. The 99th percentile needs at least 100 samples.
const LATENCY_HISTOGRAM: HistogramConfig = HistogramConfig {
    lowest_edge: 64.0,
    buckets_per_doubling: 8.0,
    bucket_count: 176,
    max_remaining: 0.95,
    min_retained_samples: RETAINED_SAMPLES,
    min_tail_samples: 100.0,
    max_censored_share: 0.01,
    tail_widening: 1.15,
    max_tail_factor: 8.0,
};
/// Number of recent requests over which the hinted work is averaged.
const MEAN_WORK_REQUESTS: f64 = 32.0;
/// Share of a latency that is proportional to the hinted work. The rest is queueing, which does not depend on
/// the size of the request.
const WORK_DEPENDENT_SHARE: f64 = 0.6;
/// Factor by which the lowest median grows per half-life, so that it follows a fleet that has become slower.
const LOWEST_MEDIAN_GROWTH: f64 = 1.05;

/// Learned latencies and hinted work of a class, in microseconds. Latencies are divided by the work scale of
/// their request.
struct ClassLatency {
    histogram: DecayingHistogram,
    /// Lowest median seen lately, 0 while none is known.
    lowest_median: f64,
    /// Moving average of the hinted work.
    mean_work: f64,
}

impl ClassLatency {
    fn new() -> Self {
        let histogram = DecayingHistogram::new(&LATENCY_HISTOGRAM);
        ClassLatency { histogram, lowest_median: 0.0, mean_work: 0.0 }
    }

    /// Lowers the lowest median to the current median, or lets it grow slowly.
    fn update_lowest_median(&mut self, elapsed: f64, half_life: f64) {
        self.lowest_median *= LOWEST_MEDIAN_GROWTH.powf(elapsed / half_life);
        let median = self.histogram.median();
        let is_lowest = self.lowest_median == 0.0 || median < self.lowest_median;
        if self.histogram.samples() >= RETAINED_SAMPLES && is_lowest {
            self.lowest_median = median;
        }
    }
}

/// Learned latencies of each class and of all classes together, in microseconds.
pub(crate) struct Latencies {
    /// By class id.
    classes: Vec<ClassLatency>,
    /// Latencies of all classes together.
    overall: DecayingHistogram,
}

impl Latencies {
    /// Creates latencies without samples for `classes` classes.
    pub fn new(classes: usize) -> Self {
        Latencies {
            classes: (0..classes).map(|_| ClassLatency::new()).collect(),
            overall: DecayingHistogram::new(&LATENCY_HISTOGRAM),
        }
    }

    /// Number of classes.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Median latency of all classes together, 0 before the first sample.
    pub fn overall_median(&self) -> f64 {
        self.overall.median()
    }

    /// Median latency of the class, however few samples there are: 0 before the first one.
    pub fn class_median(&self, class: ClassId) -> f64 {
        self.classes[class].histogram.median()
    }

    /// Lowest median latency of the class seen lately, 0 while none is known.
    pub fn lowest_median(&self, class: ClassId) -> f64 {
        self.classes[class].lowest_median
    }

    /// Histogram of the class, `None` while it has too few samples.
    pub fn class_histogram(&self, class: ClassId) -> Option<&DecayingHistogram> {
        let histogram = &self.classes[class].histogram;
        (histogram.samples() >= MIN_SAMPLES).then_some(histogram)
    }

    /// Histogram of the class, or that of all classes, or `None` while both have too few samples.
    pub fn class_or_overall_histogram(&self, class: ClassId) -> Option<&DecayingHistogram> {
        let overall = || (self.overall.samples() >= MIN_SAMPLES).then_some(&self.overall);
        self.class_histogram(class).or_else(overall)
    }

    /// Median latency of the class, or that of all classes, or `None` while both have too few samples.
    pub fn class_or_overall_median(&self, class: ClassId) -> Option<f64> {
        self.class_or_overall_histogram(class).map(DecayingHistogram::median)
    }

    /// Records the hinted work of a request, and returns by which factor its latency is expected to differ
    /// from that of a request with mean work; 1 without a hint. `recent_requests` is the decayed number of
    /// requests of the class.
    pub fn record_work(&mut self, class: ClassId, work: Option<Micros>, recent_requests: f64) -> f64 {
        let latency = &mut self.classes[class];
        let work = work.map_or(0.0, |work| work as f64);
        latency.mean_work += (work - latency.mean_work) / recent_requests.clamp(1.0, MEAN_WORK_REQUESTS);
        if work > 0.0 { 1.0 + WORK_DEPENDENT_SHARE * (work / latency.mean_work - 1.0) } else { 1.0 }
    }

    /// Records the end of an attempt, and returns what it shows about queueing at the servers.
    pub fn record(&mut self, settings: &Settings, request: &Request, end: &AttemptEnd) -> QueueSignal {
        let class = &mut self.classes[request.class()];
        let latency = end.latency as f64;
        let work_scale = request.work_scale();
        if matches!(end.outcome, Outcome::Ok | Outcome::TimedOut) {
            let sample = if end.outcome == Outcome::Ok { Sample::Complete } else { Sample::Censored };
            class.histogram.record(latency / work_scale, sample);
            self.overall.record(latency / work_scale, sample);
        }
        let objective = time_limits::tier_objective(settings, request.class());
        QueueSignal::of(end.outcome, latency, class.lowest_median, work_scale, objective)
    }

    /// Lets old samples decay. `elapsed` microseconds have passed since the last call.
    pub fn decay(&mut self, now: Micros, elapsed: f64, half_life: f64) {
        for class in &mut self.classes {
            class.histogram.decay(now, half_life);
            class.update_lowest_median(elapsed, half_life);
        }
        self.overall.decay(now, half_life);
    }

    /// Exports the latencies and the hinted work. `learned.classes` has an entry for each class.
    pub fn export(&self, learned: &mut LearnedState) {
        learned.all_classes = self.overall.export();
        for (class, learned) in self.classes.iter().zip(&mut learned.classes) {
            learned.latency = class.histogram.export();
            learned.lowest_median = class.lowest_median;
            learned.mean_work = class.mean_work;
        }
    }

    /// Imports the latencies and the hinted work.
    pub fn import(&mut self, learned: &LearnedState) {
        self.overall.import(learned.saved_at, &learned.all_classes);
        for (class, learned_class) in self.classes.iter_mut().zip(&learned.classes) {
            class.histogram.import(learned.saved_at, &learned_class.latency);
            class.lowest_median = learned_class.lowest_median;
            class.mean_work = learned_class.mean_work;
        }
    }
}
