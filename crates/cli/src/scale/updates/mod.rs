//! The slope of updates: from the moment discovery has a change to the moment the last balancer acts on it.

mod lag_slopes;
mod processes;

use std::time::Duration;

use anyhow::Result;
use tokio::time::sleep;
use zincstand_testbed::hollow::UpdateMode;
use zincstand_testbed::machine::Needs;
use zincstand_testbed::quiet_stderr::QuietStderr;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use self::lag_slopes::LagSlopes;
use super::watched_discovery::{Lags, SLOW, WatchedDiscovery};
use super::{Bench, Plan};

/// Changes of a burst.
const BURST: usize = 200;
/// How often a change is made for one number of balancers.
const ROUNDS: u32 = 9;
const QUICK_ROUNDS: u32 = 3;
/// How often a burst is made.
const BURSTS: u32 = 3;
const QUICK_BURSTS: u32 = 1;
/// What a hollow balancer holds for each upstream that it knows, in KB.
const HOLLOW_KB: f64 = 1.0;
/// Memory of this program with its stand-ins, in MB.
const PROGRAM_MB: u64 = 200;

/// How much is measured with hollow balancers.
struct Extent {
    /// Numbers of balancers.
    balancers: &'static [u32],
    upstreams: usize,
    rounds: u32,
    bursts: u32,
}

impl Extent {
    fn new(bench: &Bench) -> Extent {
        if bench.quick {
            return Extent {
                balancers: &[10, 50, 100, 200],
                upstreams: 500,
                rounds: QUICK_ROUNDS,
                bursts: QUICK_BURSTS,
            };
        }
        Extent { balancers: &[10, 100, 500, 2_000], upstreams: 2_000, rounds: ROUNDS, bursts: BURSTS }
    }
}

/// What the largest fleet of hollow balancers needs.
pub fn fleet_needs(bench: &Bench) -> Needs {
    let Extent { balancers, upstreams, .. } = Extent::new(bench);
    let most = f64::from(balancers.iter().copied().max().unwrap_or(0));
    let memory_mb = PROGRAM_MB + (most * upstreams as f64 * HOLLOW_KB / 1024.0) as u64;
    Needs { processes: 0, memory_mb, descriptors: 0 }
}

/// What the measurement starts and needs.
pub fn plan(bench: &Bench) -> Plan {
    let Extent { balancers, upstreams, .. } = Extent::new(bench);
    let processes = processes::sizes(bench);
    let description = format!(
        "updates: {balancers:?} hollow balancers in turn, then {processes:?} processes, with {upstreams} upstreams"
    );
    Plan { description, needs: fleet_needs(bench).or(processes::needs(bench)) }
}

/// Measures hollow balancers, then processes.
pub async fn measure(bench: &Bench) -> Result<Vec<Slope>> {
    let _quiet_stderr = QuietStderr::begin()?;
    let extent = Extent::new(bench);
    let mut measured = Measured::default();
    for &balancers in extent.balancers {
        let watched =
            WatchedDiscovery::start(balancers, extent.upstreams, UpdateMode::Push, bench.seed).await?;
        let mut run = Run { watched, balancers, measured: &mut measured };
        run.single_changes(extent.rounds).await?;
        run.bursts(extent.bursts).await?;
        run.changes_with_slow_balancers(extent.rounds).await?;
    }
    let mut slopes = measured.slopes(&extent);
    let processes = processes::measure(bench, extent.upstreams, extent.rounds).await?;
    let remark =
        format!("processes of their own with {} upstreams, {} changes", extent.upstreams, extent.rounds);
    slopes.extend(processes.slopes("processes, one change", &remark));
    Ok(slopes)
}

/// What was measured with hollow balancers.
#[derive(Default)]
struct Measured {
    one_change: LagSlopes,
    burst: LagSlopes,
    /// All balancers, while some are slow.
    with_slow: LagSlopes,
    /// Those that are not slow, while others are.
    beside_slow: LagSlopes,
    /// Responses to each balancer in a burst.
    burst_responses: Vec<Point>,
    /// Processor time of a balancer for a change, in microseconds.
    processor: Vec<Point>,
}

impl Measured {
    fn slopes(self, extent: &Extent) -> Vec<Slope> {
        let Extent { upstreams, rounds, bursts, .. } = extent;
        let hollow = format!("hollow balancers with {upstreams} upstreams each");
        let with_burst =
            format!("{hollow}, {bursts} times {BURST} changes, from the first to all of them in force");
        let with_slow = format!(
            "{hollow}; one in twenty stands still for {} of every {} ms",
            SLOW.stall.as_millis(),
            SLOW.every.as_millis()
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
        slopes.push(responses.remark("a watcher that is busy is told several changes in one answer"));
        slopes.extend(self.with_slow.slopes("one in twenty slow", &with_slow));
        slopes.extend(self.beside_slow.slopes("one in twenty slow, the others", &with_slow));
        slopes.push(processor.remark(format!(
            "{hollow}: the answer read, the module told, the next watch sent, and its share of rest"
        )));
        slopes
    }
}

/// The measurements with one number of hollow balancers.
struct Run<'a> {
    watched: WatchedDiscovery,
    balancers: u32,
    measured: &'a mut Measured,
}

impl Run<'_> {
    /// Changes of one entry, one at a time.
    async fn single_changes(&mut self, rounds: u32) -> Result<()> {
        let before = self.watched.fleet.processor_time();
        let mut lags = Vec::new();
        for _ in 0..rounds {
            lags.push(self.change_and_rest(1).await?);
        }
        let spent = self.watched.fleet.processor_time().saturating_sub(before);
        let balancers = f64::from(self.balancers);
        let micros = spent.as_secs_f64() * 1e6 / balancers / f64::from(rounds);
        self.measured.processor.push(Point { x: balancers, y: micros });
        self.measured.one_change.add(self.balancers, &lags);
        Ok(())
    }

    /// Many changes, as fast as discovery takes them.
    async fn bursts(&mut self, bursts: u32) -> Result<()> {
        let before = self.watched.all_watching().await?.total;
        let mut lags = Vec::new();
        for _ in 0..bursts {
            lags.push(self.change_and_rest(BURST).await?);
        }
        let passed = self.watched.all_watching().await?.total.since(&before);
        let balancers = f64::from(self.balancers);
        let responses = passed.deltas as f64 / balancers / f64::from(bursts);
        self.measured.burst_responses.push(Point { x: balancers, y: responses });
        self.measured.burst.add(self.balancers, &lags);
        Ok(())
    }

    /// Makes changes and waits until all balancers watch again; the lags of all.
    async fn change_and_rest(&mut self, times: usize) -> Result<Lags> {
        let change = self.watched.change(times)?;
        let lags = self.watched.lags(change).await?;
        self.watched.all_watching().await?;
        Ok(lags.all)
    }

    /// Changes of one entry while one balancer in twenty keeps stalling.
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
        self.measured.beside_slow.add(self.balancers, &never_slow);
        Ok(())
    }
}

/// The pause before a round: the last round ended with a stall, and each is to begin at another point of the next.
fn pause_before(round: u32, rounds: u32) -> Duration {
    SLOW.every + SLOW.every * round / rounds
}
