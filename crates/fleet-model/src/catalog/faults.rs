//! The faults that the parts of a kind add to a scenario.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::random::uniform;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::span::Span;

/// Classes that a fault of a single class can affect.
const AFFECTED_CLASSES: [&str; 3] = ["view-ad", "search", "post-ad"];
/// Share of the scenarios in which faults of servers affect the second tier.
const SECOND_TIER_SHARE: f64 = 0.4;

/// Returns a fault that begins at `at` and lasts `length`, both in seconds, with every other field at its default.
pub(crate) fn fault(kind: FaultKind, at: f64, length: f64) -> Fault {
    Fault {
        kind,
        at: Span::s(at),
        length: Span::s(length),
        tier: 0,
        targets: Vec::new(),
        zone: None,
        class: None,
        share: 1.0,
        factor: 1.0,
        restores_learned_state: false,
        restarts: false,
        drain_time: Span(0),
    }
}

/// Draws a share of the indexes below `total`, at least one of them, in ascending order.
fn choose_indexes(rng: &mut ChaCha8Rng, total: usize, share: f64) -> Vec<usize> {
    let count = ((total as f64 * share).round() as usize).clamp(1, total);
    let mut indexes: Vec<usize> = (0..total).collect();
    for index in 0..count {
        let other = rng.random_range(index..total);
        indexes.swap(index, other);
    }
    indexes.truncate(count);
    indexes.sort_unstable();
    indexes
}

/// Values that the faults of all parts have in common. They are drawn before the values of a particular fault.
struct FaultContext<'s> {
    scenario: &'s Scenario,
    tier: usize,
    /// Number of servers of the tier.
    servers: usize,
    /// Time at which the fault begins, in seconds.
    begin: f64,
    /// Duration in seconds, for the kinds that do not draw another one.
    length: f64,
}

/// Draws the fault of a part and adds it to a scenario. Has no effect for a part without a fault.
pub(super) fn add(scenario: &mut Scenario, part: &str, rng: &mut ChaCha8Rng) {
    let scenario_length = scenario.length.secs();
    let tier = usize::from(rng.random::<f64>() < SECOND_TIER_SHARE);
    let context = FaultContext {
        tier,
        servers: count_servers(scenario, tier),
        begin: uniform(rng, (0.15, 0.35)) * scenario_length,
        length: uniform(rng, (0.4, 0.6)) * scenario_length,
        scenario,
    };
    let drawn = context.server_fault(part, rng).or_else(|| context.fleet_fault(part, rng));
    scenario.faults.extend(drawn);
}

fn count_servers(scenario: &Scenario, tier: usize) -> usize {
    scenario.tiers[tier].servers.iter().sum::<u32>() as usize
}

fn draw_class(rng: &mut ChaCha8Rng) -> String {
    AFFECTED_CLASSES[rng.random_range(0..AFFECTED_CLASSES.len())].to_owned()
}

impl FaultContext<'_> {
    /// Draws the fault of a part that affects servers of one tier, or a class of requests.
    fn server_fault(&self, part: &str, rng: &mut ChaCha8Rng) -> Option<Fault> {
        let drawn = match part {
            "errors" => self.fast_errors(rng),
            "heavy" => self.heavy_tail(rng),
            "deploy" => self.rolling_deploy(rng),
            "silent" => {
                let targets = choose_indexes(rng, self.servers, 0.0);
                Fault { tier: self.tier, targets, ..fault(FaultKind::Silent, self.begin, self.length) }
            }
            "slowclass" => self.slow_class(rng),
            "resets" => {
                let targets = choose_indexes(rng, self.servers, 0.25);
                let share = uniform(rng, (0.1, 0.6));
                Fault { tier: self.tier, targets, share, ..fault(FaultKind::Resets, self.begin, self.length) }
            }
            "join" => {
                let targets = choose_indexes(rng, self.servers, 0.6);
                Fault { tier: self.tier, targets, ..fault(FaultKind::Replaced, self.begin, 7.0) }
            }
            _ => return None,
        };
        Some(drawn)
    }

    /// Draws the fault of a part that affects a zone, balancers or discovery.
    fn fleet_fault(&self, part: &str, rng: &mut ChaCha8Rng) -> Option<Fault> {
        let begin = self.begin;
        let drawn = match part {
            "zone" => {
                let zone = Some(self.scenario.zones[1].clone());
                Fault { zone, ..fault(FaultKind::ZoneLost, begin, uniform(rng, (6.0, 12.0))) }
            }
            "killed" => self.one_balancer(rng, FaultKind::BalancerKilled, (4.0, 9.0)),
            "together" => fault(FaultKind::BalancerKilled, begin, 1.0),
            "restart" => fault(FaultKind::BalancerRestart, begin, self.length),
            "upgrade" | "bare" => {
                let restores_learned_state = part == "upgrade";
                Fault { restores_learned_state, ..fault(FaultKind::ProcessReplaced, begin, self.length) }
            }
            "hand" => self.excluded_by_operators(rng),
            "evacuate" => self.one_balancer(rng, FaultKind::Evacuated, (5.0, 10.0)),
            "disco" => fault(FaultKind::DiscoveryOutage, begin, self.length),
            _ => return None,
        };
        Some(drawn)
    }

    fn fast_errors(&self, rng: &mut ChaCha8Rng) -> Fault {
        // The share of the servers is drawn from a copy of the generator, so that the choice of the servers starts
        // with the same number. Stored results fix this.
        let server_share = uniform(&mut rng.clone(), (0.1, 0.2));
        let targets = choose_indexes(rng, self.servers, server_share);
        let share = uniform(rng, (0.32, 0.99));
        let length = uniform(rng, (6.1, 29.0));
        Fault { tier: self.tier, targets, share, ..fault(FaultKind::FastErrors, self.begin, length) }
    }

    fn heavy_tail(&self, rng: &mut ChaCha8Rng) -> Fault {
        let class = Some(draw_class(rng));
        let share = uniform(rng, (0.0069, 0.029));
        let factor = uniform(rng, (5.1, 30.0));
        let length = uniform(rng, (11.0, 30.0));
        Fault { class, share, factor, ..fault(FaultKind::HeavyTail, self.begin, length) }
    }

    fn rolling_deploy(&self, rng: &mut ChaCha8Rng) -> Fault {
        // A copy of the generator, as in `fast_errors`.
        let server_share = uniform(&mut rng.clone(), (0.51, 0.99));
        let targets = choose_indexes(rng, self.servers, server_share);
        let share = uniform(rng, (0.074, 0.19));
        let drain_time = Span::s(uniform(rng, (2.9, 6.0)));
        let length = uniform(rng, (22.0, 38.0)).min(self.scenario.length.secs() - self.begin);
        let tier = self.tier;
        Fault { tier, targets, share, drain_time, ..fault(FaultKind::RollingDeploy, self.begin, length) }
    }

    fn slow_class(&self, rng: &mut ChaCha8Rng) -> Fault {
        let class = Some(draw_class(rng));
        let targets = choose_indexes(rng, self.servers, 0.15);
        let factor = uniform(rng, (3.0, 10.0));
        let tier = self.tier;
        Fault { tier, targets, class, factor, ..fault(FaultKind::Slow, self.begin, self.length) }
    }

    /// Draws the servers that operators exclude, from the first tier.
    fn excluded_by_operators(&self, rng: &mut ChaCha8Rng) -> Fault {
        let targets = choose_indexes(rng, count_servers(self.scenario, 0), 0.2);
        let drain_time = Span::s(uniform(rng, (2.5, 4.0)));
        let length = uniform(rng, (6.0, 14.0));
        Fault {
            targets,
            drain_time,
            restarts: true,
            ..fault(FaultKind::ExcludedByOperators, self.begin, length)
        }
    }

    fn one_balancer(&self, rng: &mut ChaCha8Rng, kind: FaultKind, length: (f64, f64)) -> Fault {
        let targets = choose_indexes(rng, self.scenario.balancers.zones.len(), 0.0);
        Fault { targets, ..fault(kind, self.begin, uniform(rng, length)) }
    }
}
