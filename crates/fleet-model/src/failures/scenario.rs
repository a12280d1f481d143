//! Scenarios in which a part of a fleet fails.

use super::{Failure, FailureSpan, Parameters};
use crate::catalog::{fault, plain};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::span::Span;

/// Utilization of the servers before the failure.
const UTILIZATION: f64 = 0.45;
/// Cores of a server.
const CORES: f64 = 2.0;
/// Largest work of a call, as a multiple of the mean work.
const MAX_WORK_FACTOR: f64 = 4.0;
/// Latency objective, as a multiple of the mean work, as in the scenarios of [`crate::depth`].
const OBJECTIVE_FACTOR: f64 = 12.5;
/// Deadline, as a multiple of the mean work, as in the scenarios of [`crate::depth`].
const DEADLINE_FACTOR: f64 = 25.0;
/// Time for which servers drain before they restart, in seconds.
const DRAIN_SECONDS: f64 = 3.0;
/// Share of the servers of a deploy that restart at the same time.
const DEPLOY_BATCH_SHARE: f64 = 0.05;
/// Number of servers of a rack.
const RACK_SERVERS: u32 = 20;
/// Machines of the planned fleet that vanish in a day.
const MACHINES_LOST_PER_DAY: f64 = 8.0;
/// Servers of the planned fleet that restart in a day.
const SERVERS_RESTARTED_PER_DAY: f64 = 110.0;
/// Longest outage of a machine in an ordinary day, as a share of the time after the start of the failure.
const MAX_OUTAGE_SHARE: f64 = 0.4;
/// Share of the time after the start of the failure over which machines vanish.
const LOSSES_SHARE: f64 = 0.5;
/// Share of the time after the start of the failure over which servers restart.
const RESTARTS_SHARE: f64 = 0.7;
/// Number of servers of the planned fleet.
const PLANNED_SERVERS: f64 = 2_000.0;
/// Number of regions that share the zones.
const REGIONS: u32 = 4;

/// Builds the scenario of a failure. If the rate is below the planned one, the work of a call is larger by the same
/// factor.
pub fn build_scenario(seed: u64, parameters: &Parameters, failure: Failure) -> Scenario {
    let zones: Vec<String> = (0..parameters.zones).map(|zone| format!("zone {zone}")).collect();
    let per_zone = parameters.servers_per_zone();
    let servers = per_zone * parameters.zones;
    let mut scenario =
        plain(seed, parameters.seconds, zones.clone(), per_zone, parameters.rate * f64::from(servers));
    let work = 1_000.0 * UTILIZATION * CORES / parameters.rate;
    let class = &mut scenario.classes[0];
    class.work = Span::ms(work);
    class.max_work = Span::ms(MAX_WORK_FACTOR * work);
    class.latency_objective = Span::ms(OBJECTIVE_FACTOR * work);
    class.deadline = Span::ms(DEADLINE_FACTOR * work);
    // Balancers are numbered zone by zone like the servers, because each runs on the machine of a server.
    let balancers_of = |zone: &String| std::iter::repeat_n(zone.clone(), per_zone as usize);
    scenario.balancers.zones = zones.iter().flat_map(balancers_of).collect();
    scenario.name = format!("{servers} servers, {}", failure.name());
    scenario.faults = faults(parameters, failure);
    scenario
}

fn faults(parameters: &Parameters, failure: Failure) -> Vec<Fault> {
    let span = parameters.failure_span();
    let length = span.end - span.start;
    match failure {
        Failure::None => Vec::new(),
        Failure::Zone => vec![zone_fault(FaultKind::ZoneLost, &span, 0)],
        Failure::Rack => {
            let rack: Vec<usize> = (0..RACK_SERVERS.min(parameters.servers_per_zone()) as usize).collect();
            vec![
                targeted_fault(FaultKind::Vanished, span.start, length, rack.clone()),
                targeted_fault(FaultKind::BalancerKilled, span.start, length, rack),
            ]
        }
        Failure::OrdinaryDay => ordinary_day(parameters, &span),
        Failure::Region => {
            // Rounded up: the first region also has the zones that remain after an even division.
            let zones = 0..parameters.zones.div_ceil(REGIONS);
            zones.map(|zone| zone_fault(FaultKind::ZonePartition, &span, zone)).collect()
        }
    }
}

/// Returns the faults of an ordinary day: machines vanish one after the other while other servers restart, spread
/// over the zones. A smaller fleet has proportionally fewer faults.
fn ordinary_day(parameters: &Parameters, span: &FailureSpan) -> Vec<Fault> {
    let servers = parameters.servers_per_zone() * parameters.zones;
    let fleet_share = (f64::from(servers) / PLANNED_SERVERS).min(1.0);
    let scaled_count = |planned: f64| (planned * fleet_share).ceil().max(1.0) as usize;
    let servers = servers as usize;
    let spread_over_servers = |count: usize, first: usize| -> Vec<usize> {
        (0..count).map(|index| (first + index * servers / count) % servers).collect()
    };
    let remaining_seconds = parameters.seconds - span.start;
    let length = (span.end - span.start).min(remaining_seconds * MAX_OUTAGE_SHARE);
    let lost = scaled_count(MACHINES_LOST_PER_DAY);
    let mut faults = Vec::new();
    for (index, machine) in spread_over_servers(lost, 1).into_iter().enumerate() {
        let at = span.start + remaining_seconds * LOSSES_SHARE * index as f64 / lost as f64;
        faults.push(targeted_fault(FaultKind::Vanished, at, length, vec![machine]));
        faults.push(targeted_fault(FaultKind::BalancerKilled, at, length, vec![machine]));
    }
    let restarted = spread_over_servers(scaled_count(SERVERS_RESTARTED_PER_DAY), 0);
    let restart_seconds = remaining_seconds * RESTARTS_SHARE;
    faults.push(targeted_fault(FaultKind::RollingDeploy, span.start, restart_seconds, restarted.clone()));
    faults.push(targeted_fault(FaultKind::BalancerRestart, span.start, restart_seconds, restarted));
    faults
}

fn targeted_fault(kind: FaultKind, at: f64, length: f64, targets: Vec<usize>) -> Fault {
    let share = if kind == FaultKind::RollingDeploy { DEPLOY_BATCH_SHARE } else { 1.0 };
    Fault { targets, share, drain_time: Span::s(DRAIN_SECONDS), ..fault(kind, at, length) }
}

fn zone_fault(kind: FaultKind, span: &FailureSpan, zone: u32) -> Fault {
    let fault = targeted_fault(kind, span.start, span.end - span.start, Vec::new());
    Fault { zone: Some(format!("zone {zone}")), ..fault }
}
