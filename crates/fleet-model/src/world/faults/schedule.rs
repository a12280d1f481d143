//! Schedule of the stages of faults.

use zincstand_policy::Micros;

use super::{RESTART_DELAY, SHUTDOWN_GRACE};
use crate::scenario::{Fault, FaultKind};
use crate::world::World;
use crate::world::event::{FaultStage, TargetStep, WorldEvent};

/// Times at which a balancer's process starts to drain and ends, and at which the next process starts.
struct BalancerTimes {
    drain: Micros,
    stop: Micros,
    start: Micros,
}

impl World<'_> {
    /// Schedules all stages of all faults of the scenario.
    pub(in crate::world) fn schedule_faults(&mut self) {
        let scenario = self.scenario;
        for (number, fault) in scenario.faults.iter().enumerate() {
            let number = number as u32;
            let targets = self.fault_targets(fault).len() as u32;
            match fault.kind {
                FaultKind::RollingDeploy => self.schedule_deploy(number, fault, targets),
                FaultKind::Replaced => self.schedule_replacements(number, fault, targets),
                FaultKind::ProcessReplaced | FaultKind::BalancerRestart | FaultKind::BalancerKilled => {
                    self.schedule_balancer_steps(number, fault, targets);
                }
                _ => {
                    self.schedule_stage(number, fault.at.0, FaultStage::Begin);
                    let end = fault.at.0 + fault.length.0;
                    self.schedule_stage(number, end, FaultStage::End);
                }
            }
            if fault.kind == FaultKind::ExcludedByOperators && fault.restarts {
                self.schedule_restarts(number, fault, targets);
            }
        }
    }

    fn schedule_stage(&mut self, fault: u32, at: Micros, stage: FaultStage) {
        self.schedule_at(at, WorldEvent::FaultStage { fault, stage });
    }

    fn schedule_target_step(&mut self, fault: u32, at: Micros, target: u32, step: TargetStep) {
        self.schedule_stage(fault, at, FaultStage::Target { target, step });
    }

    /// Schedules the drain and restart of servers in batches over the length of the fault.
    fn schedule_deploy(&mut self, number: u32, fault: &Fault, targets: u32) {
        let batch = (fault.share * f64::from(targets)).ceil().max(1.0) as u32;
        let rounds = targets.div_ceil(batch).max(1);
        for target in 0..targets {
            let at = fault.at.0 + fault.length.0 * u64::from(target / batch) / u64::from(rounds);
            let stop = at + fault.drain_time.0;
            self.schedule_target_step(number, at, target, TargetStep::Drain);
            self.schedule_target_step(number, stop, target, TargetStep::Stop);
            self.schedule_target_step(number, stop + RESTART_DELAY, target, TargetStep::Start);
        }
    }

    /// Schedules the replacement of servers one after the other over the length of the fault.
    fn schedule_replacements(&mut self, number: u32, fault: &Fault, targets: u32) {
        for target in 0..targets {
            let stop = fault.at.0 + fault.length.0 * u64::from(target) / u64::from(targets.max(1));
            self.schedule_target_step(number, stop, target, TargetStep::Stop);
            self.schedule_target_step(number, stop + RESTART_DELAY, target, TargetStep::Start);
        }
    }

    fn schedule_balancer_steps(&mut self, number: u32, fault: &Fault, targets: u32) {
        for target in 0..targets {
            let times = self.balancer_times(fault, target, targets);
            self.schedule_target_step(number, times.drain, target, TargetStep::Drain);
            self.schedule_target_step(number, times.stop, target, TargetStep::Stop);
            self.schedule_target_step(number, times.start, target, TargetStep::Start);
        }
    }

    /// Returns the times of a balancer's steps. All balancers are killed at the same time, but restarted or replaced
    /// one after the other.
    fn balancer_times(&self, fault: &Fault, target: u32, targets: u32) -> BalancerTimes {
        if fault.kind == FaultKind::BalancerKilled {
            let at = fault.at.0;
            return BalancerTimes { drain: at, stop: at, start: at + fault.length.0 };
        }
        let longest = self.scenario.classes.iter().map(|class| class.deadline.0).max().unwrap_or(0);
        let interval = fault.length.0 / u64::from(targets.max(1));
        let drain = fault.at.0 + u64::from(target) * interval;
        let stop = drain + longest + SHUTDOWN_GRACE;
        // In a hot restart, the next process starts first, and serves while the old process drains.
        let start = if fault.kind == FaultKind::ProcessReplaced { drain } else { stop + RESTART_DELAY };
        BalancerTimes { drain, stop, start }
    }

    /// Schedules the restart of servers that operators have excluded. They warm up when they are included again.
    fn schedule_restarts(&mut self, number: u32, fault: &Fault, targets: u32) {
        let latest = fault.length.0.saturating_sub(RESTART_DELAY);
        let stop = fault.at.0 + fault.drain_time.0.min(latest);
        for target in 0..targets {
            self.schedule_target_step(number, stop, target, TargetStep::Stop);
            self.schedule_target_step(number, stop + RESTART_DELAY, target, TargetStep::Start);
        }
    }
}
