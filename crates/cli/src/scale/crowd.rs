//! A stand-in discovery with a crowd of hollow balancers around it, as the slopes of updates and watchers use it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use tokio::time::sleep;
use zincstand_policy::{ListKind, ServerState};
use zincstand_testbed::discovery::{Counters, Discovery, Entry, Lifecycle, VersionChange};
use zincstand_testbed::hollow::{Crowd, Options, Reached, Slow, UpdateMode, descriptors};

/// What the pages' example has, and discovery's code derives its waits from.
pub const DRAIN_GRACE: Duration = Duration::from_millis(2_500);
const ASK_WITHIN: Duration = Duration::from_secs(10);
/// Zones of the size to design for.
const ZONES: u32 = 14;
/// Nothing takes this long; if it does, that is told and not waited for.
pub const LONG: Duration = Duration::from_secs(30);
/// Between two looks; every figure is timed where it arises and not by the look.
pub const LOOK: Duration = Duration::from_millis(2);
/// One in twenty stands still for four fifths of its time.
pub const SLOW: Slow =
    Slow { one_in: 20, stall: Duration::from_millis(200), every: Duration::from_millis(250) };
/// Descriptors beside those of the connections.
const RESERVED: u64 = 256;

/// An entry of the lists; nobody ever calls its address.
pub fn entry(number: usize) -> Entry {
    Entry::serving(number, ZONES as usize, SocketAddr::from(([127, 0, 0, 1], 9)))
}

/// How long after discovery had a change each balancer acted on it, in milliseconds, sorted.
pub struct Lags(Vec<f64>);

impl Lags {
    pub fn new(mut lags: Vec<f64>) -> Lags {
        lags.sort_by(f64::total_cmp);
        Lags(lags)
    }

    /// The middle one; 0 for none.
    pub fn median(&self) -> f64 {
        self.0.get(self.0.len() / 2).copied().unwrap_or(0.0)
    }

    /// The last one; 0 for none.
    pub fn last(&self) -> f64 {
        self.0.last().copied().unwrap_or(0.0)
    }
}

/// Discovery and its watchers.
pub struct Scene {
    /// First, so that it ends before the discovery that it watches.
    pub crowd: Crowd,
    pub discovery: Discovery,
    balancers: u32,
    upstreams: usize,
    changed: usize,
}

impl Scene {
    /// Started, each balancer holding the list and watching.
    pub async fn start(balancers: u32, upstreams: usize, learning: UpdateMode, seed: u64) -> Result<Scene> {
        descriptors(2 * u64::from(balancers) + RESERVED)?;
        let discovery = Discovery::start().context("the stand-in discovery")?;
        discovery.replace((0..upstreams).map(entry).collect())?;
        let cores = std::thread::available_parallelism().map_or(4, |n| n.get());
        let options = Options {
            balancers,
            threads: (cores / 2).max(1) as u32,
            discovery: discovery.address(),
            learning,
            drain_grace: DRAIN_GRACE,
            ask_within: ASK_WITHIN,
            zones: ZONES,
            slow: Some(SLOW),
            seed,
        };
        let crowd = Crowd::start(&options).context("the hollow balancers")?;
        let scene = Scene { crowd, discovery, balancers, upstreams, changed: 0 };
        scene.first(|r| r.kind == ListKind::Snapshot && r.entries == upstreams).await?;
        scene.all_waiting().await?;
        Ok(scene)
    }

    /// When the first such list reached each balancer.
    pub async fn first(&self, such: impl Fn(&Reached) -> bool) -> Result<BTreeMap<u32, Instant>> {
        let (mut first, late) = (BTreeMap::new(), Instant::now() + LONG);
        loop {
            for reached in self.crowd.reached().filter(&such) {
                first.entry(reached.balancer).or_insert(reached.at);
            }
            if first.len() == self.balancers as usize {
                return Ok(first);
            }
            if Instant::now() > late {
                bail!("only {} of {} balancers were told within {LONG:?}", first.len(), self.balancers);
            }
            sleep(LOOK).await;
        }
    }

    /// What has been counted once every balancer watches.
    pub async fn all_waiting(&self) -> Result<Counters> {
        let late = Instant::now() + LONG;
        loop {
            let counted = self.discovery.counters()?;
            // At rest a few are always between two watches.
            if counted.waiting_watches >= u64::from(self.balancers - self.balancers / 100) {
                return Ok(counted);
            }
            if Instant::now() > late {
                bail!(
                    "only {} of {} balancers watch after {LONG:?}",
                    counted.waiting_watches,
                    self.balancers
                );
            }
            sleep(LOOK).await;
        }
    }

    /// So many changes of one entry each, as fast as discovery takes them; the last one is marked. When discovery
    /// had the first.
    pub fn change(&mut self, times: usize) -> Result<VersionChange> {
        let last = entry((self.changed + times - 1) % self.upstreams);
        self.crowd.mark(&last.instance_id, ServerState::Draining);
        let mut first = None;
        for _ in 0..times {
            let entry = entry(self.changed % self.upstreams).with_lifecycle(Lifecycle::Draining);
            self.changed += 1;
            let told = self.discovery.change(vec![entry])?;
            first.get_or_insert(told);
        }
        first.context("no change")
    }

    /// How long after that the balancers acted on the marked entry: all of them, and those that are never slow.
    pub async fn lags(&self, told: VersionChange) -> Result<(Lags, Lags)> {
        let first = self.first(|r| r.marked && r.at > told.at).await?;
        let lag = |at: &Instant| at.saturating_duration_since(told.at).as_secs_f64() * 1e3;
        let others = first.iter().filter(|(n, _)| !self.crowd.is_slow(**n)).map(|(_, at)| lag(at));
        Ok((Lags::new(first.values().map(lag).collect()), Lags::new(others.collect())))
    }
}
