//! The endpoint list: how it is received, the weights of its servers, and their load reports.

use serde::Deserialize;

/// How a balancer receives the endpoint list.
#[derive(Clone, Copy, Deserialize)]
pub enum DiscoveryMode {
    /// Discovery pushes changes without a subscription.
    #[serde(rename = "automatic")]
    Push,
    /// Discovery sends the list only to a balancer that subscribes or polls.
    #[serde(rename = "subscribe")]
    Poll,
}

/// Meaning of the weights in the endpoint list. An unknown value means [`None`](ServerWeights::None).
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerWeights {
    /// The registered size of the server.
    Nominal,
    /// An estimate of the size of the server.
    Rough,
    /// The size of the server, divided by one plus the requests per core at its last measurement.
    Live,
    /// All weights are 1.
    #[default]
    #[serde(other)]
    None,
}

/// How upstreams report their load.
#[derive(Default, Deserialize)]
pub struct LoadReports {
    /// Which messages carry the reports.
    #[serde(rename = "How", default)]
    pub mode: LoadReporting,
}

/// Messages that carry load reports. An unknown value means [`None`](LoadReporting::None).
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReporting {
    /// Responses and the results of health checks.
    #[serde(rename = "answers")]
    Responses,
    /// The results of health checks only.
    #[serde(rename = "probe")]
    HealthChecks,
    /// Upstreams report no load.
    #[default]
    #[serde(other)]
    None,
}
