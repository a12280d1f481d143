//! The rules that balancers must keep, and reports of breaches.
//!
//! The names in JSON are fixed by stored results: variants whose names differ carry theirs in `#[serde(rename)]`.

use serde::{Deserialize, Serialize};
use zincstand_policy::Micros;

/// A rule that balancers must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every request gets exactly one final response in time.
    Lost,
    /// A request is repeated only as the idempotency of its class permits.
    Duplicate,
    /// No new request goes to a draining or removed server.
    Drain,
    /// No warming server is overloaded until it collapses.
    #[serde(rename = "cold")]
    WarmUpOverload,
}

/// Report of a breach of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// The broken rule.
    pub rule: Rule,
    /// Time in microseconds since the start of the scenario.
    pub at: Micros,
    /// Index of the tier, and number of the balancer in it.
    pub balancer: (usize, u32),
    /// Index of the server concerned. `None` if the breach concerns none.
    pub server: Option<u32>,
    /// Description of the breach.
    #[serde(rename = "what")]
    pub description: String,
    /// The last events and actions of the balancer before the breach.
    #[serde(rename = "before")]
    pub preceding_events: Vec<String>,
}
