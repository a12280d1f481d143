//! Limits of the deployment, and the parameters of its safety rules.

use serde::Deserialize;

/// Limits and permissions of the deployment.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(clippy::struct_excessive_bools, reason = "independent permissions, one key each on the wire")]
pub struct Limits {
    /// Attempts may be cancelled.
    #[serde(default)]
    pub cancel: bool,
    /// Health checks may be sent.
    #[serde(rename = "Probing", default)]
    pub health_checks: bool,
    /// Two attempts of a request may be in flight at once.
    #[serde(rename = "SecondCopies", default)]
    pub hedging: bool,
    /// Clients receive the Retry-After of a rejection.
    #[serde(default)]
    pub retry_after: bool,
    /// Longest Retry-After that clients follow, in milliseconds.
    #[serde(default)]
    pub max_retry_after_ms: f64,
    /// Maximum number of attempts for one request, the first included.
    #[serde(rename = "MostTries")]
    pub max_attempts: u32,
    /// Time within which a connection must be established, or else the attempt fails, in milliseconds; 0 if
    /// unknown.
    #[serde(default)]
    pub connect_timeout_ms: f64,
    /// Processor time of the balancer for a request and the outcomes of its attempts, in microseconds; 0 for
    /// no limit.
    #[serde(rename = "CpuUsPerRequest", default)]
    pub cpu_micros_per_request: f64,
    /// Processor time of the balancer, in microseconds per second; 0 for no limit.
    #[serde(rename = "CpuUsPerS", default)]
    pub cpu_micros_per_second: f64,
    /// Time after which an idle connection is closed, in milliseconds; 0 if unknown.
    #[serde(rename = "IdleCloseMs", default)]
    pub idle_timeout_ms: f64,
    /// Maximum number of requests without a final response; 0 for no limit.
    #[serde(rename = "MaxOpen", default)]
    pub max_open_requests: u32,
    /// Maximum number of concurrent attempts on one connection; 0 if unknown.
    #[serde(default)]
    pub max_streams: u32,
}

/// Parameters of the safety rules.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Rules {
    /// Fraction of its full capacity that a server has when it starts.
    #[serde(rename = "ColdFrom")]
    pub initial_capacity: f64,
    /// Time that a server takes from its start to its full capacity, in milliseconds.
    #[serde(rename = "WarmAfterMs")]
    pub warm_up_time_ms: f64,
    /// A server that is warming up fails if it receives more than this multiple of its current capacity for
    /// [`overload_window_ms`](Rules::overload_window_ms).
    pub overload_factor: f64,
    /// Time for which a server that is warming up withstands an overload, in milliseconds.
    #[serde(rename = "TipAfterMs")]
    pub overload_window_ms: f64,
    /// Longest time between two polls of discovery without a subscription, in milliseconds.
    #[serde(rename = "AskWithinMs", default)]
    pub max_poll_interval_ms: f64,
    /// Time that a balancer has to stop sending requests to a server after the server was announced as
    /// draining, in milliseconds.
    #[serde(default)]
    pub drain_grace_ms: f64,
    /// Time after the client's deadline within which a final response still counts, in milliseconds.
    #[serde(rename = "GraceToAnswerMs", default)]
    pub response_grace_ms: f64,
}
