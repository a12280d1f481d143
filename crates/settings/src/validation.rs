//! Validation of the platform's settings. An error names the key of the invalid value.

use std::fmt::Display;

use thiserror::Error;
use zincstand_policy::DedupScope;

use crate::schema::{Class, GoalWeights, Limits, Rules, Setup, Tenant};
use crate::units::micros_from_millis;

/// An invalid value in the settings.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("settings: {key} {problem}")]
pub struct SettingsError {
    /// Path of the key in the `Setup` object, such as `Categories[0].TargetMs`.
    pub key: String,
    /// The problem: what is wrong with the value and what it must be, such as "is -1, but must be 0 or
    /// more". The key is the subject of the sentence.
    pub problem: String,
}

/// Settings that are valid, with the values that validation has parsed.
pub(crate) struct ValidSetup<'a> {
    /// The settings.
    pub setup: &'a Setup,
    /// Group of servers that drop each other's repeats, for each class.
    pub dedup_scopes: Vec<DedupScope>,
}

/// Validates the settings.
///
/// # Errors
///
/// Returns an error for the first invalid value.
pub(crate) fn validate(setup: &Setup) -> Result<ValidSetup<'_>, SettingsError> {
    require(!setup.classes.is_empty(), "Categories", "is empty, but must have a class")?;
    let mut dedup_scopes = Vec::with_capacity(setup.classes.len());
    for index in 0..setup.classes.len() {
        dedup_scopes.push(validate_class(&setup.classes, index)?);
    }
    for (index, tenant) in setup.tenants.iter().enumerate() {
        validate_tenant(tenant, index)?;
    }
    for (name, price) in &setup.prices {
        require_not_negative(*price, &format!("Tariffs.{name}"))?;
    }
    validate_deployment(setup)?;
    validate_limits(&setup.limits)?;
    validate_rules(&setup.rules)?;
    validate_goal(&setup.goal)?;
    Ok(ValidSetup { setup, dedup_scopes })
}

/// Validates the class at `index`, and returns the group of servers that drop each other's repeats of it.
fn validate_class(classes: &[Class], index: usize) -> Result<DedupScope, SettingsError> {
    let class = &classes[index];
    let key = |name: &str| format!("Categories[{index}].{name}");
    let is_duplicate = classes[..index].iter().any(|earlier| earlier.name == class.name);
    require(
        !is_duplicate,
        &key("Name"),
        format!("is {:?}, the name of an earlier class, but must be unique", class.name),
    )?;
    require_positive(class.latency_objective_ms, &key("TargetMs"))?;
    require_positive(class.deadline_ms, &key("DeadlineMs"))?;
    let dedup_scope = match class.dedup_scope.as_deref() {
        None | Some("all") => DedupScope::All,
        Some("zone") => DedupScope::Zone,
        Some("cell") => DedupScope::Cell,
        Some(other) => {
            let problem = format!("is {other:?}, but must be \"all\", \"zone\" or \"cell\"");
            return Err(error(&key("Group"), problem));
        }
    };
    require_not_negative(class.dedup_window_ms, &key("DedupWindowMs"))?;
    require_not_negative(class.late_weight, &key("LateWorth"))?;
    require_not_negative(class.objective_per_work, &key("AimStretch"))?;
    require_not_negative(class.priority_weight, &key("Value"))?;
    Ok(dedup_scope)
}

fn validate_tenant(tenant: &Tenant, index: usize) -> Result<(), SettingsError> {
    require_not_negative(tenant.share, &format!("Realms[{index}].Share"))?;
    require_not_negative(tenant.quota_per_second, &format!("Realms[{index}].QuotaRps"))
}

/// Validates the position of this balancer in the deployment, and the values that belong to no section.
fn validate_deployment(setup: &Setup) -> Result<(), SettingsError> {
    require(setup.balancer_count > 0, "Balancers", "is 0, but must be 1 or more")?;
    let tier_count = setup.tiers.len().max(1);
    require(
        (setup.tier_index as usize) < tier_count,
        "Stage",
        format!("is {}, but must be below {tier_count}, the number of Tiers", setup.tier_index),
    )?;
    require(
        is_positive(setup.tick_ms) && micros_from_millis(setup.tick_ms) > 0,
        "GranularityMs",
        format!("is {}, but must be 0.001 or more", setup.tick_ms),
    )?;
    require_not_negative(setup.over_quota_weight, "OverShareWorth")
}

fn validate_limits(limits: &Limits) -> Result<(), SettingsError> {
    require(
        limits.max_attempts > 0,
        "Limits.MostTries",
        "is 0, but must be 1 or more: a request needs an attempt",
    )?;
    require_not_negative(limits.max_retry_after_ms, "Limits.MaxRetryAfterMs")?;
    require_not_negative(limits.connect_timeout_ms, "Limits.ConnectTimeoutMs")?;
    require_not_negative(limits.cpu_micros_per_request, "Limits.CpuUsPerRequest")?;
    require_not_negative(limits.cpu_micros_per_second, "Limits.CpuUsPerS")?;
    require_not_negative(limits.idle_timeout_ms, "Limits.IdleCloseMs")
}

fn validate_rules(rules: &Rules) -> Result<(), SettingsError> {
    let is_fraction = rules.initial_capacity > 0.0 && rules.initial_capacity <= 1.0;
    let problem = format!("is {}, but must be above 0 and at most 1", rules.initial_capacity);
    require(is_fraction, "Rules.ColdFrom", problem)?;
    require_not_negative(rules.warm_up_time_ms, "Rules.WarmAfterMs")?;
    require_not_negative(rules.overload_factor, "Rules.OverloadFactor")?;
    require_not_negative(rules.overload_window_ms, "Rules.TipAfterMs")?;
    require_not_negative(rules.max_poll_interval_ms, "Rules.AskWithinMs")?;
    require_not_negative(rules.drain_grace_ms, "Rules.DrainGraceMs")?;
    require_not_negative(rules.response_grace_ms, "Rules.GraceToAnswerMs")
}

fn validate_goal(goal: &GoalWeights) -> Result<(), SettingsError> {
    require_not_negative(goal.tail_miss, "Goal.TailMiss")?;
    require_not_negative(goal.tail, "Goal.TailPart")?;
    require_not_negative(goal.overall, "Goal.Whole")?;
    require_not_negative(goal.worst_class, "Goal.WorstClass")?;
    require_not_negative(goal.worst_tenant, "Goal.WorstTenant")?;
    require_not_negative(goal.worst_window, "Goal.WorstWindow")
}

fn error(key: &str, problem: impl Display) -> SettingsError {
    SettingsError { key: key.to_owned(), problem: problem.to_string() }
}

fn require(is_met: bool, key: &str, problem: impl Display) -> Result<(), SettingsError> {
    if is_met { Ok(()) } else { Err(error(key, problem)) }
}

fn require_not_negative(value: f64, key: &str) -> Result<(), SettingsError> {
    require(value.is_finite() && value >= 0.0, key, format!("is {value}, but must be 0 or more"))
}

fn require_positive(value: f64, key: &str) -> Result<(), SettingsError> {
    require(is_positive(value), key, format!("is {value}, but must be above 0"))
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

#[cfg(test)]
mod tests;
