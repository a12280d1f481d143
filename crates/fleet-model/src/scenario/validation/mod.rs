//! Validation of a scenario. Each table of the file has a function that reports its first invalid value.

mod environment;
mod faults;
mod invalid_value;
mod tiers;
mod traffic;

use super::Scenario;

pub(super) use self::invalid_value::{InvalidValue, Validation};

/// Problem of a share below 0 or above 1.
const BETWEEN_0_AND_1: &str = "must be between 0 and 1";
/// Problem of a share that must not be 0.
const ABOVE_0_UP_TO_1: &str = "must be above 0 and at most 1";
/// Problem of a value that is zero or negative.
const ABOVE_ZERO: &str = "must be above zero";
/// Problem of a negative value.
const ZERO_OR_MORE: &str = "must be zero or more";
/// Problem of a count of 0.
const AT_LEAST_ONE: &str = "must be at least one";

impl Scenario {
    /// Validates the tables in the order in which their problems are reported.
    ///
    /// # Errors
    ///
    /// The first value that is out of range or contradicts another one.
    pub(super) fn validate(&self) -> Validation {
        self.validate_top_level_keys()?;
        self.validate_network_and_discovery()?;
        self.validate_balancers()?;
        self.validate_load()?;
        self.validate_clients()?;
        self.validate_limits_and_rules()?;
        self.validate_goal_and_prices()?;
        self.validate_tiers()?;
        self.validate_classes()?;
        self.validate_tenants()?;
        for (index, fault) in self.faults.iter().enumerate() {
            self.validate_fault(index, fault)?;
        }
        Ok(())
    }
}

/// Whether a value is between 0 and 1, both included.
fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Whether a value is above 0 and at most 1.
fn is_share_above_zero(value: f64) -> bool {
    value > 0.0 && is_share(value)
}

/// Whether a value is finite and above 0.
fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

/// Whether a value is finite and not negative.
fn is_zero_or_more(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
