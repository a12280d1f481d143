//! The platform's settings of one balancer: schema, validation and conversion to the policy's settings.
//!
//! The simulator adapter receives the settings in the `PowerOn` message, and the proxy reads them from its
//! configuration file. Both deserialize a [`Setup`] and call [`Setup::to_policy_settings`].

#![forbid(unsafe_code)]

mod conversion;
mod names;
mod ring_position;
mod schema;
mod units;
mod validation;

pub use names::Names;
pub use ring_position::ring_position;
pub use schema::{
    Class, ClientBehavior, DiscoveryMode, GoalWeights, Idempotency, Limits, LoadReporting, LoadReports,
    Rules, ServerWeights, ServiceTraits, Setup, Tenant, WeightBasis, unit_weight,
};
pub use units::{micros_from_millis, millis_from_micros};
pub use validation::SettingsError;
