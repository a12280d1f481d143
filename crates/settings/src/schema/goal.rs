//! Weights of the components of the score by which the platform rates the service.

use serde::Deserialize;

/// Weights of the components of the score by which the platform rates the service, as fractions of the score.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct GoalWeights {
    /// Largest fraction of the requests that may miss their objective for `tail` to be earned.
    pub tail_miss: f64,
    /// Weight of the component that is earned if nearly all requests meet their objective (see `tail_miss`).
    #[serde(rename = "TailPart")]
    pub tail: f64,
    /// Weight of the share of utility over all requests.
    #[serde(rename = "Whole")]
    pub overall: f64,
    /// Weight of the share of utility of the worst-served class.
    pub worst_class: f64,
    /// Weight of the share of utility of the worst-served tenant, within its quota.
    pub worst_tenant: f64,
    /// Weight of the share of utility in the worst time window.
    pub worst_window: f64,
}
