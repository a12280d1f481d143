//! Measures the processor time and the bytes that a balancer without calls spends on discovery and on reloads, by number
//! of known upstreams.

mod usage;

use std::time::Duration;

use anyhow::Result;
use tokio::time::sleep;
use zincstand_testbed::balancer::{Balancer, Settings, stop};
use zincstand_testbed::discovery::{Discovery, Entry, Mode};
use zincstand_testbed::machine::ResourceNeeds;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use self::usage::{EventCost, Spent, event_costs, per_event, per_second, snapshots, spent_since};
use super::{Bench, MeasurementPlan};

/// Duration of the measurement without events.
const IDLE: Duration = Duration::from_secs(15);
/// Duration of each outage: discovery is down, and afterwards silent.
const DOWN: Duration = Duration::from_secs(8);
/// Both durations with `--quick`.
const QUICK_SPAN: Duration = Duration::from_millis(1500);
/// Number of events of each kind.
const EVENTS: u32 = 30;
/// Number of events of each kind with `--quick`.
const QUICK_EVENTS: u32 = 10;
/// Interval between two events.
const PAUSE: Duration = Duration::from_millis(150);
/// Time after which the work that a start or an outage causes has ended.
const SETTLING: Duration = Duration::from_secs(1);

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
struct Effort {
    idle: Duration,
    down: Duration,
    /// Number of events of each kind.
    events: u32,
}

impl Effort {
    fn new(bench: &Bench) -> Effort {
        if bench.quick {
            Effort { idle: QUICK_SPAN, down: QUICK_SPAN, events: QUICK_EVENTS }
        } else {
            Effort { idle: IDLE, down: DOWN, events: EVENTS }
        }
    }
}

/// Returns what the measurement starts and which resources it needs.
pub fn plan(bench: &Bench) -> MeasurementPlan {
    let processes = bench.upstreams.len();
    let Effort { idle, down, events } = Effort::new(bench);
    // Reloads are one more kind of event.
    let all_events = (LIST_CHANGES.len() as u32 + 1) * events;
    let seconds = (SETTLING + idle + 2 * down + all_events * PAUSE).as_secs();
    let description =
        format!("control: {processes} balancers and as many discoveries at once, no calls, {seconds} s");
    let needs = ResourceNeeds {
        processes,
        memory_mb: (processes * 32 + bench.most_upstreams() / 50 + 50) as u64,
        descriptors: 1000,
    };
    MeasurementPlan { description, needs }
}

/// Measures all sizes at the same time, one kind of event after the other.
pub async fn measure(bench: &Bench) -> Result<Vec<Slope>> {
    let effort = Effort::new(bench);
    let mut balancers = Vec::new();
    for &known in &bench.upstreams {
        balancers.push(MeasuredBalancer::start(bench, known).await?);
    }
    sleep(SETTLING).await;

    let before = snapshots(&balancers)?;
    sleep(effort.idle).await;
    let idle = spent_since(&balancers, &before)?;
    let mut slopes = per_second("control/idle", &idle);
    slopes.extend(list_changes(&balancers, &idle, effort.events, bench.most_upstreams()).await?);
    slopes.push(reloads(&balancers, &idle, effort.events).await?);
    slopes.extend(outage(&balancers, "control/discovery-down", Mode::Down, effort.down).await?);
    slopes.extend(outage(&balancers, "control/discovery-silent", Mode::Silent, effort.down).await?);
    stop(balancers.into_iter().map(|balancer| balancer.process)).await?;
    Ok(slopes)
}

/// Returns the cost of each kind of change by number of known upstreams, and for the largest size by number of changed
/// entries.
async fn list_changes(
    balancers: &[MeasuredBalancer],
    idle: &[Spent],
    events: u32,
    most_upstreams: usize,
) -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    let mut by_entries = Vec::new();
    for (name, change) in LIST_CHANGES {
        let before = snapshots(balancers)?;
        for turn in 0..events {
            for balancer in balancers {
                balancer.publish(change, turn)?;
            }
            sleep(PAUSE).await;
        }
        let costs = event_costs(&spent_since(balancers, &before)?, idle, events);
        slopes.extend(per_event(&format!("control/{name}"), "a change", &costs));
        if let (ListChange::Fraction(fraction), Some(cost)) = (change, costs.last()) {
            let entries = changed_entries(fraction, cost.x as usize);
            by_entries.push(EventCost { x: entries as f64, ..*cost });
        }
    }
    for mut slope in per_event("control/change-by-entries", "a change", &by_entries) {
        slope.x = String::from("entries changed");
        slopes.push(slope.remark(format!("{most_upstreams} upstreams known")));
    }
    Ok(slopes)
}

/// Returns the cost of reloading the configuration.
async fn reloads(balancers: &[MeasuredBalancer], idle: &[Spent], reloads: u32) -> Result<Slope> {
    let before = snapshots(balancers)?;
    for _ in 0..reloads {
        for balancer in balancers {
            balancer.process.reload(&balancer.settings)?;
        }
        sleep(PAUSE).await;
    }
    let costs = event_costs(&spent_since(balancers, &before)?, idle, reloads);
    let points = costs.iter().map(|cost| Point { x: cost.x, y: cost.processor_us }).collect();
    Ok(Slope::new("control/reload/processor", "upstreams known", "us a SIGHUP", points))
}

/// Returns the cost per second while discovery is down or silent.
async fn outage(
    balancers: &[MeasuredBalancer],
    name: &str,
    mode: Mode,
    span: Duration,
) -> Result<Vec<Slope>> {
    for balancer in balancers {
        balancer.discovery.set_mode(mode)?;
    }
    let before = snapshots(balancers)?;
    sleep(span).await;
    let slopes = per_second(name, &spent_since(balancers, &before)?);
    for balancer in balancers {
        balancer.discovery.set_mode(Mode::Up)?;
    }
    sleep(SETTLING).await;
    Ok(slopes)
}

/// Returns the number of entries in a fraction of a list, at least 1.
fn changed_entries(fraction: f64, known: usize) -> usize {
    let entries = (known as f64 * fraction).round() as usize;
    entries.clamp(1, known)
}

/// A running balancer without calls, and its discovery.
struct MeasuredBalancer {
    process: Balancer,
    settings: Settings,
    discovery: Discovery,
    entries: Vec<Entry>,
}

impl MeasuredBalancer {
    async fn start(bench: &Bench, known: usize) -> Result<MeasuredBalancer> {
        // Nothing listens at these addresses, and no request is sent there.
        let address =
            |number: usize| ([127, 0, (1 + number / 250) as u8, (1 + number % 250) as u8], 9).into();
        let entry = |number: usize| Entry::serving(number, 1, address(number));
        let entries: Vec<Entry> = (0..known).map(entry).collect();
        let discovery = Discovery::start()?;
        discovery.replace(entries.clone())?;
        let settings =
            Settings { balancers: known as u32, ..Settings::for_single_balancer(discovery.address()) };
        let process = Balancer::start(&bench.balancer, &settings).await?;
        Ok(MeasuredBalancer { process, settings, discovery, entries })
    }

    /// Publishes a change: entries with weights that differ from those of the turn before.
    fn publish(&self, change: ListChange, turn: u32) -> Result<()> {
        let weight = if turn.is_multiple_of(2) { 1.1 } else { 1.0 };
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
