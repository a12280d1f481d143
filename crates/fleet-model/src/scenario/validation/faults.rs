//! Validation of the tables that describe faults.

use super::invalid_value::{Table, Validation};
use super::{ABOVE_0_UP_TO_1, ABOVE_ZERO, is_share_above_zero};
use crate::scenario::{Fault, FaultKind, Scenario};

/// Largest factor by which a fault multiplies the work.
const MAX_FACTOR: f64 = 1e3;

impl Scenario {
    /// Validates the table `fault` with this index.
    pub(super) fn validate_fault(&self, index: usize, fault: &Fault) -> Validation {
        let table = Table::entry("fault", index);
        table.require(fault.at <= self.length, "at", "must not be after the end of the scenario")?;
        let known_tier = fault.tier < self.tiers.len();
        table.require(known_tier, "tier", "no such tier; tiers are numbered from 0")?;
        let target_count = self.count_targets(fault);
        table.require(
            fault.targets.iter().all(|target| *target < target_count),
            "which",
            "no such server or balancer; both are numbered from 0",
        )?;
        let known_zone = fault.zone.as_ref().is_none_or(|zone| self.zones.contains(zone));
        table.require(known_zone, "zone", "no such zone in `zones`")?;
        let needs_zone = matches!(fault.kind, FaultKind::ZoneLost | FaultKind::ZonePartition);
        let zone_given = !needs_zone || fault.zone.is_some();
        table.require(zone_given, "zone", "name the affected zone")?;
        let is_class = |name: &String| self.classes.iter().any(|class| class.name == *name);
        table.require(fault.class.as_ref().is_none_or(is_class), "class", "no such class")?;
        let class_given = fault.kind != FaultKind::HeavyTail || fault.class.is_some();
        table.require(class_given, "class", "name the class whose requests need more work")?;
        table.require(is_share_above_zero(fault.share), "share", ABOVE_0_UP_TO_1)?;
        let valid_factor = fault.factor > 0.0 && fault.factor <= MAX_FACTOR;
        table.require(valid_factor, "factor", "must be above 0 and at most 1000")?;
        let valid_length = fault.kind == FaultKind::ProcessReplaced || fault.length.0 > 0;
        table.require(valid_length, "length", ABOVE_ZERO)
    }

    /// Returns the number of servers or balancers that the fault can name.
    fn count_targets(&self, fault: &Fault) -> usize {
        if fault.kind.affects_balancers() {
            return self.balancers.zones.len();
        }
        self.tiers.get(fault.tier).map_or(0, |tier| tier.servers.iter().sum::<u32>() as usize)
    }
}
