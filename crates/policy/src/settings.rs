//! Settings of a balancer: the deployment, its limits and rules, and the goal with its prices.

mod class;
mod deployment;
mod goal;
mod validation;

use crate::event::{Micros, ZoneId};

pub use class::{Class, DedupScope, Idempotency, Tenant};
pub use deployment::{DiscoveryMode, Limits, LoadReporting, Rules, ServerWeights};
pub use goal::{Goal, Prices};
pub use validation::SettingsError;

/// Settings of a balancer. They do not change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this balancer among those of its tier, from 0.
    pub balancer_index: u32,
    /// Number of balancers that send to this tier. At least 1.
    pub balancer_count: u32,
    /// Zone of this balancer.
    pub zone: ZoneId,
    /// Number of zones. At least 1.
    pub zone_count: u32,
    /// Tier that this balancer sends to, 0 for the first. Less than [`tier_count`](Settings::tier_count).
    pub tier: u32,
    /// Number of tiers.
    pub tier_count: u32,
    /// A call from an earlier tier carries the remaining time of its caller instead of the deadline of its
    /// class.
    pub propagates_deadline: bool,
    /// Classes of requests, by their ids. At least one.
    pub classes: Vec<Class>,
    /// [`Class::priority_weight`] counts per unit of work, not per request.
    pub weight_by_work: bool,
    /// Tenants of the service, by their ids. Empty where the service is not shared.
    pub tenants: Vec<Tenant>,
    /// Factor on the weight of a request beyond the quota of its tenant. Not negative.
    pub over_quota_weight: f64,
    /// Clients mark their retries; see [`Event::Request`](crate::Event::Request).
    pub clients_mark_retries: bool,
    /// Meaning of the weights of servers.
    pub weights: ServerWeights,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// How servers report load.
    pub load_reporting: LoadReporting,
    /// Limits and permissions.
    pub limits: Limits,
    /// Rules on draining, slow start and discovery.
    pub rules: Rules,
    /// Prices of resources and failures.
    pub prices: Prices,
    /// Weights of the components of the score.
    pub goal: Goal,
    /// Shortest time between two calls of [`Balancer::handle`](crate::Balancer::handle) with different times.
    /// Above 0.
    pub tick: Micros,
}

impl Settings {
    /// Creates settings of a single balancer for one tier in one zone, without prices and with all optional
    /// actions disabled.
    pub fn new(classes: Vec<Class>) -> Settings {
        Settings {
            balancer_index: 0,
            balancer_count: 1,
            zone: 0,
            zone_count: 1,
            tier: 0,
            tier_count: 1,
            propagates_deadline: true,
            classes,
            weight_by_work: false,
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            clients_mark_retries: false,
            weights: ServerWeights::None,
            discovery: DiscoveryMode::Push,
            load_reporting: LoadReporting::None,
            limits: Limits::sending_only(),
            rules: Rules::typical(),
            prices: Prices::default(),
            goal: Goal { overall: 1.0, ..Goal::default() },
            tick: 1_000,
        }
    }
}
