//! What balancers may do, the rules they must keep, and how the result is weighted.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// What balancers may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// Requests that one has open.
    pub max_open: u32,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Probes are answered.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// Longest wait that they heed.
    pub max_retry_after: Span,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Nothing new goes to a draining server later than this after the news.
    pub drain_grace: Span,
    /// A final answer counts so long after the deadline.
    pub answer_grace: Span,
    /// A cold server that is sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... for this span falls over.
    pub tip_after: Span,
    /// Where discovery must be asked, at least this often.
    pub ask_within: Span,
}

/// Weights of the result's parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// The day as a whole.
    pub whole: f64,
    /// Its worst ten seconds.
    pub worst_window: f64,
    /// Its worst-served class.
    pub worst_class: f64,
    /// Its worst-served tenant.
    pub worst_tenant: f64,
}

/// Points of the result, for a share or rate of one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Work that no answer came of, beside the work asked for.
    pub waste: f64,
    /// Attempts that cross zones, a first try.
    pub cross_zone: f64,
    /// Worth that failed only after its aim.
    pub late_fail: f64,
    /// Probes, a first try.
    pub probe: f64,
    /// New connections, a first try.
    pub handshake: f64,
    /// Servers that turned slow from crowding.
    pub choke: f64,
}
