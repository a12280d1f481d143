//! Measures the lag of updates: from the moment discovery has a change until the last balancer has applied it.

mod lag_slopes;
mod processes;

use std::time::Duration;

use anyhow::Result;
use tokio::time::sleep;
use zincstand_testbed::hollow::UpdateMode;
use zincstand_testbed::machine::ResourceNeeds;
use zincstand_testbed::quiet_stderr::QuietStderr;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use self::lag_slopes::LagSlopes;
use super::watched_discovery::{Lags, SLOW_BALANCERS, WatchedDiscovery};
use super::{MeasurementPlan, Parameters};

/// Number of changes in a burst.
const CHANGES_PER_BURST: usize = 200;
/// Number of single changes for one number of balancers.
const ROUNDS: u32 = 9;
/// [`ROUNDS`] with `--quick`.
const QUICK_ROUNDS: u32 = 3;
/// Number of bursts for one number of balancers.
const BURSTS: u32 = 3;
/// [`BURSTS`] with `--quick`.
const QUICK_BURSTS: u32 = 1;
/// Memory of a hollow balancer for each known upstream, in KB.
const HOLLOW_BALANCER_KB_PER_UPSTREAM: f64 = 1.0;
/// Memory of this process, which includes the stand-ins, in MB.
const MEASURING_PROCESS_MB: u64 = 200;

/// Sizes and repetitions of the measurement with hollow balancers.
struct Workload {
    /// Numbers of balancers.
    balancers: &'static [u32],
    upstreams: usize,
    rounds: u32,
    bursts: u32,
}

impl Workload {
    fn new(parameters: &Parameters) -> Workload {
        if parameters.quick {
            return Workload {
                balancers: &[10, 50, 100, 200],
                upstreams: 500,
                rounds: QUICK_ROUNDS,
                bursts: QUICK_BURSTS,
            };
        }
        Workload { balancers: &[10, 100, 500, 2_000], upstreams: 2_000, rounds: ROUNDS, bursts: BURSTS }
    }
}

/// Returns the resources that the largest fleet of hollow balancers needs.
pub fn fleet_needs(parameters: &Parameters) -> ResourceNeeds {
    let Workload { balancers, upstreams, .. } = Workload::new(parameters);
    let max_balancers = f64::from(balancers.iter().copied().max().unwrap_or(0));
    let memory_mb = MEASURING_PROCESS_MB
        + (max_balancers * upstreams as f64 * HOLLOW_BALANCER_KB_PER_UPSTREAM / 1024.0) as u64;
    ResourceNeeds { processes: 0, memory_mb, descriptors: 0 }
}

/// Returns what the measurement starts and which resources it needs.
pub fn plan(parameters: &Parameters) -> MeasurementPlan {
    let Workload { balancers, upstreams, .. } = Workload::new(parameters);
    let processes = processes::process_counts(parameters);
    let description = format!(
        "updates: {balancers:?} hollow balancers in turn, then {processes:?} processes, with {upstreams} upstreams"
    );
    MeasurementPlan { description, needs: fleet_needs(parameters).max(processes::needs(parameters)) }
}

/// Measures hollow balancers, then processes.
pub async fn measure(parameters: &Parameters) -> Result<Vec<Slope>> {
    let _quiet_stderr = QuietStderr::begin()?;
    let workload = Workload::new(parameters);
    let mut measured = FleetSlopes::default();
    for &balancers in workload.balancers {
        let watched =
            WatchedDiscovery::start(balancers, workload.upstreams, UpdateMode::Push, parameters.seed).await?;
        let mut measurement = FleetMeasurement { watched, balancers, measured: &mut measured };
        measurement.single_changes(workload.rounds).await?;
        measurement.bursts(workload.bursts).await?;
        measurement.changes_with_slow_balancers(workload.rounds).await?;
    }
    let mut slopes = measured.slopes(&workload);
    let processes = processes::measure(parameters, workload.upstreams, workload.rounds).await?;
    let remark =
        format!("processes of their own with {} upstreams, {} changes", workload.upstreams, workload.rounds);
    slopes.extend(processes.slopes("processes, one change", &remark));
    Ok(slopes)
}

/// Points of the slopes measured with hollow balancers.
#[derive(Default)]
struct FleetSlopes {
    one_change: LagSlopes,
    burst: LagSlopes,
    /// Lags of all balancers while some of them are slow.
    with_slow: LagSlopes,
    /// Lags of the balancers that are never slow, while others are.
    never_slow: LagSlopes,
    /// Number of responses to each balancer in a burst.
    burst_responses: Vec<Point>,
    /// Processor time of a balancer for one change, in microseconds.
    processor: Vec<Point>,
}

impl FleetSlopes {
    fn slopes(self, workload: &Workload) -> Vec<Slope> {
        let Workload { upstreams, rounds, bursts, .. } = workload;
        let hollow = format!("hollow balancers with {upstreams} upstreams each");
        let with_burst = format!(
            "{hollow}, {bursts} times {CHANGES_PER_BURST} changes, from the first to all of them in force"
        );
        let with_slow = format!(
            "{hollow}; one in twenty stalls for {} of every {} ms",
            SLOW_BALANCERS.stall.as_millis(),
            SLOW_BALANCERS.interval.as_millis()
        );
        let responses = Slope::new(
            "updates: burst of 200, answers a balancer",
            "balancers",
            "answers",
            self.burst_responses,
        );
        let processor = Slope::new(
            "updates: one change, processor time of a balancer",
            "balancers",
            "us",
            self.processor,
        );
        let mut slopes = Vec::new();
        slopes.extend(self.one_change.slopes("one change", &format!("{hollow}, {rounds} changes")));
        slopes.extend(self.burst.slopes("burst of 200", &with_burst));
        slopes.push(responses.remark("a busy watcher is notified of several changes in one response"));
        slopes.extend(self.with_slow.slopes("one in twenty slow", &with_slow));
        slopes.extend(self.never_slow.slopes("one in twenty slow, the others", &with_slow));
        slopes.push(processor.remark(format!(
            "{hollow}: reading the response, notifying the policy, sending the next watch, and its share of idle time"
        )));
        slopes
    }
}

/// Measurements with one number of hollow balancers.
struct FleetMeasurement<'a> {
    watched: WatchedDiscovery,
    balancers: u32,
    measured: &'a mut FleetSlopes,
}

impl FleetMeasurement<'_> {
    /// Measures changes of one entry, one at a time.
    async fn single_changes(&mut self, rounds: u32) -> Result<()> {
        let before = self.watched.fleet.processor_time();
        let mut lags = Vec::new();
        for _ in 0..rounds {
            lags.push(self.change_and_settle(1).await?);
        }
        let processor_time = self.watched.fleet.processor_time().saturating_sub(before);
        let balancers = f64::from(self.balancers);
        let micros = processor_time.as_secs_f64() * 1e6 / balancers / f64::from(rounds);
        self.measured.processor.push(Point { x: balancers, y: micros });
        self.measured.one_change.add(self.balancers, &lags);
        Ok(())
    }

    /// Measures bursts of changes that are made as fast as discovery accepts them.
    async fn bursts(&mut self, bursts: u32) -> Result<()> {
        let before = self.watched.all_watching().await?.total;
        let mut lags = Vec::new();
        for _ in 0..bursts {
            lags.push(self.change_and_settle(CHANGES_PER_BURST).await?);
        }
        let traffic = self.watched.all_watching().await?.total.since(&before);
        let balancers = f64::from(self.balancers);
        let responses = traffic.deltas as f64 / balancers / f64::from(bursts);
        self.measured.burst_responses.push(Point { x: balancers, y: responses });
        self.measured.burst.add(self.balancers, &lags);
        Ok(())
    }

    /// Makes `times` changes and waits until all balancers watch again. Returns the lags of all balancers.
    async fn change_and_settle(&mut self, times: usize) -> Result<Lags> {
        let change = self.watched.change(times)?;
        let lags = self.watched.lags(change).await?;
        self.watched.all_watching().await?;
        Ok(lags.all)
    }

    /// Measures changes of one entry while one balancer in twenty stalls repeatedly.
    async fn changes_with_slow_balancers(&mut self, rounds: u32) -> Result<()> {
        self.watched.fleet.set_stalling(true);
        let mut all = Vec::new();
        let mut never_slow = Vec::new();
        for round in 0..rounds {
            sleep(pause_before(round, rounds)).await;
            let change = self.watched.change(1)?;
            let lags = self.watched.lags(change).await?;
            all.push(lags.all);
            never_slow.push(lags.never_slow);
        }
        self.measured.with_slow.add(self.balancers, &all);
        self.measured.never_slow.add(self.balancers, &never_slow);
        Ok(())
    }
}

/// Returns the pause before a round. A round ends together with a stall, so the pauses differ, to make the changes at
/// different phases of the following stall.
fn pause_before(round: u32, rounds: u32) -> Duration {
    SLOW_BALANCERS.interval + SLOW_BALANCERS.interval * round / rounds
}
