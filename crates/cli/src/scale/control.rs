//! What control costs with no calls at all: processor time and bytes, by upstreams known.

use std::time::Duration;

use anyhow::{Context, Result};
use tokio::time::{Instant, sleep};
use zincstand_testbed::balancer::{Balancer, Settings, Usage, stop};
use zincstand_testbed::discovery::{Discovery, Entry, Mode, Traffic};
use zincstand_testbed::machine::Needs;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use super::{Bench, Plan};

/// How long nothing happens.
const IDLE: Duration = Duration::from_secs(15);
/// How long discovery is down, and then silent.
const DOWN: Duration = Duration::from_secs(8);
/// Both with `--quick`.
const QUICK_SPAN: Duration = Duration::from_millis(1500);
/// How often each event happens.
const TIMES: u32 = 30;
const QUICK_TIMES: u32 = 10;
/// Time between two events.
const PAUSE: Duration = Duration::from_millis(150);
/// Time for what a start or an outage leaves over to end.
const SETTLING: Duration = Duration::from_secs(1);

/// An event of discovery.
#[derive(Clone, Copy)]
enum ListChange {
    /// This fraction of the entries changes, one entry at least.
    Fraction(f64),
    /// The complete list is sent again.
    Snapshot,
}

const LIST_CHANGES: [(&str, ListChange); 5] = [
    ("change-of-one", ListChange::Fraction(0.0)),
    ("change-of-a-hundredth", ListChange::Fraction(0.01)),
    ("change-of-a-tenth", ListChange::Fraction(0.1)),
    ("change-of-all", ListChange::Fraction(1.0)),
    ("whole-list", ListChange::Snapshot),
];

/// How much is measured.
struct Extent {
    idle: Duration,
    down: Duration,
    times: u32,
}

impl Extent {
    fn new(bench: &Bench) -> Extent {
        if bench.quick {
            Extent { idle: QUICK_SPAN, down: QUICK_SPAN, times: QUICK_TIMES }
        } else {
            Extent { idle: IDLE, down: DOWN, times: TIMES }
        }
    }
}

/// What the measurement starts and needs.
pub fn plan(bench: &Bench) -> Plan {
    let processes = bench.upstreams.len();
    let Extent { idle, down, times } = Extent::new(bench);
    // Each kind of list change, and reloads.
    let events = (LIST_CHANGES.len() as u32 + 1) * times;
    let seconds = (SETTLING + idle + 2 * down + events * PAUSE).as_secs();
    let description =
        format!("control: {processes} balancers and as many discoveries at once, no calls, {seconds} s");
    let needs = Needs {
        processes,
        memory_mb: (processes * 32 + bench.most_upstreams() / 50 + 50) as u64,
        descriptors: 1000,
    };
    Plan { description, needs }
}

/// Measures all sizes at once, one kind of event after the other.
pub async fn measure(bench: &Bench) -> Result<Vec<Slope>> {
    let extent = Extent::new(bench);
    let mut sides = Vec::new();
    for &known in &bench.upstreams {
        sides.push(Side::start(bench, known).await?);
    }
    sleep(SETTLING).await;

    let before = snapshots(&sides)?;
    sleep(extent.idle).await;
    let idle = spent_since(&sides, &before)?;
    let mut slopes = per_second("control/idle", &idle);
    slopes.extend(list_changes(&sides, &idle, extent.times, bench.most_upstreams()).await?);
    slopes.push(reloads(&sides, &idle, extent.times).await?);
    slopes.extend(outage(&sides, "control/discovery-down", Mode::Down, extent.down).await?);
    slopes.extend(outage(&sides, "control/discovery-silent", Mode::Silent, extent.down).await?);
    stop(sides.into_iter().map(|side| side.balancer)).await?;
    Ok(slopes)
}

/// The cost of each kind of change, by upstreams known; then that of the largest size by entries changed.
async fn list_changes(
    sides: &[Side],
    idle: &[Spent],
    times: u32,
    most_upstreams: usize,
) -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    let mut by_entries = Vec::new();
    for (name, change) in LIST_CHANGES {
        let before = snapshots(sides)?;
        for turn in 0..times {
            for side in sides {
                side.publish(change, turn)?;
            }
            sleep(PAUSE).await;
        }
        let costs = event_costs(&spent_since(sides, &before)?, idle, times);
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

/// The cost of reloading the configuration.
async fn reloads(sides: &[Side], idle: &[Spent], times: u32) -> Result<Slope> {
    let before = snapshots(sides)?;
    for _ in 0..times {
        for side in sides {
            side.balancer.reload(&side.settings)?;
        }
        sleep(PAUSE).await;
    }
    let costs = event_costs(&spent_since(sides, &before)?, idle, times);
    let points = costs.iter().map(|cost| Point { x: cost.x, y: cost.processor_us }).collect();
    Ok(Slope::new("control/reload/processor", "upstreams known", "us a SIGHUP", points))
}

/// The cost of a discovery that is down or silent.
async fn outage(sides: &[Side], name: &str, mode: Mode, span: Duration) -> Result<Vec<Slope>> {
    for side in sides {
        side.discovery.set_mode(mode)?;
    }
    let before = snapshots(sides)?;
    sleep(span).await;
    let slopes = per_second(name, &spent_since(sides, &before)?);
    for side in sides {
        side.discovery.set_mode(Mode::Up)?;
    }
    sleep(SETTLING).await;
    Ok(slopes)
}

/// How many entries a fraction of the list is.
fn changed_entries(fraction: f64, known: usize) -> usize {
    let entries = (known as f64 * fraction).round() as usize;
    entries.clamp(1, known)
}

/// A balancer without calls, and its discovery.
struct Side {
    balancer: Balancer,
    settings: Settings,
    discovery: Discovery,
    entries: Vec<Entry>,
}

impl Side {
    async fn start(bench: &Bench, known: usize) -> Result<Side> {
        // Nobody listens there and nobody is sent to.
        let address =
            |number: usize| ([127, 0, (1 + number / 250) as u8, (1 + number % 250) as u8], 9).into();
        let entry = |number: usize| Entry::serving(number, 1, address(number));
        let entries: Vec<Entry> = (0..known).map(entry).collect();
        let discovery = Discovery::start()?;
        discovery.replace(entries.clone())?;
        let settings = Settings { balancers: known as u32, ..Settings::alone(discovery.address()) };
        let balancer = Balancer::start(&bench.balancer, &settings).await?;
        Ok(Side { balancer, settings, discovery, entries })
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

/// The counters of a side at one moment.
struct Snapshot {
    usage: Usage,
    traffic: Traffic,
    at: Instant,
}

fn snapshots(sides: &[Side]) -> Result<Vec<Snapshot>> {
    let mut snapshots = Vec::new();
    for side in sides {
        let usage = side.balancer.usage().context("a balancer has ended under measurement")?;
        let traffic = side.discovery.counters()?.total;
        snapshots.push(Snapshot { usage, traffic, at: Instant::now() });
    }
    Ok(snapshots)
}

/// What a side spent over a span.
struct Spent {
    /// Upstreams known.
    known: f64,
    seconds: f64,
    processor_us: f64,
    /// Context switches.
    switches: f64,
    traffic: Traffic,
}

impl Spent {
    fn bytes(&self) -> f64 {
        (self.traffic.bytes_in + self.traffic.bytes_out) as f64
    }

    /// How many events came through: responses with changes, so that two changes in one response count as one. Where
    /// there were none, as many as were ordered.
    fn events(&self, ordered: u32) -> f64 {
        match self.traffic.deltas + self.traffic.snapshots {
            0 => f64::from(ordered),
            responses => responses as f64,
        }
    }
}

fn spent_since(sides: &[Side], before: &[Snapshot]) -> Result<Vec<Spent>> {
    let after = snapshots(sides)?;
    let mut spent = Vec::new();
    for ((side, after), before) in sides.iter().zip(&after).zip(before) {
        let processor = after.usage.processor_time.saturating_sub(before.usage.processor_time);
        spent.push(Spent {
            known: side.entries.len() as f64,
            seconds: (after.at - before.at).as_secs_f64(),
            processor_us: processor.as_secs_f64() * 1e6,
            switches: after.usage.context_switches.saturating_sub(before.usage.context_switches) as f64,
            traffic: after.traffic.since(&before.traffic),
        });
    }
    Ok(spent)
}

/// What one event cost.
#[derive(Clone, Copy)]
struct EventCost {
    /// What the cost is plotted over: upstreams known, or entries changed.
    x: f64,
    processor_us: f64,
    bytes: f64,
}

/// The cost of an event: what was spent beyond an idle span of the same length, for each event.
fn event_costs(spent: &[Spent], idle: &[Spent], times: u32) -> Vec<EventCost> {
    let mut costs = Vec::new();
    for (spent, idle) in spent.iter().zip(idle) {
        let events = spent.events(times);
        let idle_processor_us = idle.processor_us * spent.seconds / idle.seconds;
        costs.push(EventCost {
            x: spent.known,
            processor_us: (spent.processor_us - idle_processor_us) / events,
            // A watch that a change ends has no empty response: all bytes are the events'.
            bytes: spent.bytes() / events,
        });
    }
    costs
}

fn per_second(name: &str, spent: &[Spent]) -> Vec<Slope> {
    let slope = |what: &str, unit: &str, value: fn(&Spent) -> f64| {
        let point = |spent: &Spent| Point { x: spent.known, y: value(spent) / spent.seconds };
        let points = spent.iter().map(point).collect();
        Slope::new(format!("{name}/{what}"), "upstreams known", unit, points)
    };
    vec![
        slope("processor", "us a second", |spent| spent.processor_us),
        slope("bytes", "bytes a second", Spent::bytes),
        slope("switches", "switches a second", |spent| spent.switches),
    ]
}

fn per_event(name: &str, event: &str, costs: &[EventCost]) -> Vec<Slope> {
    let slope = |what: &str, unit: &str, value: fn(&EventCost) -> f64| {
        let points = costs.iter().map(|cost| Point { x: cost.x, y: value(cost) }).collect();
        Slope::new(format!("{name}/{what}"), "upstreams known", &format!("{unit} {event}"), points)
    };
    vec![slope("processor", "us", |cost| cost.processor_us), slope("bytes", "bytes", |cost| cost.bytes)]
}
