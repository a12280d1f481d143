//! Costs as counts: what a call costs by number of tiers, and a change of servers by number of balancers.

use zincstand_fleet_model::depth::{self, Trouble};
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scenario::{FaultKind, Scenario};
use zincstand_fleet_model::{Played, Span, play};

/// Attempts in each tier for one first try of a client.
fn attempts(played: &Played) -> Vec<f64> {
    let tiers = played.detail.tiers[0].len();
    let total =
        |tier: usize| played.detail.tiers.iter().map(|second| second[tier].attempts).sum::<u64>() as f64;
    (0..tiers).map(|tier| total(tier) / played.result.requests as f64).collect()
}

/// A day that is quick to play: a sixteenth of the traffic for a sixteenth of the servers' speed, so as busy.
fn short(tiers: usize, trouble: Trouble) -> Scenario {
    let mut day = depth::day(tiers, trouble, 7, 1.5);
    day.load.rate /= 16.0;
    for tier in &mut day.tiers {
        tier.speed /= 16.0;
    }
    let class = &mut day.classes[0];
    class.aim.0 *= 16;
    class.deadline.0 *= 16;
    day
}

/// Where work is even, a caller's P99 is little more than what its call needs: tiers that required several P50 of time
/// left rejected everything, so that nothing was served from the fourth tier on.
#[test]
fn tiers_of_even_work_serve_what_callers_bound_by_their_percentiles() {
    for tiers in [4, 8] {
        let ends =
            play(&depth::day(tiers, Trouble::EvenWork, 1, 3.0), Kind::Module, false).unwrap().result.ends;
        let all = ends.served + ends.late + ends.refused + ends.failed;
        assert!(
            f64::from(ends.served) > 0.9 * f64::from(all),
            "{tiers} tiers: {} of {all} served",
            ends.served
        );
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
    for (tier, attempts) in by_tier.iter().enumerate() {
        let limit = 1.1_f64.powi(tier as i32 + 1);
        assert!(
            *attempts <= limit,
            "tier {tier}: {attempts:.3} attempts for a first try, budgets allow {limit:.3}"
        );
        assert!(*attempts >= 0.9, "tier {tier}: only {attempts:.3} attempts for a first try");
    }
}

/// Errors of the last tier's servers are retried by their own callers first: the tiers above send few more attempts.
#[test]
fn retries_of_errors_in_the_last_tier_stay_within_every_budget() {
    let played = play(&short(8, Trouble::TwentyPercent), Kind::Module, false).unwrap();
    let by_tier = attempts(&played);
    // Each balancer may save up five retries beside the tenth of its requests: with few calls these count.
    let saved = 5.0 * f64::from(depth::SERVERS) / played.result.requests as f64;
    for (tier, attempts) in by_tier.iter().enumerate() {
        let limit = (1.1 + saved).powi(tier as i32 + 1);
        assert!(
            *attempts <= limit,
            "tier {tier}: {attempts:.3} attempts for a first try, budgets allow {limit:.3}"
        );
    }
    assert!(by_tier[7] > 1.05, "nothing was retried: {by_tier:.3?}");
}

/// If a repeat further up met the random draws of the attempt before, each retry would meet the very same error.
#[test]
fn a_repeat_two_tiers_up_has_draws_of_its_own() {
    let mut day = short(4, Trouble::TwentyPercent);
    day.limits.max_attempts = 2;
    day.faults[0].share = 0.6;
    let first = play(&day, Kind::TwoChoices, false).unwrap();
    let served = f64::from(first.result.ends.served + first.result.ends.late) / first.result.requests as f64;
    // Two attempts in each of four tiers: 0.6^16 of the calls fail; 0.6^4 if only the last two tiers drew anew.
    assert!(served > 0.99, "{served:.4} of the calls were answered; repeats meet the same errors");
}

/// What discovery sent on a day.
#[derive(Debug, PartialEq)]
struct Traffic {
    messages: u64,
    entries: u64,
}

fn discovery_traffic(day: &Scenario) -> Traffic {
    let seconds = play(day, Kind::TwoChoices, false).unwrap().detail.discovery;
    Traffic {
        messages: seconds.iter().map(|second| second.messages).sum(),
        entries: seconds.iter().map(|second| second.entries).sum(),
    }
}

#[test]
fn a_change_costs_discovery_one_message_a_balancer() {
    let mut day = short(2, Trouble::Healthy);
    let mut fault = day
        .faults
        .first()
        .cloned()
        .unwrap_or_else(|| depth::day(2, Trouble::FivePercent, 7, 1.5).faults[0].clone());
    fault.kind = FaultKind::RollingDeploy;
    fault.tier = 0;
    fault.which = vec![3];
    fault.at = Span::ms(200.0);
    fault.length = Span::ms(100.0);
    fault.share = 1.0;
    let before = discovery_traffic(&day);
    // At the start, a complete list for each balancer of both tiers.
    assert_eq!(before, Traffic { messages: 40, entries: 40 * 20 });
    day.faults = vec![fault];
    let after = discovery_traffic(&day);
    // It drains, and is ready again: two entries for each of the 20 balancers before it. The server's own
    // balancer starts again too, with a complete list of its own.
    let entries = after.entries - before.entries;
    assert_eq!(entries, 2 * 20 + 20, "{before:?} {after:?}");
    let messages = after.messages - before.messages;
    assert!((21..=41).contains(&messages), "{messages} messages for two changes and 20 balancers");
}
