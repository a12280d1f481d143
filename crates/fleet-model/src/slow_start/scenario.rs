//! Scenarios in which servers start and warm up.

use rand::RngExt;

use super::{BINS, BINS_PER_WARM_UP, RuleOverrides, StartCause};
use crate::catalog::{self, Size};
use crate::random::{self, Purpose, uniform};
use crate::scenario::{Class, DistributionKind, Fault, FaultKind, Scenario, ScenarioError};
use crate::span::Span;

/// Time at which the faults start, in seconds. By then, even balancers with little traffic have sent some requests.
const FAULTS_START_SECONDS: f64 = 8.0;
/// Coefficient of variation of the traffic of balancers. The busiest of many balancers gets several times the mean.
const TRAFFIC_VARIATION: f64 = 1.0;
/// Range of the share of servers in the first zone.
const FIRST_ZONE_SHARE_RANGE: (f64, f64) = (0.4, 0.6);
/// Range of the utilization of the servers.
const UTILIZATION_RANGE: (f64, f64) = (0.54, 0.68);
/// Number of the random stream of these scenarios. It differs from the streams from which the catalog draws faults.
const RANDOM_STREAM: u64 = 2_000;

/// Returns the number of servers for a number of balancers. Each balancer then gets only a few requests per second.
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

/// Draws a scenario in which servers start for a cause. It is like the kind `busy` of the site, but has one tier and
/// the length that the cause requires.
///
/// # Errors
///
/// The rules contradict themselves.
pub fn build_scenario(
    cause: StartCause,
    balancers: u32,
    seed: u64,
    rules: RuleOverrides,
) -> Result<Scenario, ScenarioError> {
    let mut scenario = catalog::generate("busy", seed, Size::Site)?;
    let rng = &mut random::stream(seed, Purpose::Failure, RANDOM_STREAM);
    let count = server_count(balancers);
    scenario.name = format!("slow-start {} {balancers} {seed}", cause.name());
    scenario.tiers.truncate(1);
    let tier = &mut scenario.tiers[0];
    tier.servers = catalog::split_between_zones(count, uniform(rng, FIRST_ZONE_SHARE_RANGE));
    tier.calls = 0.0;
    tier.work = 1.0;
    tier.initial_capacity = rules.initial_capacity.unwrap_or(tier.initial_capacity);
    scenario.rules.overload_factor = rules.overload_factor.unwrap_or(scenario.rules.overload_factor);
    let total_share: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let work = mean_work(&scenario.classes, seed) / total_share;
    let cores = f64::from(count * scenario.tiers[0].cores) * scenario.tiers[0].speed;
    scenario.load.rate = cores / work * uniform(rng, UTILIZATION_RANGE);
    let in_first_zone = catalog::split_between_zones(balancers, scenario.load.zone_shares[0])[0];
    let zone_of = |balancer: u32| scenario.zones[usize::from(balancer >= in_first_zone)].clone();
    scenario.balancers.zones = (0..balancers).map(zone_of).collect();
    let mut draw_share = |_| random::factor(rng, DistributionKind::Lognormal, TRAFFIC_VARIATION);
    scenario.balancers.shares = (0..balancers).map(&mut draw_share).collect();
    let shuffled = shuffled_servers(count, rng);
    let faults_seconds = add_faults(&mut scenario, cause, &shuffled);
    let observed_seconds = scenario.tiers[0].warm_up_time.secs() * BINS as f64 / BINS_PER_WARM_UP;
    scenario.length = Span::s(FAULTS_START_SECONDS + faults_seconds + observed_seconds);
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

/// Adds the faults that make servers start and returns their duration in seconds.
fn add_faults(scenario: &mut Scenario, cause: StartCause, shuffled: &[usize]) -> f64 {
    let replaced = |share: f64, seconds: f64| {
        let affected = (shuffled.len() as f64 * share).round().max(1.0) as usize;
        let targets = shuffled[..affected].to_vec();
        Fault { targets, ..catalog::fault(FaultKind::Replaced, FAULTS_START_SECONDS, seconds) }
    };
    match cause {
        StartCause::Restart => {
            scenario.faults.push(replaced(0.2, 4.0));
            4.0
        }
        StartCause::Release => {
            scenario.faults.push(replaced(0.6, 7.0));
            7.0
        }
        StartCause::Zone => {
            let zone = Some(scenario.zones[1].clone());
            scenario
                .faults
                .push(Fault { zone, ..catalog::fault(FaultKind::ZoneLost, FAULTS_START_SECONDS, 5.0) });
            5.0
        }
        StartCause::Start => {
            scenario.faults.push(replaced(0.6, 1.0));
            scenario.faults.push(catalog::fault(FaultKind::BalancerKilled, FAULTS_START_SECONDS, 1.0));
            // A notification that arrived after the restart of a balancer would be attributed to its new process.
            scenario.balancers.detection_delay = Span::ms(500.0);
            1.0
        }
    }
}
