//! Scenarios of many equal tiers.

use super::DepthCondition;
use crate::catalog::{fault, plain};
use crate::scenario::{Class, Fault, FaultKind, Scenario, Tier};
use crate::span::Span;

/// Servers of every tier, and balancers of the first tier.
pub const SERVERS: u32 = 20;
/// Calls per second to each balancer of the first tier, as in the planned fleet.
pub const RATE: f64 = 225.0;
/// Mean work of a call at a server, in milliseconds. With two cores and [`RATE`], servers are 45% busy.
const MEAN_WORK_MS: f64 = 4.0;
/// Mean of the distribution of work before it is cut off at [`MAX_WORK_MS`], which leaves [`MEAN_WORK_MS`].
const UNLIMITED_MEAN_WORK_MS: f64 = 4.4;
/// Coefficient of variation of that distribution.
const WORK_VARIATION: f64 = 2.0;
/// Longest work of a call, in milliseconds.
const MAX_WORK_MS: f64 = 30.0;
/// Coefficient of variation of the work under [`DepthCondition::EvenWork`].
const EVEN_WORK_VARIATION: f64 = 0.5;
/// Latency objective of a request for each tier, in milliseconds.
const OBJECTIVE_MS: f64 = 50.0;
/// Deadline of a request for each tier, in milliseconds.
const DEADLINE_MS: f64 = 100.0;
/// Deadline of a request under [`DepthCondition::FixedDeadline`], in milliseconds.
const FIXED_DEADLINE_MS: f64 = 800.0;
/// Index of the faulty server of the last tier, where a single server is faulty.
const FAULTY_SERVER: usize = 3;
/// Share of the requests that fail at servers that do not fail all.
const ERROR_SHARE: f64 = 0.2;
/// Factor of the work at slow servers.
const SLOW_FACTOR: f64 = 1.8;

/// Builds a scenario of equally busy tiers in which each request makes one call of the next tier.
pub fn build_scenario(tiers: usize, condition: DepthCondition, seed: u64, seconds: f64) -> Scenario {
    let mut scenario = plain(seed, seconds, vec!["a".to_owned()], SERVERS, RATE * f64::from(SERVERS));
    scenario.name = format!("{} tiers, {}", tiers, condition.name());
    set_class(&mut scenario.classes[0], tiers, condition);
    scenario.tiers = equal_tiers(&scenario.tiers[0], tiers);
    scenario.faults = faults(condition, tiers - 1, seconds);
    scenario
}

fn set_class(class: &mut Class, tiers: usize, condition: DepthCondition) {
    let deadline = match condition {
        DepthCondition::FixedDeadline => FIXED_DEADLINE_MS,
        _ => DEADLINE_MS * tiers as f64,
    };
    if condition == DepthCondition::EvenWork {
        class.work = Span::ms(MEAN_WORK_MS);
        class.work_cv = EVEN_WORK_VARIATION;
    } else {
        class.work = Span::ms(UNLIMITED_MEAN_WORK_MS);
        class.work_cv = WORK_VARIATION;
    }
    class.max_work = Span::ms(MAX_WORK_MS);
    class.latency_objective = Span::ms(deadline * OBJECTIVE_MS / DEADLINE_MS);
    class.deadline = Span::ms(deadline);
}

/// Returns copies of a tier, each of which but the last calls the next one once for a request.
fn equal_tiers(pattern: &Tier, count: usize) -> Vec<Tier> {
    let numbered = |index: usize| Tier {
        name: format!("tier {index}"),
        servers: vec![SERVERS],
        calls: if index + 1 == count { 0.0 } else { 1.0 },
        ..pattern.clone()
    };
    (0..count).map(numbered).collect()
}

/// Returns the faults of the last tier, which last for the whole scenario.
fn faults(condition: DepthCondition, last_tier: usize, seconds: f64) -> Vec<Fault> {
    let in_last_tier = |kind| Fault { tier: last_tier, ..fault(kind, 0.0, seconds) };
    let one_server = vec![FAULTY_SERVER];
    match condition {
        DepthCondition::Healthy | DepthCondition::FixedDeadline | DepthCondition::EvenWork => Vec::new(),
        DepthCondition::OnePercent => {
            vec![Fault { targets: one_server, share: ERROR_SHARE, ..in_last_tier(FaultKind::FastErrors) }]
        }
        DepthCondition::FivePercent => {
            vec![Fault { targets: one_server, ..in_last_tier(FaultKind::FastErrors) }]
        }
        DepthCondition::TwentyPercent => {
            vec![Fault { share: ERROR_SHARE, ..in_last_tier(FaultKind::FastErrors) }]
        }
        DepthCondition::Slow => vec![Fault { factor: SLOW_FACTOR, ..in_last_tier(FaultKind::Slow) }],
    }
}
