use super::*;

const CONFIG: HistogramConfig = HistogramConfig {
    lowest_edge: 1.0,
    buckets_per_doubling: 8.0,
    bucket_count: 80,
    max_remaining: 0.95,
    min_retained_samples: 10.0,
    min_tail_samples: 50.0,
    max_censored_share: 0.01,
    tail_widening: 1.5,
    max_tail_factor: 4.0,
};

fn histogram(values: impl IntoIterator<Item = u32>) -> DecayingHistogram {
    let mut histogram = DecayingHistogram::new(&CONFIG);
    for value in values {
        histogram.record(f64::from(value), Sample::Complete);
    }
    histogram
}

fn within_ten_percent(actual: f64, expected: f64) -> bool {
    (actual / expected - 1.0).abs() < 0.1
}

#[test]
fn percentiles_are_accurate_to_ten_percent() {
    let histogram = histogram(1..=100);
    assert!(within_ten_percent(histogram.median, 50.0), "{}", histogram.median);
    assert!(within_ten_percent(histogram.p90, 90.0), "{}", histogram.p90);
    assert!(within_ten_percent(histogram.p99, 99.0), "{}", histogram.p99);
}

#[test]
fn with_few_samples_the_99th_percentile_is_infinite() {
    assert_eq!(histogram(1..=49).p99, f64::INFINITY);
    assert!(histogram(1..=50).p99.is_finite());
}

#[test]
fn censored_values_widen_the_99th_percentile_up_to_a_bound() {
    let mut histogram = histogram(std::iter::repeat_n(10, 100));
    let before = histogram.p99;
    histogram.record(10.0, Sample::Censored);
    assert!(within_ten_percent(histogram.p99, 1.5 * before), "{}", histogram.p99);
    for _ in 0..100 {
        histogram.record(10.0, Sample::Censored);
    }
    assert_eq!(histogram.tail_factor, 4.0);
}

#[test]
fn samples_halve_per_half_life_down_to_the_retained_minimum() {
    let mut histogram = histogram(std::iter::repeat_n(10, 100));
    histogram.decay(1_000, 1_000.0);
    assert!((histogram.total - 50.0).abs() < 1e-9, "{}", histogram.total);
    histogram.decay(1_000_000, 1_000.0);
    assert!((histogram.total - 10.0).abs() < 1e-9, "{}", histogram.total);
}

#[test]
fn a_restored_histogram_has_the_percentiles_of_the_saved_one() {
    let saved = histogram(1..=100);
    let mut restored = DecayingHistogram::new(&CONFIG);
    restored.import(0, &saved.export());
    assert_eq!((restored.median, restored.p90, restored.p99), (saved.median, saved.p90, saved.p99));
}
