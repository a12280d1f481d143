//! Measures the lag of updates in balancers that run as separate processes.
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

use super::MEASURING_PROCESS_MB;
use super::lag_slopes::LagSlopes;
use crate::scale::Parameters;
use crate::scale::watched_discovery::{
    CHECK_INTERVAL, DRAIN_GRACE, Lags, TIME_LIMIT, entry, list, millis_between,
};

/// Memory limit of a balancer's process, in MB.
const PROCESS_MEMORY_LIMIT_MB: u32 = 32;
/// Pause before a change. It is not a multiple of the time that a watch waits, so that the changes do not occur at a
/// fixed phase of the watch.
const PAUSE_BEFORE_CHANGE: Duration = Duration::from_millis(130);

/// Returns the numbers of processes that are measured.
pub fn process_counts(parameters: &Parameters) -> &'static [usize] {
    if parameters.quick { &[5, 10, 15, 20] } else { &[10, 25, 50, 100] }
}

/// Returns the resources that the largest number of processes needs.
pub fn needs(parameters: &Parameters) -> ResourceNeeds {
    let processes = process_counts(parameters).iter().copied().max().unwrap_or(0);
    let memory_mb = MEASURING_PROCESS_MB + u64::from(PROCESS_MEMORY_LIMIT_MB) * processes as u64;
    ResourceNeeds { processes, memory_mb, descriptors: 0 }
}

/// Measures the lag of single changes, for each number of processes.
pub async fn measure(parameters: &Parameters, upstreams: usize, rounds: u32) -> Result<LagSlopes> {
    let discovery = Discovery::start()?;
    discovery.replace(list(upstreams))?;
    let mut balancers = Vec::new();
    let mut slopes = LagSlopes::default();
    let mut changes = 0;
    for &processes in process_counts(parameters) {
        let mut settings = Settings::for_single_balancer(discovery.address());
        settings.balancers = processes as u32;
        settings.memory_mb = PROCESS_MEMORY_LIMIT_MB;
        settings.drain_grace_ms = DRAIN_GRACE.as_millis() as u32;
        while balancers.len() < processes {
            balancers.push(Balancer::start(&parameters.balancer, &settings).await?);
        }
        let mut lags = Vec::new();
        for _ in 0..rounds {
            sleep(PAUSE_BEFORE_CHANGE).await;
            let change = discovery.change(vec![entry(changes).with_lifecycle(Lifecycle::Draining)])?;
            changes += 1;
            lags.push(lags_of(&discovery, change, processes).await?);
        }
        slopes.add(processes as u32, &lags);
    }
    stop(balancers).await?;
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
