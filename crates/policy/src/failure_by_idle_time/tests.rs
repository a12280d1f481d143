use super::*;

#[test]
fn a_failure_counts_for_longer_idle_times_and_a_success_for_shorter_ones() {
    let mut shares = FailureByIdleTime::new();
    shares.record(10, true, 0.5);
    assert_eq!([shares.share(9), shares.share(10), shares.share(63)], [0.0, 0.5, 0.5]);
    shares.record(12, false, 0.5);
    assert_eq!([shares.share(10), shares.share(12), shares.share(13)], [0.25, 0.25, 0.5]);
}

#[test]
fn each_bucket_spans_a_doubling_of_the_idle_time() {
    let buckets = [0, 127, 128, 255, 256].map(|idle_time| FailureByIdleTime::bucket(idle_time, 64));
    assert_eq!(buckets, [0, 0, 1, 1, 2]);
}
