//! A stand-in discovery with a fleet of hollow balancers that watch it, for the measurements of updates and watchers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::NonZero;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use tokio::time::sleep;
use zincstand_policy::{ListKind, ServerState};
use zincstand_testbed::discovery::{Counters, Discovery, Entry, Lifecycle, VersionChange};
use zincstand_testbed::hollow::{FleetOptions, HollowFleet, ListApplied, SlowBalancers, UpdateMode};
use zincstand_testbed::machine::ensure_descriptors;

/// Drain grace of the platform's example configuration. The discovery client derives its waits from it.
pub const DRAIN_GRACE: Duration = Duration::from_millis(2_500);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Number of zones of the fleet that the balancer is designed for.
const ZONES: u32 = 14;
/// Maximum duration of a wait, after which the measurement fails.
pub const TIME_LIMIT: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition. Measured times are more precise than that, because they are recorded
/// where the events occur.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Slow balancers: one in twenty stalls for four fifths of the time.
pub const SLOW_BALANCERS: SlowBalancers =
    SlowBalancers { one_in: 20, stall: Duration::from_millis(200), interval: Duration::from_millis(250) };
/// Number of descriptors reserved for other uses than the connections of the watchers.
const RESERVED_DESCRIPTORS: u64 = 256;
/// Assumed number of cores if it cannot be determined. The fleet has half as many threads.
const DEFAULT_CORES: usize = 4;

/// Returns an entry of the endpoint list. No request is ever sent to its address.
pub fn entry(number: usize) -> Entry {
    Entry::serving(number, ZONES as usize, SocketAddr::from(([127, 0, 0, 1], 9)))
}

/// Returns the complete list of the given number of upstreams.
pub fn list(upstreams: usize) -> Vec<Entry> {
    (0..upstreams).map(entry).collect()
}

/// Returns the time from `from` to `to` in milliseconds, or 0 if `to` is earlier.
pub fn millis_between(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() * 1e3
}

/// Lags of the balancers in milliseconds, sorted. A lag is the time from a change at discovery until a balancer has
/// applied it.
pub struct Lags(Vec<f64>);

impl Lags {
    /// Sorts the lags.
    pub fn new(mut lags: Vec<f64>) -> Lags {
        lags.sort_by(f64::total_cmp);
        Lags(lags)
    }

    /// Returns the median lag, or 0 without any lag.
    pub fn median(&self) -> f64 {
        self.0.get(self.0.len() / 2).copied().unwrap_or(0.0)
    }

    /// Returns the longest lag, or 0 without any lag.
    pub fn max(&self) -> f64 {
        self.0.last().copied().unwrap_or(0.0)
    }
}

/// The lags of one change.
pub struct ChangeLags {
    /// The lags of all balancers.
    pub all: Lags,
    /// The lags of the balancers that are never slow.
    pub never_slow: Lags,
}

/// A discovery and its watchers.
pub struct WatchedDiscovery {
    /// The watchers. This field comes first, so that they are dropped before the discovery that they watch.
    pub fleet: HollowFleet,
    /// The discovery.
    pub discovery: Discovery,
    balancers: u32,
    upstreams: usize,
    /// Number of entries changed so far.
    changes: usize,
}

impl WatchedDiscovery {
    /// Starts the discovery and its watchers. Returns once each balancer has applied the list and watches.
    ///
    /// # Errors
    /// There are too few descriptors or threads, or the fleet is not ready within [`TIME_LIMIT`].
    pub async fn start(
        balancers: u32,
        upstreams: usize,
        update_mode: UpdateMode,
        seed: u64,
    ) -> Result<WatchedDiscovery> {
        ensure_descriptors(2 * u64::from(balancers) + RESERVED_DESCRIPTORS)?;
        let discovery = Discovery::start().context("cannot start the stand-in discovery")?;
        discovery.replace(list(upstreams))?;
        let cores = std::thread::available_parallelism().map_or(DEFAULT_CORES, NonZero::get);
        let options = FleetOptions {
            balancers,
            threads: (cores / 2).max(1) as u32,
            discovery: discovery.address(),
            update_mode,
            drain_grace: DRAIN_GRACE,
            poll_within: MAX_POLL_INTERVAL,
            zones: ZONES,
            slow: Some(SLOW_BALANCERS),
            seed,
        };
        let fleet = HollowFleet::start(&options).context("cannot start the hollow balancers")?;
        let watched = WatchedDiscovery { fleet, discovery, balancers, upstreams, changes: 0 };
        watched.first_lists(|list| list.kind == ListKind::Snapshot && list.entries == upstreams).await?;
        watched.all_watching().await?;
        Ok(watched)
    }

    /// Waits until every balancer has applied a list that `is_expected` accepts. Returns the time of the first such list
    /// by balancer.
    ///
    /// # Errors
    /// Some balancers do not apply such a list within [`TIME_LIMIT`].
    pub async fn first_lists(
        &self,
        is_expected: impl Fn(&ListApplied) -> bool,
    ) -> Result<BTreeMap<u32, Instant>> {
        let give_up_at = Instant::now() + TIME_LIMIT;
        let mut first = BTreeMap::new();
        loop {
            for list in self.fleet.applied().filter(&is_expected) {
                first.entry(list.balancer).or_insert(list.at);
            }
            if first.len() == self.balancers as usize {
                return Ok(first);
            }
            if Instant::now() > give_up_at {
                bail!(
                    "only {} of {} balancers have applied the expected list within {TIME_LIMIT:?}",
                    first.len(),
                    self.balancers
                );
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until all balancers watch. Returns the counters of discovery at that moment.
    ///
    /// # Errors
    /// Some balancers do not watch within [`TIME_LIMIT`].
    pub async fn all_watching(&self) -> Result<Counters> {
        let give_up_at = Instant::now() + TIME_LIMIT;
        // Even without changes, a few balancers are always between two watches, so one in a hundred may be missing.
        let min_watching = u64::from(self.balancers - self.balancers / 100);
        loop {
            let counters = self.discovery.counters()?;
            if counters.waiting_watches >= min_watching {
                return Ok(counters);
            }
            if Instant::now() > give_up_at {
                bail!(
                    "only {} of {} balancers watch after {TIME_LIMIT:?}",
                    counters.waiting_watches,
                    self.balancers
                );
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Makes changes of one entry each, as fast as discovery accepts them, and marks the last entry. Returns
    /// the first change.
    ///
    /// # Errors
    /// Discovery has ended, or the number of changes is 0.
    pub fn change(&mut self, times: usize) -> Result<VersionChange> {
        let last = entry((self.changes + times - 1) % self.upstreams);
        self.fleet.mark(&last.instance_id, ServerState::Draining);
        let mut first = None;
        for _ in 0..times {
            let entry = entry(self.changes % self.upstreams).with_lifecycle(Lifecycle::Draining);
            self.changes += 1;
            let change = self.discovery.change(vec![entry])?;
            first.get_or_insert(change);
        }
        first.context("the number of changes must be at least 1")
    }

    /// Waits until all balancers have applied the marked entry. Returns their lags after `change`.
    ///
    /// # Errors
    /// Some balancers do not apply it within [`TIME_LIMIT`].
    pub async fn lags(&self, change: VersionChange) -> Result<ChangeLags> {
        let first = self.first_lists(|list| list.is_marked && list.at > change.at).await?;
        let mut all = Vec::new();
        let mut never_slow = Vec::new();
        for (balancer, applied_at) in first {
            let lag = millis_between(change.at, applied_at);
            all.push(lag);
            if !self.fleet.is_slow(balancer) {
                never_slow.push(lag);
            }
        }
        Ok(ChangeLags { all: Lags::new(all), never_slow: Lags::new(never_slow) })
    }
}
