//! Scenarios in which a part of a fleet fails.

use super::{Failure, FailureSpan, Sizes};
use crate::catalog::fault;
use crate::catalog::plain;
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
/// Longest outage of a machine in an ordinary day, as a share of the time after the begin of the failure.
const MAX_OUTAGE_SHARE: f64 = 0.4;
/// Share of the time after the begin of the failure over which machines vanish.
const LOSSES_SHARE: f64 = 0.5;
/// Share of the time after the begin of the failure over which servers restart.
const RESTARTS_SHARE: f64 = 0.7;
/// Number of servers of the planned fleet.
const PLANNED_SERVERS: f64 = 2_000.0;
/// Number of regions that share the zones.
const REGIONS: u32 = 4;

/// Builds the scenario of a failure. Where the sizes have fewer calls than planned, each call needs as many times the
/// work.
pub fn build_scenario(seed: u64, sizes: &Sizes, failure: Failure) -> Scenario {
    let zones: Vec<String> = (0..sizes.zones).map(|zone| format!("zone {zone}")).collect();
    let per_zone = sizes.servers_per_zone();
    let servers = per_zone * sizes.zones;
    let mut scenario = plain(seed, sizes.seconds, zones.clone(), per_zone, sizes.rate * f64::from(servers));
    let work = 1_000.0 * UTILIZATION * CORES / sizes.rate;
    let class = &mut scenario.classes[0];
    class.work = Span::ms(work);
    class.max_work = Span::ms(MAX_WORK_FACTOR * work);
    class.latency_objective = Span::ms(OBJECTIVE_FACTOR * work);
    class.deadline = Span::ms(DEADLINE_FACTOR * work);
    // Balancers with neighbouring numbers are in one zone, as they run beside their servers.
    let balancers_of = |zone: &String| std::iter::repeat_n(zone.clone(), per_zone as usize);
    scenario.balancers.zones = zones.iter().flat_map(balancers_of).collect();
    scenario.name = format!("{servers} servers, {}", failure.name());
    scenario.faults = faults(sizes, failure);
    scenario
}

fn faults(sizes: &Sizes, failure: Failure) -> Vec<Fault> {
    let span = sizes.failure_span();
    let length = span.end - span.begin;
    match failure {
        Failure::None => Vec::new(),
        Failure::Zone => vec![zone_fault(FaultKind::ZoneLost, &span, 0)],
        Failure::Rack => {
            let rack: Vec<usize> = (0..RACK_SERVERS.min(sizes.servers_per_zone()) as usize).collect();
            vec![
                targeted_fault(FaultKind::Vanished, span.begin, length, rack.clone()),
                targeted_fault(FaultKind::BalancerKilled, span.begin, length, rack),
            ]
        }
        Failure::OrdinaryDay => ordinary_day(sizes, &span),
        Failure::Region => {
            // Rounded up: the first region also has the zones that an even division leaves over.
            let zones = 0..sizes.zones.div_ceil(REGIONS);
            zones.map(|zone| zone_fault(FaultKind::ZonePartition, &span, zone)).collect()
        }
    }
}

/// Returns the faults of an ordinary day: machines vanish one after the other while other servers restart, spread
/// over the zones. A smaller fleet has proportionally fewer faults.
fn ordinary_day(sizes: &Sizes, span: &FailureSpan) -> Vec<Fault> {
    let servers = sizes.servers_per_zone() * sizes.zones;
    let part = (f64::from(servers) / PLANNED_SERVERS).min(1.0);
    let scaled = |planned: f64| (planned * part).ceil().max(1.0) as usize;
    let servers = servers as usize;
    let spread = |count: usize, first: usize| -> Vec<usize> {
        (0..count).map(|index| (first + index * servers / count) % servers).collect()
    };
    let left = sizes.seconds - span.begin;
    let length = (span.end - span.begin).min(left * MAX_OUTAGE_SHARE);
    let lost = scaled(MACHINES_LOST_PER_DAY);
    let mut faults = Vec::new();
    for (index, machine) in spread(lost, 1).into_iter().enumerate() {
        let at = span.begin + left * LOSSES_SHARE * index as f64 / lost as f64;
        faults.push(targeted_fault(FaultKind::Vanished, at, length, vec![machine]));
        faults.push(targeted_fault(FaultKind::BalancerKilled, at, length, vec![machine]));
    }
    let restarted = spread(scaled(SERVERS_RESTARTED_PER_DAY), 0);
    let restart_span = left * RESTARTS_SHARE;
    faults.push(targeted_fault(FaultKind::RollingDeploy, span.begin, restart_span, restarted.clone()));
    faults.push(targeted_fault(FaultKind::BalancerRestart, span.begin, restart_span, restarted));
    faults
}

fn targeted_fault(kind: FaultKind, at: f64, length: f64, targets: Vec<usize>) -> Fault {
    let share = if kind == FaultKind::RollingDeploy { DEPLOY_BATCH_SHARE } else { 1.0 };
    Fault { targets, share, drain_time: Span::s(DRAIN_SECONDS), ..fault(kind, at, length) }
}

fn zone_fault(kind: FaultKind, span: &FailureSpan, zone: u32) -> Fault {
    let fault = targeted_fault(kind, span.begin, span.end - span.begin, Vec::new());
    Fault { zone: Some(format!("zone {zone}")), ..fault }
}
