//! The result of a scenario and its details, second by second. Their keys are those of the JSON
//! output, which stored results fix: fields whose names differ carry the key in `#[serde(rename)]`.

use serde::{Deserialize, Serialize};

use super::{Breach, Cause, NotificationCount, TierCount};

/// Numbers of requests by their end, for one second of arrival or a whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Requests answered within the latency objective.
    pub served: u32,
    /// Requests answered after the latency objective.
    pub late: u32,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Requests that failed.
    pub failed: u32,
}

/// Utility lost to one cause at one server in one second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loss {
    /// Cause of the loss.
    pub cause: Cause,
    /// Index of the server. `None` if the loss is not attributed to a server.
    pub server: Option<u32>,
    /// Second in which the requests arrived.
    pub second: usize,
    /// Utility lost, as a share of the utility offered in the scenario.
    #[serde(rename = "worth")]
    pub utility: f64,
}

/// Result of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// Weighted shares of utility minus the prices. At most 1, and negative if the prices outweigh the utility.
    pub g: f64,
    /// The result that counts: `g`, or zero if a rule was broken or `g` is negative.
    pub counted: f64,
    /// Share of utility over the scenario.
    #[serde(rename = "whole")]
    pub total: f64,
    /// Share of utility of the worst ten seconds.
    pub worst_window: f64,
    /// Second in which the worst ten seconds began.
    #[serde(rename = "worst_at")]
    pub worst_window_start: usize,
    /// Share of utility of the worst-served class.
    pub worst_class: f64,
    /// Share of utility of the worst-served tenant, of its requests within the quota.
    pub worst_tenant: f64,
    /// Points subtracted by prices.
    pub prices: f64,
    /// Number of first attempts of clients.
    pub requests: u64,
    /// Ends of the requests.
    pub ends: Second,
    /// Number of attempts of all balancers.
    pub attempts: u64,
    /// Number of retries of clients.
    pub client_retries: u64,
    /// Share of the work that contributed to no response.
    #[serde(rename = "waste")]
    pub wasted_share: f64,
    /// Number of servers that choked at least once.
    pub choked: usize,
    /// Number of servers that collapsed while warming up.
    #[serde(rename = "fallen")]
    pub collapsed: usize,
    /// Number of breaches of the rules.
    #[serde(rename = "broken")]
    pub breach_count: u64,
    /// Number of simulated events.
    pub events: u64,
    /// Reports of the first breaches.
    pub breaches: Vec<Breach>,
}

/// Details of a result: values by second, and the causes of lost utility.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Detail {
    /// Ends of requests by second of arrival.
    pub seconds: Vec<Second>,
    /// Losses of utility, the largest first.
    pub losses: Vec<Loss>,
    /// Samples of all servers by second. Empty in a run without details.
    pub servers: Vec<Vec<Sample>>,
    /// Load of each tier by second of arrival of the first attempt.
    pub tiers: Vec<Vec<TierCount>>,
    /// Work of the answered requests by second of arrival, in microseconds, before the factors of the tiers.
    pub served_work: Vec<f64>,
    /// Load of discovery by second.
    pub discovery: Vec<NotificationCount>,
}

/// State of a server in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Index of the tier.
    pub tier: usize,
    /// Requests at the server, running or queued.
    #[serde(rename = "held")]
    pub in_flight: u32,
    /// Whether the process runs and answers.
    pub up: bool,
    /// Whether the server is choked.
    pub choked: bool,
    /// Capacity of the server as a share of its full capacity.
    #[serde(rename = "share")]
    pub capacity_share: f64,
    /// Number of balancers whose circuit breaker for the server is open.
    #[serde(rename = "open")]
    pub open_breakers: u32,
    /// Concurrency limit of the server's zone in slots for each server, summed over the balancers.
    #[serde(rename = "window")]
    pub concurrency_limit: f64,
    /// Mean latency of the attempts answered since the previous sample, in microseconds. 0 without such attempts.
    pub latency: f64,
}
