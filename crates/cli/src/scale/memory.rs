//! What the balancer holds in memory, by what it knows and serves.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::time::{Instant, sleep};
use zincstand_testbed::balancer::{Balancer, Settings};
use zincstand_testbed::callers::Held;
use zincstand_testbed::discovery::{Discovery, Entry, Lifecycle};
use zincstand_testbed::machine::Needs;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;
use zincstand_testbed::upstreams::Upstreams;

use super::Bench;

/// Upstreams in the list while something else is varied.
const KNOWN: usize = 200;
const CONNECTIONS: [usize; 4] = [0, 50, 100, 200];
const CLASSES: [usize; 4] = [1, 10, 50, 200];
const TENANTS: [usize; 4] = [0, 50, 200, 1_000];
const CHANGES: [usize; 4] = [0, 1_000, 3_000, 10_000];
/// Entries that change in one version.
const BULK: usize = 100;
/// After the last event, before the memory is read.
const SETTLED: Duration = Duration::from_millis(300);
/// How long upstreams take while calls are in flight, and the calls' deadline.
const SLOW: Duration = Duration::from_millis(1500);
const PATIENT_MS: u32 = 10_000;
/// Nothing takes this long.
const LONG: Duration = Duration::from_secs(20);

pub fn plan(bench: &Bench) -> (String, Needs) {
    let most = bench.most_upstreams();
    let text = format!(
        "memory: one balancer at a time, some 25 in turn, {} listeners in this process, up to {} connections, 30 s",
        most.max(KNOWN),
        CONNECTIONS[CONNECTIONS.len() - 1]
    );
    (text, Needs { processes: 1, memory_mb: (100 + most / 10) as u64, descriptors: (most + 2000) as u64 })
}

pub async fn measure(bench: &Bench) -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    let mut points = Vec::new();
    for &known in &bench.upstreams {
        let (one, _) = One::start(bench, known, |_| {}).await?;
        points.push(one.resident(known).await?);
    }
    slopes.push(slope("memory/upstreams", "upstreams known", points));

    let mut points = Vec::new();
    for connections in CONNECTIONS {
        let (one, _) = One::start(bench, KNOWN, |_| {}).await?;
        // Each has carried a call, as connections have that are kept.
        let mut held = Held::connect(one.balancer.address, connections)?;
        held.send()?;
        held.receive(LONG)?;
        points.push(one.resident(connections).await?);
        drop(held);
    }
    let what = format!("each has carried one call; {KNOWN} upstreams known");
    slopes.push(slope("memory/connections", "callers' connections", points).remark(what));

    let (mut points, mut reached) = (Vec::new(), Vec::new());
    for calls in CONNECTIONS {
        let (one, upstreams) = One::start(bench, KNOWN, |s| s.deadline_ms = PATIENT_MS).await?;
        upstreams.answer_after(SLOW);
        let mut held = Held::connect(one.balancer.address, calls)?;
        held.send()?;
        points.push(one.resident(calls).await?);
        reached.push(upstreams.calls().iter().sum::<u64>().to_string());
        held.receive(LONG)?;
        drop(held);
    }
    slopes.push(
        slope("memory/in-flight", "calls not answered yet, each on its connection", points)
            .remark(format!("had reached upstreams: {}", reached.join(", "))),
    );

    let mut points = Vec::new();
    for classes in CLASSES {
        let (one, _) = One::start(bench, KNOWN, |s| s.classes = classes).await?;
        points.push(one.resident(classes).await?);
    }
    slopes.push(slope("memory/classes", "classes", points));

    let mut points = Vec::new();
    for tenants in TENANTS {
        let (one, _) = One::start(bench, KNOWN, |s| s.tenants = tenants).await?;
        points.push(one.resident(tenants).await?);
    }
    slopes.push(slope("memory/tenants", "tenants", points));

    let most = bench.most_upstreams();
    slopes.push(changed(bench, most, "memory/changes-of-state", drained).await?);
    slopes.push(changed(bench, most, "memory/replacements", replaced).await?);
    Ok(slopes)
}

fn slope(name: &str, x: &str, points: Vec<Point>) -> Slope {
    Slope::new(name, x, "KB resident", points)
}

/// The entries of one bulk of changes, by the number of the first change: those that were serve or drain.
fn drained(first: usize, addresses: &[SocketAddr]) -> Vec<Entry> {
    let turn = first / addresses.len();
    let state = if turn.is_multiple_of(2) { Lifecycle::Draining } else { Lifecycle::Serving };
    let number = |i| (first + i) % addresses.len();
    (0..BULK.min(addresses.len()))
        .map(|i| Entry::serving(number(i), 1, addresses[number(i)]).with_lifecycle(state))
        .collect()
}

/// The same where an upstream leaves and another, of another name, takes its place.
fn replaced(first: usize, addresses: &[SocketAddr]) -> Vec<Entry> {
    let pair = |i: usize| {
        let (old, address) = (first / 2 + i, addresses[(first / 2 + i) % addresses.len()]);
        let new = Entry::serving(old + addresses.len(), 1, address);
        [Entry::serving(old, 1, address).with_lifecycle(Lifecycle::Deleted), new]
    };
    (0..BULK.min(addresses.len()) / 2).flat_map(pair).collect()
}

async fn changed(
    bench: &Bench,
    known: usize,
    name: &str,
    bulk: fn(usize, &[SocketAddr]) -> Vec<Entry>,
) -> Result<Slope> {
    let (one, upstreams) = One::start(bench, known, |_| {}).await?;
    let (mut done, mut points) = (0, Vec::new());
    for changes in CHANGES {
        while done < changes {
            let entries = bulk(done, &upstreams.addresses);
            done += entries.len();
            let version = one.discovery.change(entries)?.version;
            one.holds(version).await?;
        }
        points.push(one.resident(changes).await?);
    }
    let what = format!("{known} upstreams known, {BULK} changes a version; x counts changed entries");
    Ok(slope(name, "changes so far", points).remark(what))
}

/// A balancer and its discovery.
struct One {
    balancer: Balancer,
    discovery: Discovery,
}

impl One {
    async fn start(
        bench: &Bench,
        known: usize,
        change: impl FnOnce(&mut Settings),
    ) -> Result<(One, Upstreams)> {
        let (upstreams, discovery) = (Upstreams::start(known)?, Discovery::start()?);
        discovery.replace(upstreams.entries())?;
        let mut settings = Settings::alone(discovery.address());
        change(&mut settings);
        let balancer = Balancer::start(&bench.balancer, &settings).await?;
        Ok((One { balancer, discovery }, upstreams))
    }

    /// Waits until the balancer asks for what follows a version.
    async fn holds(&self, version: u64) -> Result<()> {
        let late = Instant::now() + LONG;
        while !self.discovery.take_acknowledgements()?.iter().any(|seen| seen.version >= version) {
            if Instant::now() > late {
                bail!("the balancer does not take version {version} of the list over");
            }
            sleep(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    /// Its memory once it has settled, as the point at x.
    async fn resident(&self, x: usize) -> Result<Point> {
        sleep(SETTLED).await;
        let usage = self.balancer.usage().context("the balancer has ended under measurement")?;
        Ok(Point { x: x as f64, y: usage.resident_kb as f64 })
    }
}
