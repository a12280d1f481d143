//! Scenarios in which servers start and warm up.

use rand::RngExt;

use super::{BINS, BINS_PER_WARM_UP, RuleOverrides, Shape};
use crate::catalog::{self, Size};
use crate::random::{self, Purpose, uniform};
use crate::scenario::{Class, DistributionKind, Fault, FaultKind, Scenario, ScenarioError};
use crate::span::Span;

/// Time at which servers begin to restart, in seconds. By then, balancers with little traffic have sent some requests.
const FAULTS_BEGIN: f64 = 8.0;
/// Coefficient of variation of the traffic of balancers. The busiest of many gets several times the mean.
const TRAFFIC_DEVIATION: f64 = 1.0;
/// Range of the share of servers in the first zone.
const FIRST_ZONE_SHARE: (f64, f64) = (0.4, 0.6);
/// Range of the utilization of the servers.
const UTILIZATION: (f64, f64) = (0.54, 0.68);
/// Number of the random stream of these scenarios, which separates it from the draws of faults of the catalog.
const RANDOM_STREAM: u64 = 2_000;

/// Returns the number of servers for a number of balancers. Each balancer gets only some requests per second.
fn server_count(balancers: u32) -> u32 {
    match balancers {
        0..=4 => 6,
        5..=16 => 8,
        17..=60 => 10,
        61..=200 => 20,
        _ => 30,
    }
}

/// Returns the work of a request in seconds, weighted by the shares of the classes.
pub(super) fn mean_work(classes: &[Class], seed: u64) -> f64 {
    classes.iter().map(|class| class.share * catalog::mean_work(class, seed)).sum::<f64>()
}

/// Draws a scenario of a shape. It has one tier, is otherwise like the kind `busy` of the site, and is as long as the
/// shape requires.
///
/// # Errors
///
/// The rules contradict themselves.
pub fn build_scenario(
    shape: Shape,
    balancers: u32,
    seed: u64,
    rules: RuleOverrides,
) -> Result<Scenario, ScenarioError> {
    let mut scenario = catalog::generate("busy", seed, Size::Site)?;
    let rng = &mut random::stream(seed, Purpose::Failure, RANDOM_STREAM);
    let count = server_count(balancers);
    scenario.name = format!("slow-start {} {balancers} {seed}", shape.name());
    scenario.tiers.truncate(1);
    let tier = &mut scenario.tiers[0];
    tier.servers = catalog::split_between_zones(count, uniform(rng, FIRST_ZONE_SHARE));
    tier.calls = 0.0;
    tier.work = 1.0;
    tier.initial_capacity = rules.initial_capacity.unwrap_or(tier.initial_capacity);
    scenario.rules.overload_factor = rules.overload_factor.unwrap_or(scenario.rules.overload_factor);
    let shares: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let work = mean_work(&scenario.classes, seed) / shares;
    let cores = f64::from(count * scenario.tiers[0].cores) * scenario.tiers[0].speed;
    scenario.load.rate = cores / work * uniform(rng, UTILIZATION);
    let in_first_zone = catalog::split_between_zones(balancers, scenario.load.zone_shares[0])[0];
    let zone_of = |balancer: u32| scenario.zones[usize::from(balancer >= in_first_zone)].clone();
    scenario.balancers.zones = (0..balancers).map(zone_of).collect();
    let mut draw_share = |_| random::factor(rng, DistributionKind::Lognormal, TRAFFIC_DEVIATION);
    scenario.balancers.shares = (0..balancers).map(&mut draw_share).collect();
    let shuffled = shuffled_servers(count, rng);
    let faults_last = add_faults(&mut scenario, shape, &shuffled);
    let observed = scenario.tiers[0].warm_up_time.secs() * BINS as f64 / BINS_PER_WARM_UP;
    scenario.length = Span::s(FAULTS_BEGIN + faults_last + observed);
    scenario.check()?;
    Ok(scenario)
}

fn shuffled_servers(count: u32, rng: &mut impl rand::Rng) -> Vec<usize> {
    let count = count as usize;
    let mut servers: Vec<usize> = (0..count).collect();
    for index in 0..count {
        servers.swap(index, rng.random_range(index..count));
    }
    servers
}

/// Adds the faults of a shape and returns their duration in seconds.
fn add_faults(scenario: &mut Scenario, shape: Shape, shuffled: &[usize]) -> f64 {
    let replaced = |share: f64, seconds: f64| {
        let affected = (shuffled.len() as f64 * share).round().max(1.0) as usize;
        let targets = shuffled[..affected].to_vec();
        Fault { targets, ..catalog::fault(FaultKind::Replaced, FAULTS_BEGIN, seconds) }
    };
    match shape {
        Shape::Restart => {
            scenario.faults.push(replaced(0.2, 4.0));
            4.0
        }
        Shape::Release => {
            scenario.faults.push(replaced(0.6, 7.0));
            7.0
        }
        Shape::Zone => {
            let zone = Some(scenario.zones[1].clone());
            scenario.faults.push(Fault { zone, ..catalog::fault(FaultKind::ZoneLost, FAULTS_BEGIN, 5.0) });
            5.0
        }
        Shape::Start => {
            scenario.faults.push(replaced(0.6, 1.0));
            scenario.faults.push(catalog::fault(FaultKind::BalancerKilled, FAULTS_BEGIN, 1.0));
            // A notice that arrived after the restart would be attributed to the new process.
            scenario.balancers.detection_delay = Span::ms(500.0);
            1.0
        }
    }
}
