//! Costs as counts: attempts of a call by the number of tiers, and messages of a change by the number of balancers.

use zincstand_fleet_model::depth::{self, DepthCondition};
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scenario::{FaultKind, Scenario};
use zincstand_fleet_model::{ScenarioRun, Span, run_scenario};

/// Attempts in each tier for one first attempt of a client.
fn attempts(run: &ScenarioRun) -> Vec<f64> {
    let tiers = run.detail.tiers[0].len();
    let total = |tier: usize| run.detail.tiers.iter().map(|second| second[tier].attempts).sum::<u64>() as f64;
    (0..tiers).map(|tier| total(tier) / run.result.requests as f64).collect()
}

/// A scenario that is quick to run. It has a sixteenth of the traffic and servers with a sixteenth of the speed, so
/// that they are equally busy.
fn short(tiers: usize, condition: DepthCondition) -> Scenario {
    let mut scenario = depth::build_scenario(tiers, condition, 7, 1.5);
    scenario.load.rate /= 16.0;
    for tier in &mut scenario.tiers {
        tier.speed /= 16.0;
    }
    let class = &mut scenario.classes[0];
    class.latency_objective.0 *= 16;
    class.deadline.0 *= 16;
    scenario
}

/// If work varies little, a caller's P99 is little longer than its call takes. Tiers that required a time left of
/// several P50 rejected all requests, so that nothing was served from the fourth tier on.
#[test]
fn tiers_of_even_work_serve_what_callers_bound_by_their_percentiles() {
    for tiers in [4, 8] {
        let ends = run_scenario(
            &depth::build_scenario(tiers, DepthCondition::EvenWork, 1, 3.0),
            Kind::Module,
            false,
        )
        .unwrap()
        .result
        .ends;
        let all = ends.served + ends.late + ends.rejected + ends.failed;
        assert!(
            f64::from(ends.served) > 0.9 * f64::from(all),
            "{tiers} tiers: {} of {all} served",
            ends.served
        );
    }
}

#[test]
fn scenarios_end_at_thirty_two_tiers() {
    assert!(depth::build_scenario(30, DepthCondition::Healthy, 1, 1.0).check().is_ok());
    assert!(depth::build_scenario(32, DepthCondition::Healthy, 1, 1.0).check().is_ok());
    let error = depth::build_scenario(33, DepthCondition::Healthy, 1, 1.0).check().unwrap_err();
    assert!(error.to_string().contains("at most 32 tiers"), "{error}");
}

#[test]
fn eight_healthy_tiers_multiply_a_call_by_less_than_a_tenth_each() {
    let run = run_scenario(&short(8, DepthCondition::Healthy), Kind::Module, false).unwrap();
    assert_eq!(run.result.breach_count, 0, "{:?}", run.result.breaches);
    let by_tier = attempts(&run);
    assert_eq!(by_tier.len(), 8);
    for (tier, attempts) in by_tier.iter().enumerate() {
        let limit = 1.1_f64.powi(tier as i32 + 1);
        assert!(
            *attempts <= limit,
            "tier {tier}: {attempts:.3} attempts for a first attempt, budgets allow {limit:.3}"
        );
        assert!(*attempts >= 0.9, "tier {tier}: only {attempts:.3} attempts for a first attempt");
    }
}

/// Errors of servers of the last tier are retried by their own callers first, so that earlier tiers send few more
/// attempts.
#[test]
fn retries_of_errors_in_the_last_tier_stay_within_every_budget() {
    let run = run_scenario(&short(8, DepthCondition::TwentyPercent), Kind::Module, false).unwrap();
    let by_tier = attempts(&run);
    // Each balancer may save up five retries beside a tenth of its requests. With few calls these are significant.
    let saved = 5.0 * f64::from(depth::SERVERS) / run.result.requests as f64;
    for (tier, attempts) in by_tier.iter().enumerate() {
        let limit = (1.1 + saved).powi(tier as i32 + 1);
        assert!(
            *attempts <= limit,
            "tier {tier}: {attempts:.3} attempts for a first attempt, budgets allow {limit:.3}"
        );
    }
    assert!(by_tier[7] > 1.05, "nothing was retried: {by_tier:.3?}");
}

/// If a repeat in an earlier tier had the same random draws as the attempt before, each retry would meet the same
/// error.
#[test]
fn a_repeat_two_tiers_up_has_draws_of_its_own() {
    let mut scenario = short(4, DepthCondition::TwentyPercent);
    scenario.limits.max_attempts = 2;
    scenario.faults[0].share = 0.6;
    let first = run_scenario(&scenario, Kind::TwoChoices, false).unwrap();
    let served = f64::from(first.result.ends.served + first.result.ends.late) / first.result.requests as f64;
    // With two attempts in each of four tiers, 0.6^16 of the calls fail. If only the last two tiers drew new numbers,
    // 0.6^4 would fail.
    assert!(served > 0.99, "{served:.4} of the calls were answered; repeats meet the same errors");
}

/// Traffic of discovery in a scenario.
#[derive(Debug, PartialEq)]
struct Traffic {
    messages: u64,
    entries: u64,
}

fn discovery_traffic(scenario: &Scenario) -> Traffic {
    let seconds = run_scenario(scenario, Kind::TwoChoices, false).unwrap().detail.discovery;
    Traffic {
        messages: seconds.iter().map(|second| second.messages).sum(),
        entries: seconds.iter().map(|second| second.entries).sum(),
    }
}

#[test]
fn a_change_costs_discovery_one_message_a_balancer() {
    let mut scenario = short(2, DepthCondition::Healthy);
    let mut fault =
        scenario.faults.first().cloned().unwrap_or_else(|| {
            depth::build_scenario(2, DepthCondition::FivePercent, 7, 1.5).faults[0].clone()
        });
    fault.kind = FaultKind::RollingDeploy;
    fault.tier = 0;
    fault.targets = vec![3];
    fault.at = Span::ms(200.0);
    fault.length = Span::ms(100.0);
    fault.share = 1.0;
    let before = discovery_traffic(&scenario);
    // At the start, a complete list for each balancer of both tiers.
    assert_eq!(before, Traffic { messages: 40, entries: 40 * 20 });
    scenario.faults = vec![fault];
    let after = discovery_traffic(&scenario);
    // It drains, and is ready again: two entries for each of the 20 balancers before it. The server's own
    // balancer starts again too, with a complete list of its own.
    let entries = after.entries - before.entries;
    assert_eq!(entries, 2 * 20 + 20, "{before:?} {after:?}");
    let messages = after.messages - before.messages;
    assert!((21..=41).contains(&messages), "{messages} messages for two changes and 20 balancers");
}
