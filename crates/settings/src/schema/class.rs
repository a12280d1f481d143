//! Request classes and tenants.

use serde::Deserialize;

use super::unit_weight;

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Class {
    /// Name of the class, unique among the classes.
    pub name: String,
    /// Latency objective: a response within this time earns the full weight. In milliseconds.
    #[serde(rename = "TargetMs")]
    pub latency_objective_ms: f64,
    /// Time that a client waits for the final response, in milliseconds.
    pub deadline_ms: f64,
    /// Whether a request may be repeated.
    #[serde(rename = "Effect")]
    pub idempotency: Idempotency,
    /// For requests with an idempotency key, the group of servers that drop repeats of a request that another
    /// of them has received: `all`, `zone` or `cell`; `None` means `all`. The type is a string, so that
    /// validation can report the class of an invalid value.
    #[serde(rename = "Group", default)]
    pub dedup_scope: Option<String>,
    /// For requests with an idempotency key, how long servers drop repeats after the earliest attempt that
    /// may have run, in milliseconds.
    #[serde(default)]
    pub dedup_window_ms: f64,
    /// Fraction of the weight that a response between the objective and the deadline earns.
    #[serde(rename = "LateWorth", default)]
    pub late_weight: f64,
    /// The latency objective of a request grows by this multiple of its hinted work, up to the deadline.
    #[serde(rename = "AimStretch", default)]
    pub objective_per_work: f64,
    /// Whether the response is streamed.
    #[serde(default)]
    pub streaming: bool,
    /// Priority weight of one request, or of one unit of its work (see
    /// [`Setup::weight_basis`](crate::Setup::weight_basis)).
    #[serde(rename = "Value", default = "unit_weight")]
    pub priority_weight: f64,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Deserialize)]
pub enum Idempotency {
    /// The request may be repeated at any server.
    #[serde(rename = "retryable")]
    Idempotent,
    /// The request carries an idempotency key: the servers of a group drop its repeats for a limited time.
    #[serde(rename = "dedup")]
    WithKey,
    /// The request must not run twice.
    #[serde(rename = "fragile")]
    NotIdempotent,
}

/// Unit that the priority weight of a class applies to. An unknown value means the default.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum WeightBasis {
    /// The weight applies to each unit of work of a request.
    Work,
    /// The weight applies to each request.
    #[default]
    #[serde(other)]
    Request,
}

/// A tenant of the service.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Quota of the tenant, in requests per second over all balancers.
    #[serde(rename = "QuotaRps", default)]
    pub quota_per_second: f64,
    /// Share of the service that the tenant is entitled to, from 0 to 1.
    #[serde(default)]
    pub share: f64,
}
