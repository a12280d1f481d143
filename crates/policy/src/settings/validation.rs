//! Validation of the settings: the range of each field.

use std::fmt::Display;

use super::{Class, Goal, Prices, Settings, Tenant};

/// A field of the settings that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid settings: `{field}` is {value}, but {requirement}")]
pub struct SettingsError {
    field: String,
    value: String,
    requirement: &'static str,
}

impl SettingsError {
    /// Path of the field, such as `classes[0].deadline`.
    pub fn field(&self) -> &str {
        &self.field
    }
}

const NOT_NEGATIVE: &str = "it must be a finite number and not negative";
const AT_LEAST_ONE: &str = "it must be at least 1";

impl Settings {
    /// Checks that each field is within its range. [`Balancer::new`](crate::Balancer::new) calls it.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of its range, with its value and its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_that(!self.classes.is_empty(), "classes", "empty", "there must be at least one class")?;
        at_least_one(self.balancer_count, "balancer_count")?;
        at_least_one(self.zone_count, "zone_count")?;
        let tier_exists = self.tier < self.tier_count;
        check_that(tier_exists, "tier", self.tier, "it must be less than `tier_count`")?;
        at_least_one(self.limits.max_attempts, "limits.max_attempts")?;
        check_that(self.tick > 0, "tick", self.tick, AT_LEAST_ONE)?;
        for (index, class) in self.classes.iter().enumerate() {
            check_class(class, index)?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            check_tenant(tenant, index)?;
        }
        not_negative(self.over_quota_weight, "over_quota_weight")?;
        not_negative(self.limits.cpu_per_request, "limits.cpu_per_request")?;
        let initial_capacity = self.rules.initial_capacity;
        let has_capacity = initial_capacity > 0.0 && initial_capacity <= 1.0;
        check_that(
            has_capacity,
            "rules.initial_capacity",
            initial_capacity,
            "it must be above 0 and at most 1",
        )?;
        not_negative(self.rules.overload_factor, "rules.overload_factor")?;
        check_prices(&self.prices)?;
        check_goal(&self.goal)
    }
}

fn check_class(class: &Class, index: usize) -> Result<(), SettingsError> {
    let field = |name: &str| format!("classes[{index}].{name}");
    let objective = class.latency_objective;
    check_that(objective > 0, field("latency_objective"), objective, AT_LEAST_ONE)?;
    check_that(class.deadline > 0, field("deadline"), class.deadline, AT_LEAST_ONE)?;
    not_negative(class.priority_weight, field("priority_weight"))?;
    not_negative(class.late_weight, field("late_weight"))?;
    not_negative(class.objective_per_work, field("objective_per_work"))
}

fn check_tenant(tenant: &Tenant, index: usize) -> Result<(), SettingsError> {
    not_negative(tenant.share, format!("tenants[{index}].share"))?;
    not_negative(tenant.quota, format!("tenants[{index}].quota"))
}

fn check_prices(prices: &Prices) -> Result<(), SettingsError> {
    not_negative(prices.cross_zone, "prices.cross_zone")?;
    not_negative(prices.health_check, "prices.health_check")?;
    not_negative(prices.late_fail, "prices.late_fail")?;
    not_negative(prices.waste, "prices.waste")?;
    not_negative(prices.connection, "prices.connection")?;
    not_negative(prices.handshake, "prices.handshake")?;
    not_negative(prices.discovery, "prices.discovery")
}

fn check_goal(goal: &Goal) -> Result<(), SettingsError> {
    not_negative(goal.overall, "goal.overall")?;
    not_negative(goal.worst_window, "goal.worst_window")?;
    not_negative(goal.worst_class, "goal.worst_class")?;
    not_negative(goal.worst_tenant, "goal.worst_tenant")?;
    not_negative(goal.tail, "goal.tail")?;
    not_negative(goal.tail_miss, "goal.tail_miss")
}

fn at_least_one(value: u32, field: &str) -> Result<(), SettingsError> {
    check_that(value > 0, field, value, AT_LEAST_ONE)
}

fn not_negative(value: f64, field: impl Into<String>) -> Result<(), SettingsError> {
    check_that(value.is_finite() && value >= 0.0, field, value, NOT_NEGATIVE)
}

fn check_that(
    is_valid: bool,
    field: impl Into<String>,
    value: impl Display,
    requirement: &'static str,
) -> Result<(), SettingsError> {
    if is_valid {
        return Ok(());
    }
    Err(SettingsError { field: field.into(), value: value.to_string(), requirement })
}
