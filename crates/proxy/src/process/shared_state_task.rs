//! The task that polls the state that the processes of a balancer share. It limits this process to a new share of the
//! resources when the number of running processes changes, and applies operator overrides that another process has stored.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::downstream::Server;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::hot_restart::ProcessRegistration;
use crate::log::log_line;
use crate::process::core::Core;
use crate::process::resource_limits::ResourceBudget;
use crate::process::transport::SocketTransport;
use crate::request_ids::RequestIds;

/// Time between two checks of the number of running processes and of the operator overrides. The dispatcher also applies
/// exclusions before each event, so for exclusions the interval matters only while no event occurs. An evacuation by
/// another process takes effect within this interval.
const SHARED_STATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The number of running processes of this balancer, as last counted.
pub struct ProcessCount {
    /// The lock files by which the processes count each other, or `None` if this process does not count others.
    registration: Option<ProcessRegistration>,
    /// Number of running processes at the last count, including this one.
    running: usize,
}

impl ProcessCount {
    /// Counts the running processes. If `registration` is `None`, the count is 1, for this process.
    pub fn new(registration: Option<ProcessRegistration>) -> ProcessCount {
        let running = count_processes(registration.as_ref());
        ProcessCount { registration, running }
    }

    /// Returns the number of this process among those of its balancer, or `None` if this process does not count others.
    pub fn slot(&self) -> Option<u8> {
        self.registration.as_ref().map(ProcessRegistration::slot)
    }

    /// Returns how many processes of this balancer, including this one, were running at the last count.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns whether another process of this balancer was running at the last count.
    pub fn others_running(&self) -> bool {
        self.running > 1
    }

    /// Counts the processes again. Returns whether the number has changed.
    fn recount(&mut self) -> bool {
        let processes = count_processes(self.registration.as_ref());
        std::mem::replace(&mut self.running, processes) != processes
    }
}

/// Returns how many processes of this balancer are running, including this one.
fn count_processes(registration: Option<&ProcessRegistration>) -> usize {
    1 + registration.map_or(0, ProcessRegistration::count_others)
}

/// The task that polls the state that the processes of the balancer share.
pub struct SharedStateTask {
    /// The number of running processes.
    pub process_count: ProcessCount,
    /// The resources that all processes of the balancer share.
    pub budget: ResourceBudget,
    /// The core, whose dispatcher applies exclusions and whose upstream connections are limited to this process's share.
    pub core: Rc<Core>,
    /// The lifecycle, which follows the evacuation of the balancer.
    pub lifecycle: Rc<Lifecycle>,
    /// The server of the clients' connections, which are limited to this process's share.
    pub server: Rc<Server<SocketTransport>>,
    /// The ids of the requests, which the processes share.
    pub request_ids: Rc<RequestIds>,
}

impl SharedStateTask {
    /// Spawns the task.
    pub fn spawn(self) {
        spawn_local(self.run());
    }

    /// Checks the number of running processes and the overrides at regular intervals. Never returns.
    async fn run(mut self) {
        loop {
            sleep(SHARED_STATE_CHECK_INTERVAL).await;
            self.lifecycle.apply_overrides();
            self.core.dispatcher.apply_overrides();
            self.request_ids.synchronize();
            if self.process_count.recount() {
                self.apply_process_count();
            }
        }
    }

    /// Applies a changed number of processes: limits this process to its new share of the resources and records whether
    /// another process is running.
    fn apply_process_count(&self) {
        let processes = self.process_count.running();
        log_line!(
            "hot restart: {processes} processes of this balancer are running and share its descriptors \
             and memory"
        );
        let limits = self.budget.limits_per_process(processes);
        self.core.memory.resize(limits.memory_bytes);
        self.core.upstreams.resize(limits.upstream_connections);
        self.server.resize(limits.client_connections);
        self.lifecycle.set_other_process_running(self.process_count.others_running());
        self.request_ids.set_others_running(self.process_count.others_running());
    }
}
