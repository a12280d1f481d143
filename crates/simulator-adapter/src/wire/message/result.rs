//! Messages about the results of attempts and health checks.

use std::borrow::Cow;

use serde::Deserialize;

/// The end of an attempt (`Resolved`).
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct AttemptEnded<'a> {
    /// Id of the balancer that sent the attempt.
    pub balancer_id: u64,
    /// Id of the request on the wire.
    #[serde(rename = "Rid", borrow)]
    pub wire_id: Cow<'a, str>,
    /// Number of the attempt, from 0.
    #[serde(rename = "Trial")]
    pub attempt: u32,
    /// Address of the upstream.
    #[serde(borrow)]
    pub upstream: Cow<'a, str>,
    /// How the attempt ended.
    #[serde(rename = "Disposition")]
    pub outcome: Outcome,
    /// Time since the attempt was sent, in milliseconds.
    pub time_taken_ms: f64,
    /// Whether the request has its final answer, from this outcome or an earlier one.
    #[serde(rename = "Final", default)]
    pub is_final: bool,
    /// Load report of the upstream, `None` if it sent none.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// The end of a health check (`Echo`).
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HealthChecked<'a> {
    /// Id of the balancer that sent the health check.
    pub balancer_id: u64,
    /// Address of the upstream.
    #[serde(borrow)]
    pub upstream: Cow<'a, str>,
    /// How the health check ended.
    #[serde(rename = "Disposition")]
    pub outcome: Outcome,
    /// Time since the health check was sent, in milliseconds.
    pub time_taken_ms: f64,
    /// Load report of the upstream, `None` if it sent none.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Deserialize)]
pub enum Outcome {
    /// The upstream served the request.
    #[serde(rename = "S")]
    Served,
    /// The upstream responded with an error.
    #[serde(rename = "E")]
    Error,
    /// The upstream rejected the request, which did not run.
    #[serde(rename = "F")]
    Rejected,
    /// There was no response within the limit.
    #[serde(rename = "T")]
    TimedOut,
    /// No connection could be established, and the request did not run.
    #[serde(rename = "C")]
    ConnectFailed,
    /// The connection was reset while the attempt was in flight.
    #[serde(rename = "R")]
    Reset,
    /// The balancer cancelled the attempt.
    #[serde(rename = "X")]
    Cancelled,
    /// The attempt was never sent.
    #[serde(rename = "N")]
    NotSent,
}

/// Load report of an upstream. A value that it does not report is `None`.
#[derive(Clone, Copy, Deserialize)]
pub struct LoadReport {
    /// Number of requests in flight.
    #[serde(rename = "outstanding")]
    pub in_flight: Option<f64>,
    /// Number of queued requests.
    #[serde(rename = "backlog")]
    pub queued: Option<f64>,
    /// Share of its processor capacity in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Recent latency of a request, in milliseconds.
    #[serde(rename = "recent_ms")]
    pub latency_ms: Option<f64>,
    /// Errors per second.
    #[serde(rename = "errors_per_s")]
    pub errors_per_second: Option<f64>,
}
