//! Faults of a scenario: the schedule of their stages, and the effect of each stage on the fleet.

mod balancers;
mod schedule;
mod servers;
mod zones;

use zincstand_policy::Micros;

use super::World;
use super::event::{FaultStage, TargetStep, WorldEvent};
use super::state::HeavyTail;
use crate::scenario::{Fault, FaultKind};

/// Time from the end of a process until the next one starts on the same machine.
const RESTART_DELAY: Micros = 500_000;
/// Time from a balancer's announcement that it accepts no new connections until clients use other balancers.
const CLIENT_REROUTE_DELAY: Micros = 300_000;
/// Time after the longest deadline at which a balancer that is shutting down is ended.
const SHUTDOWN_GRACE: Micros = 700_000;
/// Time from the start of a balancer's process until clients connect to it.
const READY_DELAY: Micros = 300_000;

/// Status of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultStatus {
    /// The fault has begun and has not ended.
    Active,
    /// The fault has ended.
    Over,
}

impl World<'_> {
    /// Returns the addresses of servers, or the numbers of balancers, that a fault affects.
    fn fault_targets(&self, fault: &Fault) -> Vec<usize> {
        if fault.kind.affects_balancers() {
            return if fault.targets.is_empty() {
                (0..self.front_balancers.len()).collect()
            } else {
                fault.targets.clone()
            };
        }
        let first = self.first_address_of_tier[fault.tier];
        let count: u32 = self.scenario.tiers[fault.tier].servers.iter().sum();
        if fault.targets.is_empty() {
            (first..first + count as usize).collect()
        } else {
            fault.targets.iter().map(|number| first + number).collect()
        }
    }

    /// Executes a stage of a fault.
    pub(super) fn fault_stage(&mut self, number: u32, stage: FaultStage) {
        let fault = &self.scenario.faults[number as usize];
        let targets = self.fault_targets(fault);
        match stage {
            FaultStage::Begin => self.set_fault(number, fault, &targets, FaultStatus::Active),
            FaultStage::End => self.set_fault(number, fault, &targets, FaultStatus::Over),
            FaultStage::Target { target, step } => {
                if let Some(&target) = targets.get(target as usize) {
                    self.fault_target_step(fault, target, step);
                }
            }
        }
    }

    /// Executes a step of one target of a fault.
    fn fault_target_step(&mut self, fault: &Fault, target: usize, step: TargetStep) {
        match fault.kind {
            FaultKind::RollingDeploy | FaultKind::ExcludedByOperators => {
                self.deploy_step(self.server_at_address[target], step);
            }
            FaultKind::Replaced => self.replace_step(target, step),
            _ => self.balancer_step(fault, target, step),
        }
    }

    /// Begins or ends a fault for all its targets.
    fn set_fault(&mut self, number: u32, fault: &Fault, targets: &[usize], status: FaultStatus) {
        match fault.kind {
            FaultKind::HeavyTail => self.set_heavy_tail(number, fault, status),
            FaultKind::ZoneLost => self.set_zone_lost(fault, status),
            FaultKind::ZonePartition => self.set_partition(fault, status),
            FaultKind::Vanished => {
                for &address in targets {
                    self.set_vanished(self.server_at_address[address], status);
                }
            }
            FaultKind::DiscoveryOutage => self.set_discovery_outage(status),
            FaultKind::Evacuated => {
                let open = status == FaultStatus::Over;
                for &balancer in targets {
                    let event = WorldEvent::FrontUpdate { balancer: balancer as u32, open };
                    self.schedule_after(CLIENT_REROUTE_DELAY, event);
                }
            }
            FaultKind::ExcludedByOperators => {
                for &address in targets {
                    self.set_operator_exclusion(fault, self.server_at_address[address], status);
                }
            }
            _ => {
                for &address in targets {
                    self.set_server_fault(fault, self.server_at_address[address], status);
                }
            }
        }
    }

    /// Begins or ends a fault that multiplies the work of some requests of a class.
    fn set_heavy_tail(&mut self, number: u32, fault: &Fault, status: FaultStatus) {
        self.heavy_tails.retain(|heavy| heavy.fault != number);
        if status == FaultStatus::Active {
            let class = self.fault_class(fault).unwrap_or(0);
            let heavy = HeavyTail { fault: number, class, share: fault.share, factor: fault.factor };
            self.heavy_tails.push(heavy);
        }
    }

    /// Returns the index of the class that a fault names.
    fn fault_class(&self, fault: &Fault) -> Option<usize> {
        self.scenario.classes.iter().position(|class| Some(&class.name) == fault.class.as_ref())
    }

    /// Returns the index of the zone that a fault names.
    fn fault_zone(&self, fault: &Fault) -> Option<u32> {
        let zone = self.scenario.zones.iter().position(|zone| Some(zone) == fault.zone.as_ref())?;
        Some(zone as u32)
    }
}
