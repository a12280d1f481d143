//! Faults of single servers: deploys, replacements, vanished machines, exclusion by operators, and slow or failing
//! ones.

use super::FaultStatus;
use crate::scenario::{Fault, FaultKind};
use crate::server::{Server, Slowdown};
use crate::world::World;
use crate::world::discovery::ChangeVisibility;
use crate::world::event::{ListedState, TargetStep};
use crate::world::index::ServerIndex;
use crate::world::processes::ProcessEnd;

impl World<'_> {
    /// Executes a step of the deploy of a server: it drains, stops or starts again.
    pub(super) fn deploy_step(&mut self, server: ServerIndex, step: TargetStep) {
        if self.servers[server].has_collapsed() {
            return;
        }
        match step {
            TargetStep::Drain => {
                self.servers[server].drain();
                self.schedule_detection(server, ListedState::Draining, ChangeVisibility::Announced);
            }
            TargetStep::Stop => self.stop_server(server),
            TargetStep::Start => self.start_server(server),
        }
    }

    /// Removes the server at an address, or starts another server with a new id there.
    pub(super) fn replace_step(&mut self, address: usize, step: TargetStep) {
        let old = self.server_at_address[address];
        if step == TargetStep::Stop {
            if self.servers[old].is_up() {
                self.stop_server(old);
            }
            return self.schedule_detection(old, ListedState::Removed, ChangeVisibility::Announced);
        }
        let number = self.servers.len();
        let predecessor = &self.servers[old];
        let tier = &self.scenario.tiers[predecessor.tier];
        let new = Server::replacement(self.scenario.seed, number as u64, tier, predecessor);
        self.servers.push(new);
        self.sidecars.push(None);
        self.server_at_address[address] = number as ServerIndex;
        self.start_server(number as ServerIndex);
    }

    /// Makes a server's machine vanish without deregistering, or return with a process that warms up.
    pub(super) fn set_vanished(&mut self, server: ServerIndex, status: FaultStatus) {
        let record = &mut self.servers[server];
        if record.has_collapsed() {
            return;
        }
        match status {
            FaultStatus::Active => {
                record.vanished = true;
                if let Some(process) = self.sidecars[server] {
                    self.end_process(process, ProcessEnd::Silent);
                }
                self.schedule_detection(server, ListedState::Removed, ChangeVisibility::Silent);
            }
            FaultStatus::Over => {
                self.stop_server(server);
                self.start_server(server);
            }
        }
    }

    /// Excludes a server at all balancers of its tier on behalf of operators, or includes it again.
    pub(super) fn set_operator_exclusion(&mut self, fault: &Fault, server: ServerIndex, status: FaultStatus) {
        self.excluded_by_operator.retain(|excluded| *excluded != server);
        if status == FaultStatus::Active {
            self.excluded_by_operator.push(server);
        }
        for process in self.processes.indexes() {
            if self.processes[process].alive && self.processes[process].tier == fault.tier {
                self.notify_of_exclusion(process, server);
            }
        }
    }

    /// Makes a server fail requests, stop answering, break connections or become slow, or ends such a fault.
    pub(super) fn set_server_fault(&mut self, fault: &Fault, server: ServerIndex, status: FaultStatus) {
        let active = status == FaultStatus::Active;
        let usual_error_rate = self.scenario.tiers[fault.tier].error_rate;
        let class = self.fault_class(fault);
        let record = &mut self.servers[server];
        record.advance(self.now);
        match fault.kind {
            FaultKind::FastErrors => record.error_rate = if active { fault.share } else { usual_error_rate },
            FaultKind::Silent => record.silent = active,
            FaultKind::Resets => record.reset_rate = if active { fault.share } else { 0.0 },
            _ => record.slowdown = active.then_some(Slowdown { factor: fault.factor, class }),
        }
        self.plan_next_change(server);
    }
}
