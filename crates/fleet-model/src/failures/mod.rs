//! Failures of a large fleet with as many balancers as servers: the goodput that each costs and the discovery traffic
//! that it causes.
//!
//! The keys of the JSON result are fixed by stored results: fields whose names differ carry theirs in
//! `#[serde(rename)]`.

mod measure;
mod scenario;

use serde::{Deserialize, Serialize};

use self::measure::measure;
use crate::depth::{Fit, Point};
use crate::scenario::ScenarioError;
use crate::scoring::Rule;

pub use self::scenario::build_scenario;

/// Calls per second to one balancer of the planned fleet.
const PLANNED_RATE: f64 = 225.0;
/// Length of a scenario that measures only the cost of events, in seconds.
const COST_SCENARIO_SECONDS: f64 = 4.0;
/// Calls per second of the fleet of such a scenario. It does not depend on the size of the
/// fleet, so that all these scenarios have about as many events.
const COST_SCENARIO_RATE: f64 = 8_000.0;
/// Start of a failure, as a share of the length of the scenario.
const START_SHARE: f64 = 0.2;
/// End of a failure, as a share of the length of the scenario.
const END_SHARE: f64 = 0.45;
/// Smallest duration that is used as a divisor, in seconds.
const MIN_DIVISOR_SECONDS: f64 = 1e-9;

/// A failure of a part of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// No failure.
    None,
    /// A zone's servers and balancers vanish at once, come back and warm up.
    Zone,
    /// Twenty servers of a zone and their balancers vanish at once, come back and warm up.
    Rack,
    /// Eight machines vanish one after the other, come back and warm up; 110 servers and balancers restart.
    #[serde(rename = "day")]
    OrdinaryDay,
    /// A partition separates a region from the others for a while.
    Region,
}

impl Failure {
    /// All failures, in the order of tables.
    pub const ALL: [Failure; 5] =
        [Failure::None, Failure::Rack, Failure::OrdinaryDay, Failure::Zone, Failure::Region];

    /// Returns the name of the failure in tables.
    pub fn name(self) -> &'static str {
        match self {
            Failure::None => "none",
            Failure::Zone => "zone",
            Failure::Rack => "rack",
            Failure::OrdinaryDay => "8 + 110 in a minute",
            Failure::Region => "region cut off",
        }
    }
}

/// The fleet and the failures to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Parameters {
    /// Number of servers, and of balancers.
    pub servers: u32,
    /// Number of zones. They are divided among four regions.
    pub zones: u32,
    /// Calls per second to one balancer.
    pub rate: f64,
    /// Length of a scenario in seconds.
    pub seconds: f64,
    /// Failures to run, one scenario each.
    pub failures: Vec<Failure>,
}

impl Default for Parameters {
    fn default() -> Parameters {
        Parameters { servers: 2_000, zones: 14, rate: 4.5, seconds: 60.0, failures: Failure::ALL.to_vec() }
    }
}

impl Parameters {
    /// Returns the parameters of a tenth of the fleet. Its scenarios run in about a minute.
    pub fn quick() -> Parameters {
        Parameters { servers: 200, ..Parameters::default() }
    }

    fn servers_per_zone(&self) -> u32 {
        self.servers.div_ceil(self.zones.max(1)).max(1)
    }

    /// Returns the factor by which the rate is below the planned one. The work of a call is multiplied by it, so that
    /// servers are as busy as planned.
    pub fn work_factor(&self) -> f64 {
        PLANNED_RATE / self.rate
    }

    /// Returns the start and end of the failure, in whole seconds of the scenario.
    fn failure_span(&self) -> FailureSpan {
        FailureSpan { start: (self.seconds * START_SHARE).floor(), end: (self.seconds * END_SHARE).floor() }
    }
}

/// Start and end of a failure, in seconds of the scenario.
#[derive(Clone, Copy, Debug)]
struct FailureSpan {
    start: f64,
    end: f64,
}

/// Traffic of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 2]", into = "[u64; 2]")]
pub struct DiscoveryTotal {
    /// Number of lists and changes sent.
    pub messages: u64,
    /// Number of entries in them.
    pub entries: u64,
}

impl From<[u64; 2]> for DiscoveryTotal {
    fn from([messages, entries]: [u64; 2]) -> DiscoveryTotal {
        DiscoveryTotal { messages, entries }
    }
}

impl From<DiscoveryTotal> for [u64; 2] {
    fn from(total: DiscoveryTotal) -> [u64; 2] {
        [total.messages, total.entries]
    }
}

/// Cost of a failure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The failure.
    pub failure: Failure,
    /// Number of servers, and of balancers.
    pub servers: u32,
    /// Number of first attempts of clients.
    pub calls: u64,
    /// Share of the calls answered within the latency objective, before the failure.
    #[serde(rename = "before")]
    pub goodput_before: f64,
    /// Lowest goodput of a second after the start of the failure.
    #[serde(rename = "dip")]
    pub lowest_goodput: f64,
    /// Second of the scenario in which the goodput was lowest.
    #[serde(rename = "dip_at")]
    pub lowest_at: usize,
    /// Seconds from the failure until three consecutive seconds reach nine tenths of the goodput before it.
    /// `None` if they never do.
    pub recovered: Option<f64>,
    /// Seconds from the end of the failure until three consecutive seconds reach that goodput. `None` if they never do.
    pub recovered_after_end: Option<f64>,
    /// Number of servers that collapsed while warming up.
    #[serde(rename = "fallen")]
    pub collapsed: usize,
    /// Number of broken rules.
    pub broken: u64,
    /// Rules that the first recorded breaches broke.
    #[serde(rename = "rules")]
    pub broken_rules: Vec<Rule>,
    /// Number of lists and changes that discovery sent in the busiest second after the start of the failure.
    pub messages: u64,
    /// Number of entries that discovery sent in that second.
    pub entries: u64,
    /// Estimated size of these entries in bytes.
    pub bytes: u64,
    /// Messages and entries that discovery sent after the start of the failure.
    #[serde(rename = "all")]
    pub discovery_total: DiscoveryTotal,
    /// Number of events of the scenario.
    pub events: u64,
    /// Wall-clock time that the scenario took, in seconds.
    pub seconds: f64,
    /// Part of this time that the decision module took, in seconds.
    pub module_seconds: f64,
    /// Number of calls of `handle` of the decision module.
    #[serde(rename = "handled")]
    pub module_calls: u64,
}

/// Computing time of a scenario, by the number of servers that each balancer knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Number of servers, and of balancers.
    pub servers: u32,
    /// Number of events of the scenario.
    pub events: u64,
    /// Time that the simulated world takes for an event, in nanoseconds.
    pub world_ns: f64,
    /// Time that the decision module takes for a call of `handle`, in nanoseconds.
    pub module_ns: f64,
    /// Share of the decision module in the computing time.
    pub module_share: f64,
}

impl Cost {
    fn of(row: &Row) -> Cost {
        let world_seconds = (row.seconds - row.module_seconds).max(0.0);
        Cost {
            servers: row.servers,
            events: row.events,
            world_ns: world_seconds * 1e9 / row.events.max(1) as f64,
            module_ns: row.module_seconds * 1e9 / row.module_calls.max(1) as f64,
            module_share: row.module_seconds / row.seconds.max(MIN_DIVISOR_SECONDS),
        }
    }
}

/// Result of [`run`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailuresResult {
    /// The seed.
    pub seed: u64,
    /// The fleet and the failures that were run.
    #[serde(rename = "sizes")]
    pub parameters: Parameters,
    /// Factor by which the rate was below the planned one, and by which the work of a call was multiplied.
    #[serde(rename = "scaled")]
    pub work_factor: f64,
    /// One row for each failure.
    pub rows: Vec<Row>,
    /// One entry for each of the numbers of servers at which the cost of events was measured.
    pub costs: Vec<Cost>,
    /// Line through the time of the decision module for a call, in nanoseconds, by the number of servers.
    #[serde(rename = "module")]
    pub module_time: Fit,
    /// Line through the time of the world for an event, in nanoseconds, by the number of servers.
    #[serde(rename = "world")]
    pub world_time: Fit,
}

/// Runs a short scenario for each number of servers in `server_counts`, and then the failures. Calls `done` after each
/// scenario. All scenarios run in the calling thread, so that their times are those of a single core.
///
/// # Errors
///
/// The parameters require a scenario that cannot be run.
pub fn run(
    seed: u64,
    parameters: &Parameters,
    server_counts: &[u32],
    done: impl Fn(),
) -> Result<FailuresResult, ScenarioError> {
    let mut costs = Vec::new();
    for &servers in server_counts {
        let cost_parameters = Parameters {
            servers,
            zones: parameters.zones.min(servers),
            rate: (COST_SCENARIO_RATE / f64::from(servers)).clamp(parameters.rate, PLANNED_RATE),
            seconds: COST_SCENARIO_SECONDS,
            failures: Vec::new(),
        };
        let cost = Cost::of(&measure(seed, &cost_parameters, Failure::None)?);
        costs.push(Cost { servers, ..cost });
        done();
    }
    let mut rows = Vec::new();
    for &failure in &parameters.failures {
        rows.push(measure(seed, parameters, failure)?);
        done();
    }
    let fit = |value: fn(&Cost) -> f64| {
        let point = |cost: &Cost| Point { x: f64::from(cost.servers), y: value(cost) };
        let points: Vec<Point> = costs.iter().map(point).collect();
        Fit::of(&points)
    };
    Ok(FailuresResult {
        seed,
        parameters: parameters.clone(),
        work_factor: parameters.work_factor(),
        rows,
        module_time: fit(|cost| cost.module_ns),
        world_time: fit(|cost| cost.world_ns),
        costs,
    })
}
