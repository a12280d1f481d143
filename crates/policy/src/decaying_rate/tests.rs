use super::*;

#[test]
fn a_steady_rate_yields_its_interval_after_many_half_lives() {
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
fn the_interval_is_corrected_shortly_after_the_start() {
    let rate = DecayingRate { recent_count: 10.0, started_at: 0, half_life: 1_000_000.0 };
    let measured = rate.mean_interval(100_000, 6.0);
    assert!((measured / 10_000.0 - 1.0).abs() < 0.05, "{measured}");
}
