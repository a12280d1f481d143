use super::*;

#[test]
fn a_steady_rate_gives_its_interval_once_it_ran_for_long() {
    let half_life = 1_000_000.0;
    let interval: Micros = 10_000;
    let mut rate = DecayingRate { recent_count: 0.0, started_at: 0, half_life };
    let remaining = 0.5_f64.powf(interval as f64 / half_life);
    for _ in 0..2_000 {
        rate.recent_count = rate.recent_count * remaining + 1.0;
    }
    let measured = rate.mean_interval(2_000 * interval, 6.0);
    assert!((measured / interval as f64 - 1.0).abs() < 0.01, "{measured}");
}

#[test]
fn a_rate_that_started_a_moment_ago_allows_for_its_short_time() {
    let rate = DecayingRate { recent_count: 10.0, started_at: 0, half_life: 1_000_000.0 };
    let measured = rate.mean_interval(100_000, 6.0);
    assert!((measured / 10_000.0 - 1.0).abs() < 0.05, "{measured}");
}
