//! Measures the load of discovery by number of watchers: when idle, at a change, and when all watches break at once.

mod one_machine;
mod slopes;

use std::time::{Duration, Instant};

use anyhow::Result;
use tokio::time::sleep;
use zincstand_policy::ListKind;
use zincstand_testbed::discovery::{Mode, TRAFFIC_BUCKET, Traffic};
use zincstand_testbed::hollow::UpdateMode;
use zincstand_testbed::quiet_stderr::QuietStderr;
use zincstand_testbed::report::Slope;

use self::one_machine::one_machine;
use self::slopes::Slopes;
use super::watched_discovery::{WatchedDiscovery, list, millis_between};
use super::{MeasurementPlan, Parameters, updates};

/// Part of the remark on processor time.
const STAND_IN_REMARK: &str = "of the stand-in's one thread, not of a product";
/// Number of known upstreams where the length of the list does not matter.
const SHORT_LIST_UPSTREAMS: usize = 200;
/// Duration of the measurement without changes.
const IDLE_DURATION: Duration = Duration::from_secs(3);
/// [`IDLE_DURATION`] with `--quick`.
const QUICK_IDLE_DURATION: Duration = Duration::from_secs(1);
/// Duration of each outage of discovery. It is longer than a watch waits for a response, which is 1.5 s with the settings
/// used here.
const OUTAGE_DURATION: Duration = Duration::from_secs(2);
/// [`OUTAGE_DURATION`] with `--quick`.
const QUICK_OUTAGE_DURATION: Duration = Duration::from_millis(600);
/// Number of changes whose mean cost is measured.
const CHANGES: u32 = 10;
/// [`CHANGES`] with `--quick`.
const QUICK_CHANGES: u32 = 3;

/// Sizes, durations and repetitions of the measurement.
struct Workload {
    /// Numbers of balancers.
    balancers: &'static [u32],
    upstreams: usize,
    idle: Duration,
    outage: Duration,
    changes: u32,
}

impl Workload {
    fn new(parameters: &Parameters) -> Workload {
        if parameters.quick {
            return Workload {
                balancers: &[25, 50, 100, 200],
                upstreams: 500,
                idle: QUICK_IDLE_DURATION,
                outage: QUICK_OUTAGE_DURATION,
                changes: QUICK_CHANGES,
            };
        }
        Workload {
            balancers: &[100, 500, 1_000, 2_000],
            upstreams: 2_000,
            idle: IDLE_DURATION,
            outage: OUTAGE_DURATION,
            changes: CHANGES,
        }
    }
}

/// Returns what the measurement starts and which resources it needs.
pub fn plan(parameters: &Parameters) -> MeasurementPlan {
    let Workload { balancers, upstreams, .. } = Workload::new(parameters);
    let description =
        format!("watchers: {balancers:?} hollow balancers in turn, each with {upstreams} upstreams");
    MeasurementPlan { description, needs: updates::fleet_needs(parameters) }
}

/// Measures each number of balancers in turn.
pub async fn measure(parameters: &Parameters) -> Result<Vec<Slope>> {
    let _quiet_stderr = QuietStderr::begin()?;
    let workload = Workload::new(parameters);
    let mut slopes = Slopes::default();
    for &balancers in workload.balancers {
        let watched =
            WatchedDiscovery::start(balancers, workload.upstreams, UpdateMode::Push, parameters.seed).await?;
        let mut measurement =
            FleetMeasurement { watched, balancers: f64::from(balancers), slopes: &mut slopes };
        measurement.startup()?;
        measurement.idle(workload.idle).await?;
        measurement.single_changes(workload.changes).await?;
        measurement.complete_list(workload.upstreams).await?;
        measurement.broken_watches("all watches broken").await?;
        measurement.outage(workload.outage).await?;
        measurement.silence(workload.outage).await?;
    }
    if !parameters.quick {
        let max_balancers = workload.balancers.iter().copied().max().unwrap_or(0);
        let watched =
            WatchedDiscovery::start(max_balancers, SHORT_LIST_UPSTREAMS, UpdateMode::Poll, parameters.seed)
                .await?;
        let mut measurement =
            FleetMeasurement { watched, balancers: f64::from(max_balancers), slopes: &mut slopes };
        measurement.broken_watches("all watches broken, asking").await?;
    }
    add_remarks(&mut slopes, &workload);
    let mut slopes = slopes.fitted();
    slopes.extend(one_machine(&slopes));
    Ok(slopes)
}

fn add_remarks(slopes: &mut Slopes, workload: &Workload) {
    let outage = workload.outage;
    slopes.remark(
        "at rest",
        format!("{} upstreams; processor time is that {STAND_IN_REMARK}", workload.upstreams),
    );
    slopes.remark(
        "all started together",
        "more than one each if a response took longer than a balancer waits for it",
    );
    slopes.remark("all watches broken", "a change is made at the same moment");
    slopes.remark("back from an outage", format!("after {outage:?} in which connections are refused"));
    slopes.remark("in silence", format!("{outage:?} without responses"));
    slopes.remark("back from silence", "calls of the silent time are answered at its end");
    slopes.remark("all watches broken, asking", "the policy polls, within `AskWithinMs` of 10 s");
}

/// Measurements with one number of balancers.
struct FleetMeasurement<'a> {
    watched: WatchedDiscovery,
    /// Number of balancers, the horizontal position of every point.
    balancers: f64,
    slopes: &'a mut Slopes,
}

impl FleetMeasurement<'_> {
    fn add(&mut self, name: &str, unit: &str, value: f64) {
        self.slopes.add(name, unit, self.balancers, value);
    }

    /// Records the connections that all balancers opened during their start, and the complete lists that they received.
    fn startup(&mut self) -> Result<()> {
        let started = self.watched.discovery.counters()?.total;
        self.add("all started together", "connections", started.connections as f64);
        self.add("all started together", "whole lists", started.snapshots as f64);
        Ok(())
    }

    /// Measures the traffic and processor time while nothing changes.
    async fn idle(&mut self, idle: Duration) -> Result<()> {
        let before = self.watched.discovery.counters()?;
        let fleet_before = self.watched.fleet.processor_time();
        let started_at = Instant::now();
        sleep(idle).await;
        let after = self.watched.discovery.counters()?;
        let seconds = started_at.elapsed().as_secs_f64();
        let traffic = after.total.since(&before.total);
        self.add("at rest", "connections open", after.open_connections as f64);
        self.add("at rest", "calls a second", traffic.requests as f64 / seconds);
        self.add("at rest", "bytes in a second", traffic.bytes_in as f64 / seconds);
        self.add("at rest", "bytes out a second", traffic.bytes_out as f64 / seconds);
        let percent_of_core = |processor_time: Duration| processor_time.as_secs_f64() / seconds * 100.0;
        let discovery_processor_time = after.processor_time.saturating_sub(before.processor_time);
        self.add("at rest", "% of a core", percent_of_core(discovery_processor_time));
        let fleet_processor_time = self.watched.fleet.processor_time().saturating_sub(fleet_before);
        self.add("at rest, all balancers", "% of a core", percent_of_core(fleet_processor_time));
        Ok(())
    }

    /// Measures the mean cost of a change of one entry.
    async fn single_changes(&mut self, changes: u32) -> Result<()> {
        let before = self.watched.all_watching().await?;
        for _ in 0..changes {
            let change = self.watched.change(1)?;
            self.watched.lags(change).await?;
            self.watched.all_watching().await?;
        }
        let after = self.watched.discovery.counters()?;
        let traffic = after.total.since(&before.total);
        let changes = f64::from(changes);
        self.add("at a change", "calls", traffic.requests as f64 / changes);
        self.add("at a change", "bytes in", traffic.bytes_in as f64 / changes);
        self.add("at a change", "bytes out", traffic.bytes_out as f64 / changes);
        self.add("at a change", "whole lists", traffic.snapshots as f64 / changes);
        let processor_time = after.processor_time.saturating_sub(before.processor_time);
        self.add("at a change", "ms of processor", processor_time.as_secs_f64() * 1e3 / changes);
        Ok(())
    }

    /// Measures the cost of sending the complete list to every balancer.
    async fn complete_list(&mut self, upstreams: usize) -> Result<()> {
        let before = self.watched.all_watching().await?;
        let fleet_before = self.watched.fleet.processor_time();
        let change = self.watched.discovery.replace(list(upstreams))?;
        let applied_at =
            self.watched.first_lists(|list| list.kind == ListKind::Snapshot && list.at > change.at).await?;
        let after = self.watched.all_watching().await?;
        let traffic = after.total.since(&before.total);
        let bytes_per_list = traffic.bytes_out as f64 / traffic.snapshots.max(1) as f64;
        self.add("whole list to all", "whole lists", traffic.snapshots as f64);
        self.add("whole list to all", "bytes out", traffic.bytes_out as f64);
        self.add("whole list to all", "bytes a list", bytes_per_list);
        let processor_time = after.processor_time.saturating_sub(before.processor_time);
        self.add("whole list to all", "ms of processor", processor_time.as_secs_f64() * 1e3);
        let last = applied_at.values().max().map_or(0.0, |last| millis_between(change.at, *last));
        self.add("whole list to all", "ms until the last acts on it", last);
        let fleet_processor_time = self.watched.fleet.processor_time().saturating_sub(fleet_before);
        let millis_per_balancer = fleet_processor_time.as_secs_f64() * 1e3 / self.balancers;
        self.add("whole list, a balancer", "ms of processor", millis_per_balancer);
        Ok(())
    }

    /// Measures the recovery after all watches broke at once.
    async fn broken_watches(&mut self, name: &str) -> Result<()> {
        let before = self.watched.all_watching().await?.total;
        let closed = self.watched.discovery.close_connections()?;
        self.recovery(name, closed.at, before).await
    }

    /// Measures the recovery after discovery refused connections for a while.
    async fn outage(&mut self, outage: Duration) -> Result<()> {
        self.watched.discovery.set_mode(Mode::Down)?;
        sleep(outage).await;
        let before = self.watched.discovery.counters()?.total;
        let up = self.watched.discovery.set_mode(Mode::Up)?;
        self.recovery("back from an outage", up.at, before).await
    }

    /// Measures the connections while discovery does not respond, and the recovery afterwards.
    async fn silence(&mut self, silence: Duration) -> Result<()> {
        let before = self.watched.all_watching().await?.total;
        self.watched.discovery.set_mode(Mode::Silent)?;
        sleep(silence).await;
        let silent = self.watched.discovery.counters()?.total;
        self.add("in silence", "connections", silent.since(&before).connections as f64);
        let up = self.watched.discovery.set_mode(Mode::Up)?;
        self.recovery("back from silence", up.at, silent).await
    }

    /// Measures how all balancers recover from an outage that ended at `from`. `before` is the total traffic at
    /// its end.
    async fn recovery(&mut self, name: &str, from: Instant, before: Traffic) -> Result<()> {
        // Everything sent before `from` has arrived, so a balancer that applies a change made now has recovered.
        let change = self.watched.change(1)?;
        let lags = self.watched.lags(change).await?;
        let counters = self.watched.all_watching().await?;
        let traffic = counters.total.since(&before);
        let busiest = busiest_bucket(counters.buckets_from(from));
        let millis_to_busiest = busiest.index as f64 * TRAFFIC_BUCKET.as_secs_f64() * 1e3;
        self.add(name, "connections", traffic.connections as f64);
        self.add(name, "connections in the busiest 100 ms", busiest.connections as f64);
        self.add(name, "ms to the start of the busiest 100 ms", millis_to_busiest);
        self.add(name, "calls", traffic.requests as f64);
        self.add(name, "whole lists", traffic.snapshots as f64);
        self.add(name, "bytes out", traffic.bytes_out as f64);
        self.add(name, "ms until the last acts on a change made at once", lags.all.max());
        Ok(())
    }
}

/// The interval of [`TRAFFIC_BUCKET`] with the most new connections.
#[derive(Default)]
struct BusiestBucket {
    /// Index of the interval, from 0.
    index: usize,
    connections: u64,
}

/// Returns the interval with the most connections, the first one if several have equally many.
fn busiest_bucket(buckets: &[Traffic]) -> BusiestBucket {
    let mut busiest = BusiestBucket::default();
    for (index, bucket) in buckets.iter().enumerate() {
        if bucket.connections > busiest.connections {
            busiest = BusiestBucket { index, connections: bucket.connections };
        }
    }
    busiest
}
