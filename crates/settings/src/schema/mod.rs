//! The schema of the platform's settings.
//!
//! The keys and values are fixed by the platform's wire protocol, section "The settings" (the `Setup` object
//! of the `PowerOn` message). Only the serde attributes of this module map them to the names in the code.
//! Unknown keys are ignored, since the platform adds keys without notice.

mod class;
mod endpoints;
mod goal;
mod limits;
mod traits;

use std::collections::BTreeMap;

use serde::Deserialize;

pub use class::{Class, Idempotency, Tenant, WeightBasis};
pub use endpoints::{DiscoveryMode, LoadReporting, LoadReports, ServerWeights};
pub use goal::GoalWeights;
pub use limits::{Limits, Rules};
pub use traits::{ClientBehavior, ServiceTraits};

/// Returns 1, the default of a weight or size that the platform leaves out.
pub fn unit_weight() -> f64 {
    1.0
}

/// The settings of one balancer.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Setup {
    /// Names of all zones. Empty if the deployment has no zones.
    #[serde(rename = "Areas")]
    pub zones: Vec<String>,
    /// Index of this balancer among those of its tier, from 0.
    #[serde(rename = "Me", default)]
    pub balancer_index: u32,
    /// Number of balancers of this tier.
    #[serde(rename = "Balancers")]
    pub balancer_count: u32,
    /// The request classes.
    #[serde(rename = "Categories")]
    pub classes: Vec<Class>,
    /// Behavior of the clients.
    #[serde(rename = "ClientHabits", default)]
    pub client_behavior: ClientBehavior,
    /// How the balancer receives the endpoint list.
    pub discovery: DiscoveryMode,
    /// Properties of the service.
    #[serde(rename = "Extra", default)]
    pub service_traits: ServiceTraits,
    /// Weights of the components of the score by which the platform rates the service.
    #[serde(default)]
    pub goal: GoalWeights,
    /// Resolution of event times: the shortest time between two different ones, in milliseconds.
    #[serde(rename = "GranularityMs")]
    pub tick_ms: f64,
    /// Limits and permissions of the deployment.
    pub limits: Limits,
    /// Priority weight of a request beyond the quota of its tenant, as a fraction of the weight of its class.
    #[serde(rename = "OverShareWorth", default = "unit_weight")]
    pub over_quota_weight: f64,
    /// Tenants of the service. Empty if it is not shared.
    #[serde(rename = "Realms", default)]
    pub tenants: Vec<Tenant>,
    /// Parameters of the safety rules.
    pub rules: Rules,
    /// Index in `tiers` of the tier that this balancer sends to.
    #[serde(rename = "Stage", default)]
    pub tier_index: u32,
    /// How upstreams report their load.
    #[serde(rename = "Stats", default)]
    pub load_reports: LoadReports,
    /// Price of each kind of cost, in points of the score, by the platform's name for the cost.
    #[serde(rename = "Tariffs", default)]
    pub prices: BTreeMap<String, f64>,
    /// Names of the tiers, from the first. Empty if there is only one tier.
    #[serde(default)]
    pub tiers: Vec<String>,
    /// Meaning of the weights in the endpoint list.
    #[serde(rename = "Weights", default)]
    pub server_weights: ServerWeights,
    /// Unit that the priority weight of a class applies to.
    #[serde(rename = "WorthBy", default)]
    pub weight_basis: WeightBasis,
    /// Name of the zone of this balancer.
    pub zone: String,
}
