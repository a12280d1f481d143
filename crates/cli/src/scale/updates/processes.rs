//! Measures the lag of updates of balancers that are separate processes.
//!
//! A process has applied a version once its next watch asks for later ones, because it passes each list to its policy
//! before it watches again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use tokio::time::sleep;
use zincstand_testbed::balancer::{Balancer, Settings, stop};
use zincstand_testbed::discovery::{Discovery, Lifecycle, VersionChange};
use zincstand_testbed::machine::ResourceNeeds;

use super::PROGRAM_MB;
use super::lag_slopes::LagSlopes;
use crate::scale::Bench;
use crate::scale::watched_discovery::{
    CHECK_INTERVAL, DRAIN_GRACE, Lags, TIME_LIMIT, entry, list, millis_between,
};

/// Memory limit of a process, in MB.
const PROCESS_MB: u32 = 32;
/// Interval between two changes. It is not a multiple of the wait of a watch, so that changes do not coincide with a
/// fixed phase of it.
const PAUSE: Duration = Duration::from_millis(130);

/// Returns the numbers of processes that are measured.
pub fn sizes(bench: &Bench) -> &'static [usize] {
    if bench.quick { &[5, 10, 15, 20] } else { &[10, 25, 50, 100] }
}

/// Returns the resources that the largest number of processes needs.
pub fn needs(bench: &Bench) -> ResourceNeeds {
    let processes = sizes(bench).iter().copied().max().unwrap_or(0);
    let memory_mb = PROGRAM_MB + u64::from(PROCESS_MB) * processes as u64;
    ResourceNeeds { processes, memory_mb, descriptors: 0 }
}

/// Measures the lag of single changes, for each number of processes.
pub async fn measure(bench: &Bench, upstreams: usize, rounds: u32) -> Result<LagSlopes> {
    let discovery = Discovery::start()?;
    discovery.replace(list(upstreams))?;
    let mut running = Vec::new();
    let mut slopes = LagSlopes::default();
    let mut changes = 0;
    for &processes in sizes(bench) {
        let mut settings = Settings::for_single_balancer(discovery.address());
        settings.balancers = processes as u32;
        settings.memory_mb = PROCESS_MB;
        settings.drain_grace_ms = DRAIN_GRACE.as_millis() as u32;
        while running.len() < processes {
            running.push(Balancer::start(&bench.balancer, &settings).await?);
        }
        let mut lags = Vec::new();
        for _ in 0..rounds {
            sleep(PAUSE).await;
            let change = discovery.change(vec![entry(changes).with_lifecycle(Lifecycle::Draining)])?;
            changes += 1;
            lags.push(lags_of(&discovery, change, processes).await?);
        }
        slopes.add(processes as u32, &lags);
    }
    stop(running).await?;
    Ok(slopes)
}

/// Waits until `watchers` watchers have applied a change. Returns the lag of each.
async fn lags_of(discovery: &Discovery, change: VersionChange, watchers: usize) -> Result<Lags> {
    let give_up_at = Instant::now() + TIME_LIMIT;
    let mut first_by_connection = BTreeMap::new();
    while first_by_connection.len() < watchers {
        for acknowledgement in discovery.take_acknowledgements()? {
            if acknowledgement.version >= change.version {
                first_by_connection.entry(acknowledgement.connection).or_insert(acknowledgement.at);
            }
        }
        if Instant::now() > give_up_at {
            bail!(
                "only {} of {watchers} processes have applied a change within {TIME_LIMIT:?}",
                first_by_connection.len()
            );
        }
        sleep(CHECK_INTERVAL).await;
    }
    let lags = first_by_connection.values().map(|at| millis_between(change.at, *at));
    Ok(Lags::new(lags.collect()))
}
