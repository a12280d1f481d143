//! Validation of the tables that describe load, clients, classes and tenants.

use super::invalid_value::{Table, Validation};
use super::{
    ABOVE_0_UP_TO_1, ABOVE_ZERO, BETWEEN_0_AND_1, ZERO_OR_MORE, is_positive, is_share, is_share_above_zero,
    is_zero_or_more,
};
use crate::scenario::{Class, Idempotency, Scenario};

/// Largest mean number of requests of a scenario, because every arrival is stored in memory.
const MAX_REQUESTS: f64 = 5e6;
/// Largest number of retries of a client.
const MAX_RETRIES: u32 = 100;
/// Largest coefficient of variation of the work.
const MAX_VARIATION: f64 = 10.0;

impl Scenario {
    /// Validates the table `load`.
    pub(super) fn validate_load(&self) -> Validation {
        let table = Table::named("load");
        let load = &self.load;
        table.require(is_positive(load.rate), "rate", ABOVE_ZERO)?;
        table.require(
            load.rate * self.length.secs() <= MAX_REQUESTS,
            "rate",
            "a scenario must have at most five million requests; lower `load.rate` or `length`",
        )?;
        table.require(is_share(load.amplitude), "swing", BETWEEN_0_AND_1)?;
        table.require(is_share(load.over_quota_weight), "over_share_worth", BETWEEN_0_AND_1)?;
        let count_matches = load.zone_shares.len() == self.zones.len();
        let all_valid = load.zone_shares.iter().all(|share| is_zero_or_more(*share));
        table.require(
            count_matches && all_valid && load.zone_shares.iter().sum::<f64>() > 0.0,
            "zone_shares",
            "give one share for each zone, not all zero",
        )
    }

    /// Validates the table `clients`.
    pub(super) fn validate_clients(&self) -> Validation {
        let table = Table::named("clients");
        let clients = &self.clients;
        table.require(is_share_above_zero(clients.attempt_timeout_share), "try_share", ABOVE_0_UP_TO_1)?;
        table.require(is_share(clients.retry_after_share), "honour", BETWEEN_0_AND_1)?;
        table.require(is_share(clients.early_cancel_share), "impatient", BETWEEN_0_AND_1)?;
        table.require(clients.retries <= MAX_RETRIES, "retries", "must be at most 100")
    }

    /// Validates the tables `class`.
    pub(super) fn validate_classes(&self) -> Validation {
        let list = Table::named("class");
        list.require_table(!self.classes.is_empty(), "describe at least one class in a [[class]] table")?;
        for (index, class) in self.classes.iter().enumerate() {
            validate_class(index, class)?;
        }
        Ok(())
    }

    /// Validates the tables `tenant`.
    pub(super) fn validate_tenants(&self) -> Validation {
        for (index, tenant) in self.tenants.iter().enumerate() {
            Table::entry("tenant", index).require_table(
                is_positive(tenant.share) && is_positive(tenant.quota) && is_zero_or_more(tenant.usage),
                "share and quota must be above zero, usage must be zero or more",
            )?;
        }
        let traffic: f64 = self.tenants.iter().map(|tenant| tenant.share * tenant.usage).sum();
        Table::named("tenant").require_table(
            self.tenants.is_empty() || traffic > 0.0,
            "the usage of at least one tenant must be above zero",
        )
    }
}

fn validate_class(index: usize, class: &Class) -> Validation {
    let table = Table::entry("class", index);
    table.require(is_positive(class.share), "share", ABOVE_ZERO)?;
    table.require(class.work.0 > 0, "work", ABOVE_ZERO)?;
    table.require(class.max_work >= class.work, "most_work", "must not be less than `work`")?;
    let valid_range = 0.0..=MAX_VARIATION;
    table.require(valid_range.contains(&class.work_cv), "cv", "must be between 0 and 10")?;
    table.require(valid_range.contains(&class.attempt_noise), "attempt_noise", "must be between 0 and 10")?;
    table.require(class.latency_objective.0 > 0, "aim", ABOVE_ZERO)?;
    table.require(class.deadline.0 > 0, "deadline", "a class needs a deadline above zero")?;
    table.require(class.latency_objective <= class.deadline, "aim", "must not exceed `deadline`")?;
    table.require(is_zero_or_more(class.priority_weight), "worth", ZERO_OR_MORE)?;
    table.require(is_share(class.late_weight), "late_worth", BETWEEN_0_AND_1)?;
    table.require(
        class.idempotency != Idempotency::WithKey || class.dedup_window.0 > 0,
        "repeats_dropped",
        "a keyed class needs a time above zero in which servers detect duplicates",
    )
}
