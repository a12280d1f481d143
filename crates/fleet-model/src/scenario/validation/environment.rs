//! Validation of the tables that describe the environment, the limits and the scoring, and of the top-level keys.

use super::invalid_value::{Table, Validation};
use super::{ABOVE_ZERO, AT_LEAST_ONE, BETWEEN_0_AND_1, is_positive, is_share, is_zero_or_more};
use crate::scenario::Scenario;

/// Longest scenario, in seconds.
const MAX_LENGTH_SECONDS: f64 = 3_600.0;

impl Scenario {
    /// Validates the keys outside of any table.
    pub(super) fn validate_top_level_keys(&self) -> Validation {
        let root = Table::root();
        root.require(!self.zones.is_empty(), "zones", "name at least one zone")?;
        root.require(self.length.0 > 0, "length", "a scenario needs a length above zero")?;
        root.require(self.length.secs() <= MAX_LENGTH_SECONDS, "length", "must be at most one hour")
    }

    /// Validates the tables `network` and `discovery`.
    pub(super) fn validate_network_and_discovery(&self) -> Validation {
        Table::named("network").require(is_share(self.network.jitter), "jitter", BETWEEN_0_AND_1)?;
        let discovery = Table::named("discovery");
        discovery.require(is_share(self.discovery.failure_share), "failing", BETWEEN_0_AND_1)?;
        discovery.require(self.discovery.batch_interval.0 > 0, "period", ABOVE_ZERO)
    }

    /// Validates the table `balancers`.
    pub(super) fn validate_balancers(&self) -> Validation {
        let table = Table::named("balancers");
        let balancers = &self.balancers;
        table.require(!balancers.zones.is_empty(), "zones", "name the zone of at least one balancer")?;
        for (index, zone) in balancers.zones.iter().enumerate() {
            table.require_entry(self.zones.contains(zone), "zones", index, "no such zone in `zones`")?;
        }
        let count_matches = balancers.shares.is_empty() || balancers.shares.len() == balancers.zones.len();
        table.require(
            count_matches && balancers.shares.iter().all(|share| is_positive(*share)),
            "shares",
            "give one share above zero for each balancer, or none",
        )?;
        table.require(is_positive(balancers.cores), "cores", ABOVE_ZERO)
    }

    /// Validates the tables `limits` and `rules`.
    pub(super) fn validate_limits_and_rules(&self) -> Validation {
        Table::named("limits").require(self.limits.max_attempts > 0, "max_attempts", AT_LEAST_ONE)?;
        let rules = Table::named("rules");
        rules.require(is_positive(self.rules.overload_factor), "overload_factor", ABOVE_ZERO)?;
        rules.require(self.rules.overload_window.0 > 0, "tip_after", ABOVE_ZERO)
    }

    /// Validates the tables `goal` and `prices`.
    pub(super) fn validate_goal_and_prices(&self) -> Validation {
        let goal = &self.goal;
        let weights = [goal.total, goal.worst_window, goal.worst_class, goal.worst_tenant];
        let all_valid = weights.iter().all(|weight| is_zero_or_more(*weight));
        Table::named("goal").require_table(
            all_valid && weights.iter().sum::<f64>() > 0.0,
            "give weights of zero or more that are not all zero",
        )?;
        let prices = &self.prices;
        let all_prices = [
            prices.waste,
            prices.cross_zone,
            prices.late_fail,
            prices.health_check,
            prices.handshake,
            prices.choke,
        ];
        let all_valid = all_prices.iter().all(|price| is_zero_or_more(*price));
        Table::named("prices").require_table(all_valid, "prices must be zero or more")
    }
}
