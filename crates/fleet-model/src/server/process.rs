//! Life cycle of a server's process.

use zincstand_policy::Micros;

use super::{JobIndex, Server};

/// State of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    /// It accepts requests.
    Running,
    /// It completes its jobs and rejects new requests.
    Draining,
    /// It has ended.
    Stopped,
    /// It ended because it was overloaded while it warmed up. It does not start again during the scenario.
    Collapsed,
}

impl Server {
    /// Whether the process runs, draining or not.
    pub fn is_up(&self) -> bool {
        matches!(self.process, ProcessState::Running | ProcessState::Draining)
    }

    /// Whether the process runs and drains.
    pub fn is_draining(&self) -> bool {
        self.process == ProcessState::Draining
    }

    /// Whether the server has collapsed.
    pub fn has_collapsed(&self) -> bool {
        self.process == ProcessState::Collapsed
    }

    /// Starts to drain. Has no effect on a process that does not run.
    pub fn drain(&mut self) {
        if self.process == ProcessState::Running {
            self.process = ProcessState::Draining;
        }
    }

    /// Ends the process and returns its jobs, which are lost.
    pub fn stop(&mut self) -> Vec<JobIndex> {
        self.process = ProcessState::Stopped;
        self.epoch += 1;
        self.plan_version += 1;
        self.connections = 0;
        if let Some(choke) = &mut self.choke {
            choke.reset();
        }
        self.running.clear();
        self.queue.clear();
        self.warm_up_window.clear();
        self.slots_in_use = 0;
        self.pending_work = 0.0;
        std::mem::take(&mut self.jobs).into_iter().collect()
    }

    /// Marks a stopped server as collapsed.
    pub fn collapse(&mut self) {
        self.process = ProcessState::Collapsed;
    }

    /// Starts a new process, which warms up.
    pub fn start(&mut self, now: Micros) {
        self.process = ProcessState::Running;
        self.vanished = false;
        self.started = Some(now);
        self.work_since_start = 0.0;
        self.advanced_to = now;
        self.paused = false;
    }
}
