//! Limits of the balancers, the rules that they must keep, and the weights of the result.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// Features that the balancers may use, and their bounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest number of attempts of a request.
    pub max_attempts: u32,
    /// Largest number of open requests of a balancer.
    #[serde(rename = "max_open")]
    pub max_open_requests: u32,
    /// Whether requests may be hedged, that is, have two attempts in flight at the same time.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Whether servers answer health checks.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Whether rejections may carry `Retry-After`.
    pub retry_after: bool,
    /// Longest `Retry-After` that clients honour.
    pub max_retry_after: Span,
}

/// Parameters of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Time for which a balancer may still send new requests to a server after the notification that it drains.
    pub drain_grace: Span,
    /// Time after the deadline within which a final response still counts as in time.
    #[serde(rename = "answer_grace")]
    pub response_grace: Span,
    /// A warming server collapses if it receives more than this multiple of its capacity within
    /// [`overload_window`](Rules::overload_window).
    pub overload_factor: f64,
    /// Time over which the work of a warming server is summed.
    #[serde(rename = "tip_after")]
    pub overload_window: Span,
    /// Longest interval between two polls of discovery by a balancer.
    #[serde(rename = "ask_within")]
    pub poll_within: Span,
}

/// Weights of the parts of the result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// Share of utility over the scenario.
    #[serde(rename = "whole")]
    pub total: f64,
    /// Share of utility of the worst ten seconds.
    pub worst_window: f64,
    /// Share of utility of the worst-served class.
    pub worst_class: f64,
    /// Share of utility of the worst-served tenant.
    pub worst_tenant: f64,
}

/// Prices: the points that are subtracted from the result for each unit of a share or rate.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Price of work that led to no response, by its share of the work that requests need.
    pub waste: f64,
    /// Price of attempts to another zone, by their number for each request of a client.
    pub cross_zone: f64,
    /// Price of failures after the latency objective, by their share of the utility offered.
    pub late_fail: f64,
    /// Price of health checks, by their number for each request of a client.
    #[serde(rename = "probe")]
    pub health_check: f64,
    /// Price of new connections, by their number for each request of a client.
    pub handshake: f64,
    /// Price of choked servers, by their share of all servers.
    pub choke: f64,
}
