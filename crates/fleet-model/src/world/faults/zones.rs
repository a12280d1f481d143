//! Faults of whole zones and of discovery.

use super::{FaultStatus, READY_DELAY};
use crate::scenario::Fault;
use crate::world::World;
use crate::world::discovery::ChangeVisibility;
use crate::world::event::{ListedState, UpdateScope, WorldEvent};
use crate::world::processes::ProcessEnd;

impl World<'_> {
    /// Makes the servers and balancers of a zone vanish or return.
    pub(super) fn set_zone_lost(&mut self, fault: &Fault, status: FaultStatus) {
        let Some(zone) = self.fault_zone(fault) else { return };
        for address in 0..self.server_at_address.len() {
            let server = self.server_at_address[address];
            if self.servers[server].zone == zone {
                self.set_vanished(server, status);
            }
        }
        for balancer in 0..self.front_balancers.len() {
            if self.front_balancers[balancer].zone == zone {
                self.set_front_balancer_lost(balancer, status);
            }
        }
    }

    fn set_front_balancer_lost(&mut self, balancer: usize, status: FaultStatus) {
        let number = balancer as u32;
        match status {
            FaultStatus::Active => {
                if let Some(process) = self.front_balancers[balancer].process {
                    self.end_process(process, ProcessEnd::Silent);
                }
                let notice = self.scenario.balancers.detection_delay.0;
                self.schedule_after(notice, WorldEvent::FrontUpdate { balancer: number, open: false });
            }
            FaultStatus::Over => {
                self.start_front_balancer(balancer, None);
                self.schedule_after(READY_DELAY, WorldEvent::FrontUpdate { balancer: number, open: true });
            }
        }
    }

    /// Cuts a zone off by a network partition, or connects it again. Messages across the partition are lost without an
    /// error. Discovery is outside of the zone: it lists the servers of the zone as removed, and the balancers in the
    /// zone receive no notifications until the partition ends, and then the complete list.
    pub(super) fn set_partition(&mut self, fault: &Fault, status: FaultStatus) {
        let Some(zone) = self.fault_zone(fault) else { return };
        self.partitioned_zones[zone as usize] = status == FaultStatus::Active;
        for server in self.servers.indexes() {
            let record = &self.servers[server];
            if record.zone != zone || !record.is_up() || record.vanished {
                continue;
            }
            let (state, visibility) = match status {
                FaultStatus::Active => (ListedState::Removed, ChangeVisibility::Silent),
                FaultStatus::Over => (ListedState::Ready(record.started), ChangeVisibility::Announced),
            };
            self.schedule_detection(server, state, visibility);
        }
        if status == FaultStatus::Over {
            self.schedule_snapshots(Some(zone));
        }
    }

    /// Begins or ends an outage of discovery.
    pub(super) fn set_discovery_outage(&mut self, status: FaultStatus) {
        self.discovery_down = status == FaultStatus::Active;
        if status == FaultStatus::Over {
            self.schedule_snapshots(None);
        }
    }

    /// Schedules the complete list for the processes that watch, in one zone or in all zones, to replace the changes
    /// that they missed.
    fn schedule_snapshots(&mut self, zone: Option<u32>) {
        for process in self.processes.indexes() {
            let record = &self.processes[process];
            if record.alive && record.watching && zone.is_none_or(|zone| record.zone == zone) {
                self.schedule_update(process, self.now, UpdateScope::Snapshot);
            }
        }
    }
}
