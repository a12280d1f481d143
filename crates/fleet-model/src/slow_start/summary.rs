//! Summary of the scenarios of one cause and number of balancers over many seeds.
//!
//! The keys of the JSON result are fixed by stored results: fields whose names differ carry theirs in
//! `#[serde(rename)]`.

use rayon::prelude::*;
use serde::{Deserialize, Serialize};

use super::{
    BINS, BINS_PER_WARM_UP, Measurement, OverloadCount, RuleOverrides, StartCause, build_scenario, measure,
};
use crate::policy::Kind;
use crate::scenario::ScenarioError;

/// First interval that counts as after the warm-up. The traffic of a warm server is the mean from there on.
const WARM_BIN: usize = 12;
/// Share of the traffic of a warm server from which a server counts as warm.
const WARM_TRAFFIC_SHARE: f64 = 0.9;

/// Distribution of a value over the scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 3]", into = "[f64; 3]")]
pub struct Distribution {
    /// Mean value.
    pub mean: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

impl From<[f64; 3]> for Distribution {
    fn from([mean, p99, max]: [f64; 3]) -> Distribution {
        Distribution { mean, p99, max }
    }
}

impl From<Distribution> for [f64; 3] {
    fn from(distribution: Distribution) -> [f64; 3] {
        [distribution.mean, distribution.p99, distribution.max]
    }
}

impl Distribution {
    /// Computes the distribution of the finite values. It is all zeros if there is none.
    fn of(values: impl Iterator<Item = f64>) -> Distribution {
        let mut values: Vec<f64> = values.filter(|value| value.is_finite()).collect();
        values.sort_by(f64::total_cmp);
        let last = values.len().max(1) - 1;
        let quantile = |level: f64| {
            let index = (values.len() as f64 * level) as usize;
            values.get(index.min(last)).copied().unwrap_or(0.0)
        };
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        Distribution { mean, p99: quantile(0.99), max: quantile(1.0) }
    }
}

/// Time after which a server receives nine tenths of the traffic that it receives once warm.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 2]", into = "[f64; 2]")]
pub struct WarmUp {
    /// Time as a multiple of the warm-up time.
    pub warm_up_times: f64,
    /// Time in seconds.
    pub seconds: f64,
}

impl From<[f64; 2]> for WarmUp {
    fn from([warm_up_times, seconds]: [f64; 2]) -> WarmUp {
        WarmUp { warm_up_times, seconds }
    }
}

impl From<WarmUp> for [f64; 2] {
    fn from(warm_up: WarmUp) -> [f64; 2] {
        [warm_up.warm_up_times, warm_up.seconds]
    }
}

/// Result of all scenarios of a cause and a number of balancers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Reason why servers started.
    #[serde(rename = "shape")]
    pub cause: StartCause,
    /// Number of balancers.
    pub balancers: u32,
    /// Number of scenarios.
    #[serde(rename = "days")]
    pub scenarios: usize,
    /// Number of starts of servers over all scenarios.
    pub starts: usize,
    /// Requests beyond the budget N at the most overloaded server of a scenario, in square roots of N.
    pub excess: Distribution,
    /// `excess` over the windows in which more than two thirds of the requests came from balancers notified of the
    /// start.
    #[serde(rename = "excess_told")]
    pub informed_excess: Distribution,
    /// `excess` in work, over the windows in which more than two thirds of the work came from balancers notified of
    /// the start.
    #[serde(rename = "excess_work")]
    pub informed_excess_work: Distribution,
    /// Servers overloaded by count of requests.
    #[serde(rename = "fallen")]
    pub overloaded: OverloadCount,
    /// Servers overloaded by work.
    #[serde(rename = "fallen_work")]
    pub overloaded_by_work: OverloadCount,
    /// Mean traffic of a server by tenths of the warm-up time, as a multiple of an even share.
    #[serde(rename = "share")]
    pub traffic_shares: Vec<f64>,
    /// Time until a server receives nine tenths of the traffic of a warm server.
    #[serde(rename = "warm")]
    pub warm_up: WarmUp,
    /// Mean score of the scenarios.
    #[serde(rename = "g")]
    pub score: f64,
}

/// Runs the scenarios of a cause and a number of balancers with the seeds from 1 to `seeds` on all cores. Calls `done`
/// after each scenario.
///
/// # Errors
///
/// The rules contradict themselves.
pub fn run(
    cause: StartCause,
    balancers: u32,
    seeds: u64,
    rules: RuleOverrides,
    done: impl Fn() + Sync,
) -> Result<Row, ScenarioError> {
    let run_seed = |seed: u64| {
        let measurement = measure(&build_scenario(cause, balancers, seed, rules)?, Kind::Module)?;
        done();
        Ok(measurement)
    };
    let seeds: Vec<u64> = (1..=seeds).collect();
    let scenarios: Result<Vec<Measurement>, ScenarioError> =
        seeds.into_par_iter().with_max_len(1).map(run_seed).collect();
    Ok(summarize(cause, balancers, &scenarios?))
}

fn summarize(cause: StartCause, balancers: u32, scenarios: &[Measurement]) -> Row {
    let mean = |value: &dyn Fn(&Measurement) -> f64| {
        scenarios.iter().map(value).sum::<f64>() / scenarios.len().max(1) as f64
    };
    let total = |count: fn(&Measurement) -> OverloadCount| OverloadCount {
        total: scenarios.iter().map(|scenario| count(scenario).total).sum(),
        informed: scenarios.iter().map(|scenario| count(scenario).informed).sum(),
    };
    let traffic_shares: Vec<f64> =
        (0..BINS).map(|bin| mean(&|scenario| scenario.traffic_shares[bin])).collect();
    let warm_up_times = time_until_warm(&traffic_shares);
    Row {
        cause,
        balancers,
        scenarios: scenarios.len(),
        starts: scenarios.iter().map(|scenario| scenario.starts).sum(),
        excess: Distribution::of(scenarios.iter().map(|scenario| scenario.excess)),
        informed_excess: Distribution::of(scenarios.iter().map(|scenario| scenario.informed_excess)),
        informed_excess_work: Distribution::of(
            scenarios.iter().map(|scenario| scenario.informed_excess_work),
        ),
        overloaded: total(|scenario| scenario.overloaded),
        overloaded_by_work: total(|scenario| scenario.overloaded_by_work),
        warm_up: WarmUp { warm_up_times, seconds: warm_up_times * mean(&|scenario| scenario.warm_up_time) },
        traffic_shares,
        score: mean(&|scenario| scenario.score),
    }
}

/// Returns the time after which the traffic of a server stays close to that of a warm server, in warm-up times.
fn time_until_warm(traffic_shares: &[f64]) -> f64 {
    let warm = traffic_shares[WARM_BIN..].iter().sum::<f64>() / (BINS - WARM_BIN) as f64;
    let last_below = traffic_shares[..WARM_BIN].iter().rposition(|share| *share < WARM_TRAFFIC_SHARE * warm);
    let first_warm_bin = last_below.map_or(0, |bin| bin + 1);
    first_warm_bin as f64 / BINS_PER_WARM_UP
}
