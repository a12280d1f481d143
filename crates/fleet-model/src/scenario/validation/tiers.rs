//! Validation of the tables that describe tiers.

use super::invalid_value::{Table, Validation};
use super::{
    ABOVE_0_UP_TO_1, ABOVE_ZERO, AT_LEAST_ONE, BETWEEN_0_AND_1, ZERO_OR_MORE, is_positive, is_share,
    is_share_above_zero, is_zero_or_more,
};
use crate::scenario::{Choke, Connections, Scenario, Tier};

/// Largest number of tiers. Calls go 30 tiers deep in the planned fleet.
const MAX_TIERS: usize = 32;
/// Largest number of servers of a tier.
const MAX_SERVERS: u32 = 100_000;
/// Largest mean number of calls that a request makes to the next tier.
const MAX_CALLS: f64 = 16.0;

impl Scenario {
    /// Validates the tables `tier`.
    pub(super) fn validate_tiers(&self) -> Validation {
        let list = Table::named("tier");
        list.require_table(!self.tiers.is_empty(), "describe at least one tier in a [[tier]] table")?;
        list.require_table(self.tiers.len() <= MAX_TIERS, "there must be at most 32 tiers")?;
        for (index, tier) in self.tiers.iter().enumerate() {
            self.validate_tier_size(index, tier)?;
            validate_tier_behaviour(index, tier)?;
            validate_connections(index, &tier.connections)?;
            if let Some(choke) = &tier.choke {
                validate_choke(index, choke)?;
            }
        }
        Ok(())
    }

    fn validate_tier_size(&self, index: usize, tier: &Tier) -> Validation {
        let table = Table::entry("tier", index);
        let server_count: u32 = tier.servers.iter().sum();
        let count_matches = tier.servers.len() == self.zones.len();
        table.require(count_matches, "servers", "give the number of servers in each zone")?;
        table.require(server_count > 0, "servers", "a tier needs servers")?;
        table.require(server_count <= MAX_SERVERS, "servers", "a tier must have at most 100,000 servers")?;
        table.require(is_positive(tier.work), "work", ABOVE_ZERO)?;
        table.require((0.0..=MAX_CALLS).contains(&tier.calls), "calls", "must be between 0 and 16")?;
        let is_last = index + 1 == self.tiers.len();
        table.require(
            !is_last || tier.calls == 0.0,
            "calls",
            "must be zero in the last tier, which has no tier to call",
        )?;
        table.require(
            is_last || tier.calls > 0.0,
            "calls",
            "must be above zero in every tier but the last, or the next tier is never called",
        )
    }
}

fn validate_tier_behaviour(index: usize, tier: &Tier) -> Validation {
    let table = Table::entry("tier", index);
    table.require(tier.cell_size > 0, "cell_size", AT_LEAST_ONE)?;
    table.require(tier.cores > 0, "cores", AT_LEAST_ONE)?;
    table.require(is_positive(tier.speed), "speed", ABOVE_ZERO)?;
    table.require(is_share(tier.speed_cv), "speed_cv", BETWEEN_0_AND_1)?;
    table.require(tier.slots > 0, "slots", AT_LEAST_ONE)?;
    table.require(is_zero_or_more(tier.thrash), "thrash", ZERO_OR_MORE)?;
    table.require(is_zero_or_more(tier.pause_growth), "pause_grow", ZERO_OR_MORE)?;
    table.require(is_positive(tier.thrash_threshold), "crowded", ABOVE_ZERO)?;
    table.require(is_share_above_zero(tier.initial_capacity), "cold_from", ABOVE_0_UP_TO_1)?;
    table.require(tier.warm_up_time.0 > 0, "warm_after", ABOVE_ZERO)?;
    table.require(is_share(tier.error_rate), "error_rate", BETWEEN_0_AND_1)?;
    let pause_is_shorter = tier.pause_interval.0 == 0 || tier.pause_interval > tier.pause;
    table.require(pause_is_shorter, "pause_every", "must be longer than `pause`")
}

fn validate_connections(tier_index: usize, connections: &Connections) -> Validation {
    let table = Table::inner("tier", tier_index, "connections");
    table.require(connections.max_connections > 0, "most", AT_LEAST_ONE)?;
    table.require(is_share(connections.full_table_overhead), "full_tax", BETWEEN_0_AND_1)?;
    table.require(connections.connect_timeout.0 > 0, "connect_timeout", ABOVE_ZERO)
}

fn validate_choke(tier_index: usize, choke: &Choke) -> Validation {
    let table = Table::inner("tier", tier_index, "choke");
    let valid_slowdown = choke.slowdown >= 1.0 && choke.slowdown.is_finite();
    table.require(valid_slowdown, "slower", "must be at least 1")?;
    table.require(is_positive(choke.queue_threshold), "at", ABOVE_ZERO)?;
    table.require(is_share(choke.recovery_utilization), "below", BETWEEN_0_AND_1)?;
    let valid_durations = choke.recovery_window.0 > 0 && choke.max_duration >= choke.recovery_window;
    table.require(valid_durations, "most", "`rest` must be above zero, and `most` at least as long")
}
