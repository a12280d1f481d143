//! Slow start in a fleet: the work that warming servers receive from all balancers together, compared with the budget
//! that the rules allow.
//!
//! The keys of the JSON result are fixed by stored results: fields whose names differ carry theirs in
//! `#[serde(rename)]`.

mod analysis;
mod scenario;
mod summary;

use serde::{Deserialize, Serialize};

pub use self::analysis::{Measurement, measure};
pub use self::scenario::build_scenario;
pub use self::summary::{Distribution, Row, WarmUp, run};

/// Number of intervals into which the warm-up time is divided for counting traffic.
const BINS_PER_WARM_UP: f64 = 10.0;
/// Number of intervals in which traffic is counted, including some after the warm-up.
const BINS: usize = 16;

/// Reason why servers start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartCause {
    /// Two servers in ten are replaced one after the other.
    Restart,
    /// Six servers in ten are replaced within 7 s.
    Release,
    /// A zone with its servers and balancers is lost for 5 s.
    Zone,
    /// Six servers in ten are replaced while all balancers are killed. The new balancers have not learned any rate.
    Start,
}

impl StartCause {
    /// All causes, in the order of tables.
    pub const ALL: [StartCause; 4] =
        [StartCause::Restart, StartCause::Release, StartCause::Zone, StartCause::Start];

    /// Returns the name of the cause in tables.
    pub fn name(self) -> &'static str {
        match self {
            StartCause::Restart => "restart",
            StartCause::Release => "release",
            StartCause::Zone => "zone",
            StartCause::Start => "start",
        }
    }
}

/// Values that replace rules of the site. `None` keeps the rule of the site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RuleOverrides {
    /// Multiple of its capacity at which a warming server collapses.
    pub overload_factor: Option<f64>,
    /// Share of its capacity with which a server starts.
    #[serde(rename = "cold_from")]
    pub initial_capacity: Option<f64>,
}

/// Numbers of servers that received more than the budget allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[usize; 2]", into = "[usize; 2]")]
pub struct OverloadCount {
    /// All overloaded servers.
    pub total: usize,
    /// Overloaded servers that received most of the work from balancers that had been notified of the start.
    pub informed: usize,
}

impl From<[usize; 2]> for OverloadCount {
    fn from([total, informed]: [usize; 2]) -> OverloadCount {
        OverloadCount { total, informed }
    }
}

impl From<OverloadCount> for [usize; 2] {
    fn from(count: OverloadCount) -> [usize; 2] {
        [count.total, count.informed]
    }
}
