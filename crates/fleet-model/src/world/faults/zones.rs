//! Faults of whole zones and of discovery.

use super::{FaultStatus, READY_DELAY};
use crate::scenario::Fault;
use crate::world::World;
use crate::world::discovery::ChangeVisibility;
use crate::world::event::ListedState;
use crate::world::event::{UpdateScope, WorldEvent};
use crate::world::index::{ProcessIndex, ServerIndex};
use crate::world::processes::ProcessEnd;

impl World<'_> {
    /// A zone's servers and balancers vanish, or are back.
    pub(super) fn lose_zone(&mut self, fault: &Fault, status: FaultStatus) {
        let Some(zone) = self.fault_zone(fault) else { return };
        for address in 0..self.server_at_address.len() {
            let server = self.server_at_address[address];
            if self.servers[server as usize].zone == zone {
                self.vanish(server, status);
            }
        }
        for balancer in 0..self.front_balancers.len() {
            if self.front_balancers[balancer].zone == zone {
                self.lose_front_balancer(balancer, status);
            }
        }
    }

    fn lose_front_balancer(&mut self, balancer: usize, status: FaultStatus) {
        let number = balancer as u32;
        match status {
            FaultStatus::Active => {
                if let Some(process) = self.front_balancers[balancer].process {
                    self.end_process(process, ProcessEnd::Silent);
                }
                let notice = self.scenario.balancers.notice.0;
                self.schedule_after(notice, WorldEvent::FrontUpdate { balancer: number, open: false });
            }
            FaultStatus::Over => {
                self.start_front_balancer(balancer, None);
                self.schedule_after(READY_DELAY, WorldEvent::FrontUpdate { balancer: number, open: true });
            }
        }
    }

    /// A zone is cut off, or connected again. What crosses the partition is lost without a word. Discovery is on the
    /// side that is not cut off: it takes the servers beyond for removed, and the balancers there hear nothing until
    /// the partition is over, then receive the complete list.
    pub(super) fn partition_zone(&mut self, fault: &Fault, status: FaultStatus) {
        let Some(zone) = self.fault_zone(fault) else { return };
        self.partitioned_zones[zone as usize] = status == FaultStatus::Active;
        for server in 0..self.servers.len() as ServerIndex {
            let record = &self.servers[server as usize];
            if record.zone != zone || !record.is_up() || record.vanished {
                continue;
            }
            let (state, visibility) = match status {
                FaultStatus::Active => (ListedState::Removed, ChangeVisibility::Silent),
                FaultStatus::Over => (ListedState::Ready(record.started), ChangeVisibility::Announced),
            };
            self.announce_change(server, state, visibility);
        }
        if status == FaultStatus::Over {
            self.schedule_snapshots(Some(zone));
        }
    }

    /// Discovery fails for all, or is back.
    pub(super) fn discovery_outage(&mut self, status: FaultStatus) {
        self.discovery_down = status == FaultStatus::Active;
        if status == FaultStatus::Over {
            self.schedule_snapshots(None);
        }
    }

    /// Processes that watch, in one zone or all, receive the complete list in place of the changes that they missed.
    fn schedule_snapshots(&mut self, zone: Option<u32>) {
        for process in 0..self.processes.len() {
            let record = &self.processes[process];
            if record.alive && record.watching && zone.is_none_or(|zone| record.zone == zone) {
                self.schedule_update(process as ProcessIndex, self.now, UpdateScope::Snapshot);
            }
        }
    }
}
