//! Faults of balancers of the first tier: kills, restarts, and hot restarts, in which the next process serves while the
//! old one drains.

use zincstand_policy::LearnedState;

use super::{CLIENT_REROUTE_DELAY, READY_DELAY};
use crate::scenario::{Fault, FaultKind};
use crate::world::World;
use crate::world::event::{TargetStep, WorldEvent};
use crate::world::index::ProcessIndex;
use crate::world::processes::ProcessEnd;

impl World<'_> {
    /// Executes a step of the kill, restart or replacement of a balancer.
    pub(super) fn balancer_step(&mut self, fault: &Fault, balancer: usize, step: TargetStep) {
        let replaced = fault.kind == FaultKind::ProcessReplaced;
        match step {
            // The old process serves until the new one is ready, so clients need no other balancer.
            TargetStep::Drain if replaced => {}
            TargetStep::Drain => {
                let notice = match fault.kind {
                    FaultKind::BalancerKilled => self.scenario.balancers.detection_delay.0,
                    _ => CLIENT_REROUTE_DELAY,
                };
                let event = WorldEvent::FrontUpdate { balancer: balancer as u32, open: false };
                self.schedule_after(notice, event);
            }
            TargetStep::Stop => {
                let process = if replaced {
                    self.replaced_process(balancer)
                } else {
                    self.front_balancers[balancer].process
                };
                if let Some(process) = process {
                    self.end_process(process, ProcessEnd::ConnectionsReset);
                }
            }
            TargetStep::Start => {
                let learned =
                    if fault.restores_learned_state { self.learned_state_of(balancer) } else { None };
                self.start_front_balancer(balancer, learned);
                if !replaced {
                    let event = WorldEvent::FrontUpdate { balancer: balancer as u32, open: true };
                    self.schedule_after(READY_DELAY, event);
                }
            }
        }
    }

    /// Returns the old process of a balancer, if it still runs in parallel with the current process.
    fn replaced_process(&self, balancer: usize) -> Option<ProcessIndex> {
        let current = self.front_balancers[balancer].process;
        self.processes.indexes().find(|&process| {
            let record = &self.processes[process];
            let of_balancer = record.tier == 0 && record.balancer == balancer as u32;
            record.alive && of_balancer && Some(process) != current
        })
    }

    /// Returns the learned state of the current process of a balancer.
    fn learned_state_of(&self, balancer: usize) -> Option<LearnedState> {
        let process = self.front_balancers[balancer].process?;
        let record = &self.processes[process];
        record.policy.learned_state(self.now + record.clock_offset)
    }
}
