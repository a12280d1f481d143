//! Measures the processor time and the network traffic of a balancer without calls, for discovery and for reloads, by
//! number of known upstreams.

mod usage;

use std::time::Duration;

use anyhow::Result;
use tokio::time::sleep;
use zincstand_testbed::balancer::{Balancer, Settings, stop};
use zincstand_testbed::discovery::{Discovery, Entry, Mode};
use zincstand_testbed::machine::ResourceNeeds;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use self::usage::{EventCost, UsageDelta, event_costs, per_event, per_second, snapshots, usage_since};
use super::{MeasurementPlan, Parameters};

/// Duration of the measurement without events.
const IDLE_DURATION: Duration = Duration::from_secs(15);
/// Duration of each outage: one while discovery is down, one while it does not respond.
const OUTAGE_DURATION: Duration = Duration::from_secs(8);
/// [`IDLE_DURATION`] and [`OUTAGE_DURATION`] with `--quick`.
const QUICK_DURATION: Duration = Duration::from_millis(1500);
/// Number of events of each kind.
const EVENTS: u32 = 30;
/// Number of events of each kind with `--quick`.
const QUICK_EVENTS: u32 = 10;
/// Interval between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(150);
/// Wait for the end of the work that a start or an outage causes.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// A change that discovery publishes.
#[derive(Clone, Copy)]
enum ListChange {
    /// This fraction of the entries changes, but at least one entry.
    Fraction(f64),
    /// The complete list is sent again.
    Snapshot,
}

/// The changes that are measured, with the names of their slopes.
const LIST_CHANGES: [(&str, ListChange); 5] = [
    ("change-of-one", ListChange::Fraction(0.0)),
    ("change-of-a-hundredth", ListChange::Fraction(0.01)),
    ("change-of-a-tenth", ListChange::Fraction(0.1)),
    ("change-of-all", ListChange::Fraction(1.0)),
    ("whole-list", ListChange::Snapshot),
];

/// Durations and repetitions of the measurement.
struct Workload {
    idle: Duration,
    outage: Duration,
    /// Number of events of each kind.
    events: u32,
}

impl Workload {
    fn new(parameters: &Parameters) -> Workload {
        if parameters.quick {
            Workload { idle: QUICK_DURATION, outage: QUICK_DURATION, events: QUICK_EVENTS }
        } else {
            Workload { idle: IDLE_DURATION, outage: OUTAGE_DURATION, events: EVENTS }
        }
    }
}

/// Returns what the measurement starts and which resources it needs.
pub fn plan(parameters: &Parameters) -> MeasurementPlan {
    let processes = parameters.upstreams.len();
    let Workload { idle, outage, events } = Workload::new(parameters);
    // Reloads are one more kind of event.
    let all_events = (LIST_CHANGES.len() as u32 + 1) * events;
    let seconds = (SETTLING_TIME + idle + 2 * outage + all_events * EVENT_INTERVAL).as_secs();
    let description =
        format!("control: {processes} balancers and as many discoveries at once, no calls, {seconds} s");
    let needs = ResourceNeeds {
        processes,
        memory_mb: (processes * 32 + parameters.max_upstreams() / 50 + 50) as u64,
        descriptors: 1000,
    };
    MeasurementPlan { description, needs }
}

/// Measures all numbers of known upstreams at the same time, one kind of event after the other.
pub async fn measure(parameters: &Parameters) -> Result<Vec<Slope>> {
    let workload = Workload::new(parameters);
    let mut balancers = Vec::new();
    for &known_upstreams in &parameters.upstreams {
        balancers.push(MeasuredBalancer::start(parameters, known_upstreams).await?);
    }
    sleep(SETTLING_TIME).await;

    let before = snapshots(&balancers)?;
    sleep(workload.idle).await;
    let idle = usage_since(&balancers, &before)?;
    let mut slopes = per_second("control/idle", &idle);
    slopes.extend(list_changes(&balancers, &idle, workload.events, parameters.max_upstreams()).await?);
    slopes.push(reloads(&balancers, &idle, workload.events).await?);
    slopes.extend(outage(&balancers, "control/discovery-down", Mode::Down, workload.outage).await?);
    slopes.extend(outage(&balancers, "control/discovery-silent", Mode::Silent, workload.outage).await?);
    stop(balancers.into_iter().map(|balancer| balancer.process)).await?;
    Ok(slopes)
}

/// Returns the cost of each kind of change by number of known upstreams, and for the largest number of them by number
/// of changed entries.
async fn list_changes(
    balancers: &[MeasuredBalancer],
    idle: &[UsageDelta],
    events: u32,
    max_upstreams: usize,
) -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    let mut by_entries = Vec::new();
    for (name, change) in LIST_CHANGES {
        let before = snapshots(balancers)?;
        for round in 0..events {
            for balancer in balancers {
                balancer.publish(change, round)?;
            }
            sleep(EVENT_INTERVAL).await;
        }
        let costs = event_costs(&usage_since(balancers, &before)?, idle, events);
        slopes.extend(per_event(&format!("control/{name}"), "a change", &costs));
        if let (ListChange::Fraction(fraction), Some(cost)) = (change, costs.last()) {
            let entries = changed_entries(fraction, cost.x as usize);
            by_entries.push(EventCost { x: entries as f64, ..*cost });
        }
    }
    for mut slope in per_event("control/change-by-entries", "a change", &by_entries) {
        slope.x = String::from("entries changed");
        slopes.push(slope.remark(format!("{max_upstreams} upstreams known")));
    }
    Ok(slopes)
}

/// Returns the cost of reloading the configuration.
async fn reloads(balancers: &[MeasuredBalancer], idle: &[UsageDelta], reloads: u32) -> Result<Slope> {
    let before = snapshots(balancers)?;
    for _ in 0..reloads {
        for balancer in balancers {
            balancer.process.reload(&balancer.settings)?;
        }
        sleep(EVENT_INTERVAL).await;
    }
    let costs = event_costs(&usage_since(balancers, &before)?, idle, reloads);
    let points = costs.iter().map(|cost| Point { x: cost.x, y: cost.processor_us }).collect();
    Ok(Slope::new("control/reload/processor", "upstreams known", "us a SIGHUP", points))
}

/// Returns the cost per second while discovery is down or does not respond.
async fn outage(
    balancers: &[MeasuredBalancer],
    name: &str,
    mode: Mode,
    duration: Duration,
) -> Result<Vec<Slope>> {
    for balancer in balancers {
        balancer.discovery.set_mode(mode)?;
    }
    let before = snapshots(balancers)?;
    sleep(duration).await;
    let slopes = per_second(name, &usage_since(balancers, &before)?);
    for balancer in balancers {
        balancer.discovery.set_mode(Mode::Up)?;
    }
    sleep(SETTLING_TIME).await;
    Ok(slopes)
}

/// Returns the number of entries in a fraction of a list, at least 1.
fn changed_entries(fraction: f64, known_upstreams: usize) -> usize {
    let entries = (known_upstreams as f64 * fraction).round() as usize;
    entries.clamp(1, known_upstreams)
}

/// A running balancer without calls, and its discovery.
struct MeasuredBalancer {
    process: Balancer,
    settings: Settings,
    discovery: Discovery,
    entries: Vec<Entry>,
}

impl MeasuredBalancer {
    async fn start(parameters: &Parameters, known_upstreams: usize) -> Result<MeasuredBalancer> {
        // Nothing listens at these addresses, and no request is sent there.
        let address =
            |number: usize| ([127, 0, (1 + number / 250) as u8, (1 + number % 250) as u8], 9).into();
        let entry = |number: usize| Entry::serving(number, 1, address(number));
        let entries: Vec<Entry> = (0..known_upstreams).map(entry).collect();
        let discovery = Discovery::start()?;
        discovery.replace(entries.clone())?;
        let settings = Settings {
            balancers: known_upstreams as u32,
            ..Settings::for_single_balancer(discovery.address())
        };
        let process = Balancer::start(&parameters.balancer, &settings).await?;
        Ok(MeasuredBalancer { process, settings, discovery, entries })
    }

    /// Publishes a change: entries with weights that differ from those of the previous round.
    fn publish(&self, change: ListChange, round: u32) -> Result<()> {
        let weight = if round.is_multiple_of(2) { 1.1 } else { 1.0 };
        let count = match change {
            ListChange::Fraction(fraction) => changed_entries(fraction, self.entries.len()),
            ListChange::Snapshot => self.entries.len(),
        };
        let changed = self.entries[..count].iter().map(|entry| Entry { weight, ..entry.clone() }).collect();
        match change {
            ListChange::Fraction(_) => self.discovery.change(changed)?,
            ListChange::Snapshot => self.discovery.replace(changed)?,
        };
        Ok(())
    }
}
