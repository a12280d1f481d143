//! Slopes as counts: what a call costs by tiers and a change by balancers.

use zincstand_fleet_model::depth::{self, Trouble};
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scenario::{FaultKind, Scenario};
use zincstand_fleet_model::{Played, play};

/// Attempts in each tier for one first call.
fn attempts(played: &Played) -> Vec<f64> {
    let tiers = played.detail.tiers[0].len();
    let sum = |t: usize| played.detail.tiers.iter().map(|s| s[t].attempts).sum::<u64>() as f64;
    (0..tiers).map(|t| sum(t) / played.result.requests as f64).collect()
}

fn short(tiers: usize, trouble: Trouble) -> Scenario {
    let mut day = depth::day(tiers, trouble, 7, 1.5);
    // A sixteenth of the traffic for a sixteenth of the servers' speed: as busy, and quick to play.
    day.load.rate /= 16.0;
    day.tiers.iter_mut().for_each(|t| t.speed /= 16.0);
    let c = &mut day.classes[0];
    for span in [&mut c.aim, &mut c.deadline] {
        span.0 *= 16;
    }
    day
}

/// Where work is even, a caller's P99 is little more than what its call needs: tiers that wanted several P50 left
/// refused all that came, and served nothing from the fourth on.
#[test]
fn tiers_of_even_work_serve_what_callers_bound_by_their_percentiles() {
    for tiers in [4, 8] {
        let ends =
            play(&depth::day(tiers, Trouble::EvenWork, 1, 3.0), Kind::Module, false).unwrap().result.ends;
        let all = ends.served + ends.late + ends.refused + ends.failed;
        assert!(ends.served as f64 > 0.9 * all as f64, "{tiers} tiers: {} of {all} served", ends.served);
    }
}

#[test]
fn days_end_at_thirty_two_tiers() {
    assert!(depth::day(30, Trouble::Healthy, 1, 1.0).check().is_ok());
    assert!(depth::day(32, Trouble::Healthy, 1, 1.0).check().is_ok());
    let error = depth::day(33, Trouble::Healthy, 1, 1.0).check().unwrap_err();
    assert!(error.to_string().contains("at most 32 tiers"), "{error}");
}

#[test]
fn eight_healthy_tiers_multiply_a_call_by_less_than_a_tenth_each() {
    let played = play(&short(8, Trouble::Healthy), Kind::Module, false).unwrap();
    assert_eq!(played.result.broken, 0, "{:?}", played.result.breaches);
    let by_tier = attempts(&played);
    assert_eq!(by_tier.len(), 8);
    for (tier, n) in by_tier.iter().enumerate() {
        let most = 1.1_f64.powi(tier as i32 + 1);
        assert!(*n <= most, "tier {tier}: {n:.3} attempts for a first call, budgets allow {most:.3}");
        assert!(*n >= 0.9, "tier {tier}: only {n:.3} attempts for a first call");
    }
}

/// Errors that every server of the last tier makes are met by its own caller first: the tiers above send few more.
#[test]
fn retries_of_errors_in_the_last_tier_stay_within_every_budget() {
    let played = play(&short(8, Trouble::TwentyPercent), Kind::Module, false).unwrap();
    let by_tier = attempts(&played);
    // Each balancer may save five retries beside the tenth: with few calls these count.
    let saved = 5.0 * f64::from(depth::SERVERS) / played.result.requests as f64;
    for (tier, n) in by_tier.iter().enumerate() {
        let most = (1.1 + saved).powi(tier as i32 + 1);
        assert!(*n <= most, "tier {tier}: {n:.3} attempts for a first call, budgets allow {most:.3}");
    }
    assert!(by_tier[7] > 1.05, "nothing was tried again: {by_tier:.3?}");
}

/// Where a repeat further up met the draws of the attempt before, each retry would meet the very same error.
#[test]
fn a_repeat_two_tiers_up_has_draws_of_its_own() {
    let mut day = short(4, Trouble::TwentyPercent);
    day.limits.max_attempts = 2;
    day.faults[0].share = 0.6;
    let first = play(&day, Kind::TwoChoices, false).unwrap();
    let served = f64::from(first.result.ends.served + first.result.ends.late) / first.result.requests as f64;
    // Two tries in each of four tiers: 0.6^16 of the calls fail; 0.6^4 where only the last two tiers draw anew.
    assert!(served > 0.99, "{served:.4} of the calls were answered; repeats meet the same errors");
}

#[test]
fn a_change_costs_discovery_one_message_a_balancer() {
    let mut day = short(2, Trouble::Healthy);
    let mut fault = day
        .faults
        .first()
        .cloned()
        .unwrap_or_else(|| depth::day(2, Trouble::FivePercent, 7, 1.5).faults[0].clone());
    (fault.kind, fault.tier, fault.which) = (FaultKind::RollingDeploy, 0, vec![3]);
    (fault.at, fault.length, fault.share) =
        (zincstand_fleet_model::Span::ms(200.0), zincstand_fleet_model::Span::ms(100.0), 1.0);
    let sent = |day: &Scenario| {
        let played = play(day, Kind::TwoChoices, false).unwrap();
        let all = played.detail.discovery;
        (all.iter().map(|n| n.messages).sum::<u64>(), all.iter().map(|n| n.entries).sum::<u64>())
    };
    let before = sent(&day);
    // At the start, a whole list for each balancer of both tiers.
    assert_eq!(before, (40, 40 * 20));
    day.faults = vec![fault];
    let after = sent(&day);
    // It drains, and is ready again: two entries for each of the 20 balancers before it. The balancer behind the
    // server starts again too, with a whole list of its own.
    let entries = after.1 - before.1;
    assert_eq!(entries, 2 * 20 + 20, "{before:?} {after:?}");
    let messages = after.0 - before.0;
    assert!((21..=41).contains(&messages), "{messages} messages for two changes and 20 balancers");
}
