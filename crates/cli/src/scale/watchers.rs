//! The slope of watchers: what discovery's side costs at rest, at a change, and when all watches break at once.

use std::time::{Duration, Instant};

use anyhow::Result;
use tokio::time::sleep;
use zincstand_policy::ListKind;
use zincstand_testbed::discovery::{Mode, TRAFFIC_BUCKET, Traffic};
use zincstand_testbed::hollow::{Hush, UpdateMode};
use zincstand_testbed::machine::Needs;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use super::crowd::{Scene, entry};
use super::{Bench, updates};

/// What is said of every figure of processor time.
const STAND_IN: &str = "of the stand-in's one thread, not of a product";
/// Upstreams in the list where its length plays no part.
const FEW: usize = 200;
/// Balancers of the size to design for, and the machines set aside for control.
const FLEET: f64 = 2_000.0;
const MACHINES: f64 = 15.0;

fn sizes(bench: &Bench) -> (&'static [u32], usize) {
    if bench.quick { (&[25, 50, 100, 200], 500) } else { (&[100, 500, 1_000, 2_000], 2_000) }
}

pub fn plan(bench: &Bench) -> (String, Needs) {
    let (balancers, upstreams) = sizes(bench);
    let starts = format!("watchers: {balancers:?} hollow balancers in turn, each with {upstreams} upstreams");
    (starts, updates::needs(bench))
}

/// Slopes under way, in the order in which they were first named.
#[derive(Default)]
struct Slopes(Vec<Slope>);

impl Slopes {
    fn add(&mut self, name: &str, unit: &str, x: f64, y: f64) {
        let name = format!("watchers: {name}, {unit}");
        let point = Point { x, y };
        match self.0.iter_mut().find(|slope| slope.name == name) {
            Some(slope) => slope.points.push(point),
            None => self.0.push(Slope::new(name, "watchers", unit, vec![point])),
        }
    }

    /// A remark for those whose names begin so, at the first of them.
    fn remark(&mut self, name: &str, remark: impl Into<String>) {
        let name = format!("watchers: {name}, ");
        if let Some(slope) = self.0.iter_mut().find(|s| s.name.starts_with(&name)) {
            slope.remark = remark.into();
        }
    }

    /// All of them, fitted.
    fn done(self) -> Vec<Slope> {
        let fitted = |s: Slope| Slope::new(s.name, &s.x, &s.y, s.points).remark(s.remark);
        self.0.into_iter().map(fitted).collect()
    }
}

fn ms(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() * 1e3
}

/// The most connections in a bucket, and which bucket after the beginning that was.
fn busiest(buckets: &[Traffic]) -> (u64, usize) {
    let busiest = buckets.iter().enumerate().max_by_key(|(at, b)| (b.connections, usize::MAX - at));
    busiest.map_or((0, 0), |(at, b)| (b.connections, at))
}

/// How all come back after something, from the moment in which they could.
async fn back(
    scene: &mut Scene,
    slopes: &mut Slopes,
    name: &str,
    x: f64,
    from: Instant,
    before: Traffic,
) -> Result<()> {
    // All that was sent before is over; what has come since then counts.
    let told = scene.change(1)?;
    let (lags, _) = scene.lags(told).await?;
    let counted = scene.all_waiting().await?;
    let passed = counted.total.since(&before);
    let (peak, at) = busiest(counted.buckets_from(from));
    slopes.add(name, "connections", x, passed.connections as f64);
    slopes.add(name, "connections in the busiest 100 ms", x, peak as f64);
    slopes.add(
        name,
        "ms to the start of the busiest 100 ms",
        x,
        at as f64 * TRAFFIC_BUCKET.as_secs_f64() * 1e3,
    );
    slopes.add(name, "calls", x, passed.requests as f64);
    slopes.add(name, "whole lists", x, passed.snapshots as f64);
    slopes.add(name, "bytes out", x, passed.bytes_out as f64);
    slopes.add(name, "ms until the last acts on a change made at once", x, lags.last());
    Ok(())
}

pub async fn measure(bench: &Bench) -> Result<Vec<Slope>> {
    let _hush = Hush::begin()?;
    let (sizes, upstreams) = sizes(bench);
    let rest = Duration::from_secs(if bench.quick { 1 } else { 3 });
    // Longer than the longest that a watch waits for a word: 1.5 s with the settings used here.
    let outage = Duration::from_millis(if bench.quick { 600 } else { 2_000 });
    let changes = if bench.quick { 3 } else { 10 };
    let mut slopes = Slopes::default();
    for &balancers in sizes {
        let x = f64::from(balancers);
        let mut scene = Scene::start(balancers, upstreams, UpdateMode::Push, bench.seed).await?;
        let started = scene.discovery.counters()?.total;
        slopes.add("all started together", "connections", x, started.connections as f64);
        slopes.add("all started together", "whole lists", x, started.snapshots as f64);

        let (before, crowd, began) = (scene.discovery.counters()?, scene.crowd.processor(), Instant::now());
        sleep(rest).await;
        let (after, span) = (scene.discovery.counters()?, began.elapsed().as_secs_f64());
        let passed = after.total.since(&before.total);
        slopes.add("at rest", "connections open", x, after.open_connections as f64);
        slopes.add("at rest", "calls a second", x, passed.requests as f64 / span);
        slopes.add("at rest", "bytes in a second", x, passed.bytes_in as f64 / span);
        slopes.add("at rest", "bytes out a second", x, passed.bytes_out as f64 / span);
        let busy = |spent: Duration| spent.as_secs_f64() / span * 100.0;
        slopes.add(
            "at rest",
            "% of a core",
            x,
            busy(after.processor_time.saturating_sub(before.processor_time)),
        );
        let spent = scene.crowd.processor().saturating_sub(crowd);
        slopes.add("at rest, all balancers", "% of a core", x, busy(spent));

        let before = scene.all_waiting().await?;
        for _ in 0..changes {
            let told = scene.change(1)?;
            scene.lags(told).await?;
            scene.all_waiting().await?;
        }
        let after = scene.discovery.counters()?;
        let (passed, each) = (after.total.since(&before.total), f64::from(changes));
        slopes.add("at a change", "calls", x, passed.requests as f64 / each);
        slopes.add("at a change", "bytes in", x, passed.bytes_in as f64 / each);
        slopes.add("at a change", "bytes out", x, passed.bytes_out as f64 / each);
        slopes.add("at a change", "whole lists", x, passed.snapshots as f64 / each);
        let spent = after.processor_time.saturating_sub(before.processor_time);
        slopes.add("at a change", "ms of processor", x, spent.as_secs_f64() * 1e3 / each);

        let (before, crowd) = (scene.all_waiting().await?, scene.crowd.processor());
        let told = scene.discovery.replace((0..upstreams).map(entry).collect())?;
        let first = scene.first(|r| r.kind == ListKind::Snapshot && r.at > told.at).await?;
        let after = scene.all_waiting().await?;
        let passed = after.total.since(&before.total);
        slopes.add("whole list to all", "whole lists", x, passed.snapshots as f64);
        slopes.add("whole list to all", "bytes out", x, passed.bytes_out as f64);
        slopes.add(
            "whole list to all",
            "bytes a list",
            x,
            passed.bytes_out as f64 / passed.snapshots.max(1) as f64,
        );
        let spent = after.processor_time.saturating_sub(before.processor_time);
        slopes.add("whole list to all", "ms of processor", x, spent.as_secs_f64() * 1e3);
        let last = first.values().max().map_or(0.0, |last| ms(told.at, *last));
        slopes.add("whole list to all", "ms until the last acts on it", x, last);
        let spent = scene.crowd.processor().saturating_sub(crowd).as_secs_f64();
        slopes.add("whole list, a balancer", "ms of processor", x, spent * 1e3 / x);

        let before = scene.all_waiting().await?.total;
        let told = scene.discovery.close_connections()?;
        back(&mut scene, &mut slopes, "all watches broken", x, told.at, before).await?;

        scene.discovery.set_mode(Mode::Down)?;
        sleep(outage).await;
        let before = scene.discovery.counters()?.total;
        let told = scene.discovery.set_mode(Mode::Up)?;
        back(&mut scene, &mut slopes, "back from an outage", x, told.at, before).await?;

        let before = scene.all_waiting().await?.total;
        scene.discovery.set_mode(Mode::Silent)?;
        sleep(outage).await;
        let silent = scene.discovery.counters()?.total;
        slopes.add("in silence", "connections", x, silent.since(&before).connections as f64);
        let told = scene.discovery.set_mode(Mode::Up)?;
        back(&mut scene, &mut slopes, "back from silence", x, told.at, silent).await?;
    }
    if !bench.quick {
        let most = sizes.iter().copied().max().unwrap_or(0);
        let mut scene = Scene::start(most, FEW, UpdateMode::Poll, bench.seed).await?;
        let before = scene.all_waiting().await?.total;
        let told = scene.discovery.close_connections()?;
        back(&mut scene, &mut slopes, "all watches broken, asking", f64::from(most), told.at, before).await?;
    }
    slopes.remark("at rest", format!("{upstreams} upstreams; processor time is that {STAND_IN}"));
    slopes.remark(
        "all started together",
        "more than one each: an answer took longer than a balancer waits for it",
    );
    slopes.remark("all watches broken", "a change is made at the same moment");
    slopes.remark("back from an outage", format!("after {outage:?} in which connections are refused"));
    slopes.remark("in silence", format!("{outage:?} in which nothing is answered"));
    slopes.remark("back from silence", "calls that were held are answered at its end");
    slopes
        .remark("all watches broken, asking", "the module asks for its watch, within `AskWithinMs` of 10 s");
    let mut slopes = slopes.done();
    slopes.extend(machines(&slopes));
    Ok(slopes)
}

/// What one of the machines set aside carries, reckoned from the lines of the whole crowd.
fn machines(measured: &[Slope]) -> Vec<Slope> {
    let share = (FLEET / MACHINES).round();
    let names = [
        "at rest, calls a second",
        "at rest, bytes in a second",
        "at rest, bytes out a second",
        "at rest, % of a core",
        "at a change, bytes out",
        "at a change, ms of processor",
        "whole list to all, bytes out",
        "whole list to all, ms of processor",
    ];
    let line = |name: &&str| {
        let slope = measured.iter().find(|s| s.name == format!("watchers: {name}"))?;
        let line = slope.fit.as_ref()?.line;
        let points = vec![Point { x: share, y: line.intercept + line.slope * share }];
        let name = format!("watchers: one of 15 machines, {name}");
        Some(Slope::new(name, "watchers", &slope.y, points))
    };
    let mut slopes: Vec<_> = names.iter().filter_map(line).collect();
    if let Some(first) = slopes.first_mut() {
        first.remark =
            "the 15th part of the fleet; reckoned from the lines of the measured points".to_owned();
    }
    slopes
}
