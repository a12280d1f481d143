//! The slope of updates: from the moment discovery has a change to the moment the last balancer acts on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use tokio::time::sleep;
use zincstand_testbed::balancer::{Balancer, Settings, stop};
use zincstand_testbed::discovery::{Discovery, Lifecycle, VersionChange};
use zincstand_testbed::hollow::{Hush, UpdateMode};
use zincstand_testbed::machine::Needs;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;

use super::Bench;
use super::crowd::{DRAIN_GRACE, LONG, LOOK, Lags, SLOW, Scene, entry};

/// Changes of a burst.
const BURST: usize = 200;
/// What a hollow balancer holds, by upstream known, in KB; and the program with its stand-ins, in MB.
const HOLLOW_KB: f64 = 1.0;
const PROGRAM_MB: u64 = 200;
/// What a process may use.
const PROCESS_MB: u32 = 32;

/// How many balancers, and how many upstreams each knows.
pub fn sizes(bench: &Bench) -> (&'static [u32], usize) {
    if bench.quick { (&[10, 50, 100, 200], 500) } else { (&[10, 100, 500, 2_000], 2_000) }
}

/// What the largest crowd takes up.
pub fn needs(bench: &Bench) -> Needs {
    let (balancers, upstreams) = sizes(bench);
    let most = f64::from(balancers.iter().copied().max().unwrap_or(0));
    let memory_mb = PROGRAM_MB + (most * upstreams as f64 * HOLLOW_KB / 1024.0) as u64;
    Needs { processes: 0, memory_mb, descriptors: 0 }
}

pub fn plan(bench: &Bench) -> (String, Needs) {
    let (balancers, upstreams) = sizes(bench);
    let processes = processes(bench);
    let starts = format!(
        "updates: {balancers:?} hollow balancers in turn, then {processes:?} processes, with {upstreams} upstreams"
    );
    let most = processes.iter().copied().max().unwrap_or(0);
    let memory_mb = PROGRAM_MB + u64::from(PROCESS_MB) * most as u64;
    (starts, needs(bench).or(Needs { processes: most, memory_mb, descriptors: 0 }))
}

/// How many processes.
fn processes(bench: &Bench) -> &'static [usize] {
    if bench.quick { &[5, 10, 15, 20] } else { &[10, 25, 50, 100] }
}

/// The same for processes of their own: one acts on a version once its next watch asks from there, since it hands
/// its module what it was told before it asks again.
async fn real(bench: &Bench, rounds: u32) -> Result<Gathered> {
    let (sizes, (_, upstreams)) = (processes(bench), sizes(bench));
    let discovery = Discovery::start()?;
    discovery.replace((0..upstreams).map(entry).collect())?;
    let (mut running, mut gathered, mut changed) = (Vec::new(), Gathered::default(), 0);
    for &processes in sizes {
        let mut settings = Settings::alone(discovery.address());
        settings.balancers = processes as u32;
        settings.memory_mb = PROCESS_MB;
        settings.drain_grace_ms = DRAIN_GRACE.as_millis() as u32;
        while running.len() < processes {
            running.push(Balancer::start(&bench.balancer, &settings).await?);
        }
        let mut lags = Vec::new();
        for _ in 0..rounds {
            // Between two changes at no fixed point of a watch.
            sleep(Duration::from_millis(130)).await;
            let told = discovery.change(vec![entry(changed).with_lifecycle(Lifecycle::Draining)])?;
            changed += 1;
            lags.push(seen(&discovery, told, processes).await?);
        }
        gathered.add(processes as u32, &lags);
    }
    stop(running).await?;
    Ok(gathered)
}

/// How long after a change so many watchers had taken its version over.
async fn seen(discovery: &Discovery, told: VersionChange, watchers: usize) -> Result<Lags> {
    let (mut first, late) = (BTreeMap::new(), Instant::now() + LONG);
    while first.len() < watchers {
        for seen in discovery.take_acknowledgements()?.into_iter().filter(|seen| seen.version >= told.version)
        {
            first.entry(seen.connection).or_insert(seen.at);
        }
        if Instant::now() > late {
            bail!("only {} of {watchers} processes have taken a change over within {LONG:?}", first.len());
        }
        sleep(LOOK).await;
    }
    let lag = |at: &Instant| at.saturating_duration_since(told.at).as_secs_f64() * 1e3;
    Ok(Lags::new(first.values().map(lag).collect()))
}

/// Points of one slope, gathered size by size.
#[derive(Default)]
struct Gathered {
    median: Vec<Point>,
    last: Vec<Point>,
    worst: f64,
}

impl Gathered {
    /// The middle of the rounds, and the worst of all.
    fn add(&mut self, balancers: u32, rounds: &[Lags]) {
        let x = f64::from(balancers);
        let middle = |of: fn(&Lags) -> f64| Lags::new(rounds.iter().map(of).collect()).median();
        self.median.push(Point { x, y: middle(Lags::median) });
        self.last.push(Point { x, y: middle(Lags::last) });
        self.worst = rounds.iter().map(Lags::last).fold(self.worst, f64::max);
    }

    fn slopes(self, name: &str, remark: &str) -> [Slope; 2] {
        let remark = format!("{remark}; the slowest took {:.1} ms", self.worst);
        let slope = |which, points| {
            Slope::new(format!("updates: {name}, {which} balancer"), "balancers", "ms", points)
        };
        [slope("median", self.median), slope("last", self.last).remark(remark)]
    }
}

pub async fn measure(bench: &Bench) -> Result<Vec<Slope>> {
    let _hush = Hush::begin()?;
    let (sizes, upstreams) = sizes(bench);
    let rounds: u32 = if bench.quick { 3 } else { 9 };
    let bursts = if bench.quick { 1 } else { 3 };
    let (mut one, mut burst, mut slow, mut others) =
        (Gathered::default(), Gathered::default(), Gathered::default(), Gathered::default());
    let (mut answers, mut processor) = (Vec::new(), Vec::new());
    for &balancers in sizes {
        let x = f64::from(balancers);
        let mut scene = Scene::start(balancers, upstreams, UpdateMode::Push, bench.seed).await?;
        let (mut lags, before) = (Vec::new(), scene.crowd.processor());
        for _ in 0..rounds {
            let told = scene.change(1)?;
            lags.push(scene.lags(told).await?.0);
            scene.all_waiting().await?;
        }
        let spent = scene.crowd.processor().saturating_sub(before).as_secs_f64();
        processor.push(Point { x, y: spent * 1e6 / x / f64::from(rounds) });
        one.add(balancers, &lags);

        let (mut lags, before) = (Vec::new(), scene.all_waiting().await?.total);
        for _ in 0..bursts {
            let told = scene.change(BURST)?;
            lags.push(scene.lags(told).await?.0);
            scene.all_waiting().await?;
        }
        let passed = scene.all_waiting().await?.total.since(&before);
        answers.push(Point { x, y: passed.deltas as f64 / x / bursts as f64 });
        burst.add(balancers, &lags);

        scene.crowd.stall(true);
        let (mut all, mut quick) = (Vec::new(), Vec::new());
        for round in 0..rounds {
            // The last one ends with a standstill; each round begins at another point of the next.
            sleep(SLOW.every + SLOW.every * round / rounds).await;
            let told = scene.change(1)?;
            let (of_all, of_others) = scene.lags(told).await?;
            all.push(of_all);
            quick.push(of_others);
        }
        slow.add(balancers, &all);
        others.add(balancers, &quick);
    }
    let mut slopes = Vec::new();
    let hollow = format!("hollow balancers with {upstreams} upstreams each");
    slopes.extend(one.slopes("one change", &format!("{hollow}, {rounds} changes")));
    let bursts = format!("{hollow}, {bursts} times {BURST} changes, from the first to all of them in force");
    slopes.extend(burst.slopes("burst of 200", &bursts));
    slopes.push(
        Slope::new("updates: burst of 200, answers a balancer", "balancers", "answers", answers)
            .remark("a watcher that is busy is told several changes in one answer"),
    );
    let still = format!(
        "{hollow}; one in twenty stands still for {} of every {} ms",
        SLOW.stall.as_millis(),
        SLOW.every.as_millis()
    );
    slopes.extend(slow.slopes("one in twenty slow", &still));
    slopes.extend(others.slopes("one in twenty slow, the others", &still));
    slopes.push(
        Slope::new("updates: one change, processor time of a balancer", "balancers", "us", processor).remark(
            format!("{hollow}: the answer read, the module told, the next watch sent, and its share of rest"),
        ),
    );
    let processes = format!("processes of their own with {upstreams} upstreams, {rounds} changes");
    slopes.extend(real(bench, rounds).await?.slopes("processes, one change", &processes));
    Ok(slopes)
}
