//! The rate of requests, the behaviour of clients, and the classes and tenants of requests.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// Rate and distribution of first attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean rate, in requests per second.
    pub rate: f64,
    /// Amplitude of the rate, as a share of the mean rate.
    #[serde(rename = "swing", default)]
    pub amplitude: f64,
    /// Course of the rate over time.
    pub shape: LoadShape,
    /// Relative share of each zone in the requests, in the order of the scenario's zones.
    pub zone_shares: Vec<f64>,
    /// Priority weight of requests beyond a tenant's quota, as a share of the weight of their class.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
}

/// Course of the rate over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadShape {
    /// A sine.
    #[serde(rename = "wave")]
    Sine,
    /// High and low phases of a second or two.
    Bursty,
}

/// Behaviour of the clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Largest number of retries of a request.
    pub retries: u32,
    /// Time limit of a client's attempt, as a share of the deadline of its class.
    #[serde(rename = "try_share")]
    pub attempt_timeout_share: f64,
    /// Backoff before the first retry. It doubles with each further retry.
    pub backoff: Span,
    /// Share of the clients that honour `Retry-After`.
    #[serde(rename = "honour")]
    pub retry_after_share: f64,
    /// Share of the attempts that clients cancel early.
    #[serde(rename = "impatient", default)]
    pub early_cancel_share: f64,
}

/// Idempotency of the requests of a class, which decides whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// All requests are idempotent.
    #[serde(rename = "safe")]
    Idempotent,
    /// Requests carry an idempotency key. Servers of the same cell detect duplicates for [`Class::dedup_window`].
    #[serde(rename = "keyed")]
    WithKey,
    /// No request may be repeated that a server may have executed.
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Share of the class in the requests, relative to the other classes.
    pub share: f64,
    /// Mean work of a request, summed over one call of each tier.
    pub work: Span,
    /// Distribution of the work of a request.
    #[serde(rename = "spread")]
    pub distribution: DistributionKind,
    /// Coefficient of variation of the work, which is its standard deviation divided by its mean.
    #[serde(rename = "cv")]
    pub work_cv: f64,
    /// Largest work of a request. Larger draws are cut off.
    #[serde(rename = "most_work")]
    pub max_work: Span,
    /// Coefficient of variation of the work between attempts of one request.
    #[serde(default)]
    pub attempt_noise: f64,
    /// Latency objective. A response within this time earns the full priority weight.
    #[serde(rename = "aim")]
    pub latency_objective: Span,
    /// Time after which clients give up.
    pub deadline: Span,
    /// Priority weight of a request.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the priority weight that a response after the latency objective and before the deadline earns.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Idempotency of the requests.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Time for which servers detect duplicates of requests with an idempotency key.
    #[serde(rename = "repeats_dropped", default)]
    pub dedup_window: Span,
}

/// The distribution of a random quantity, such as the work of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DistributionKind {
    /// Log-normal distribution.
    Lognormal,
    /// Pareto distribution, whose tail is heavier.
    Pareto,
}

/// A tenant of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Share of the service that the tenant is entitled to, relative to the other tenants.
    pub share: f64,
    /// Quota in requests per second. Requests beyond it earn less utility.
    pub quota: f64,
    /// Traffic of the tenant, as a multiple of its share.
    pub usage: f64,
}
