//! The balancer processes: the system calls that fail in them, and the disruptions of whole processes.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::common::{Balancer, Setup, SharedFolder, free_listener};
use crate::invariants::{check_exit, check_is_running, check_log};
use crate::record::Record;

/// Number of balancers. At most as many processes are replaced, so that a run has up to twice as many processes.
pub const BALANCER_COUNT: usize = FAULT_PLANS.len();
/// The system calls that fail, one plan for each balancer.
const FAULT_PLANS: [&str; 6] = [
    "",
    "recv:EINTR/5,send:EINTR/7,peek:EINTR/3",
    "accept4:ECONNABORTED/4,epoll_wait:EINTR/9",
    "recv:short=19,send:short=23",
    "connect:EADDRNOTAVAIL/40,socket:ENOBUFS/50,accept4:ENFILE/6",
    "clock:3600000,connect:EINTR/3,fsync:EIO,write:ENOSPC/2",
];
/// Deadline of every class, in milliseconds.
const CLASS_DEADLINE_MS: u32 = 1500;
/// Range of the pauses between two disruptions, in milliseconds.
const PAUSE_RANGE_MS: std::ops::Range<u64> = 20..200;
/// Longest suspension of a process, in milliseconds.
const MAX_SUSPENSION_MS: u64 = 100;

/// A disruption of a running process.
#[derive(Clone, Copy)]
enum Disruption {
    /// Suspends the process for a moment.
    Suspend,
    /// Reloads the same configuration.
    Reload,
    /// Excludes an upstream and includes it again, by the admin API.
    Override,
    /// Starts a successor while the process still runs, and then shuts the process down.
    Replace,
    /// Disrupts nothing.
    Nothing,
}

/// The disruptions, each as likely as the others.
const DISRUPTIONS: [Disruption; 5] =
    [Disruption::Suspend, Disruption::Reload, Disruption::Override, Disruption::Replace, Disruption::Nothing];

/// A balancer whose process is replaced during a run: the current process, and what its successors inherit.
struct ReplaceableBalancer {
    process: Balancer,
    listener: TcpListener,
    folder: SharedFolder,
    fault_plan: &'static str,
}

/// A process that was replaced and is shutting down.
struct Predecessor {
    process: Balancer,
    fault_plan: &'static str,
}

/// All balancers of a run.
pub struct Fleet {
    upstreams: Vec<SocketAddr>,
    balancers: Vec<ReplaceableBalancer>,
    predecessors: Vec<Predecessor>,
}

impl Fleet {
    /// Returns a fleet that forwards to these upstreams and has no balancers yet.
    pub fn new(upstreams: Vec<SocketAddr>) -> Fleet {
        Fleet { upstreams, balancers: Vec::new(), predecessors: Vec::new() }
    }

    /// Starts the balancer with this number and returns its address.
    pub fn start_balancer(&mut self, seed: u64, number: usize) -> SocketAddr {
        let listener = free_listener();
        let address = listener.local_addr().expect("the local address is known");
        let folder = SharedFolder::new(&format!("soak-{seed}-{number}"));
        let fault_plan = FAULT_PLANS[number];
        let process = start_process(&self.upstreams, &listener, &folder, fault_plan);
        self.balancers.push(ReplaceableBalancer { process, listener, folder, fault_plan });
        address
    }

    /// Disrupts random processes, one at a time, until `end`.
    pub fn disrupt_until(&mut self, end: Instant, rng: &mut Rng, record: &Record) {
        while Instant::now() < end {
            std::thread::sleep(Duration::from_millis(rng.u64(PAUSE_RANGE_MS)));
            let index = rng.usize(0..self.balancers.len());
            let disruption = DISRUPTIONS[rng.u32(0..DISRUPTIONS.len() as u32) as usize];
            self.disrupt(index, disruption, rng, record);
        }
    }

    fn disrupt(&mut self, index: usize, disruption: Disruption, rng: &mut Rng, record: &Record) {
        let process = &self.balancers[index].process;
        match disruption {
            Disruption::Suspend => {
                let suspension = Duration::from_millis(rng.u64(0..MAX_SUSPENSION_MS));
                process.while_suspended(|| std::thread::sleep(suspension));
            }
            Disruption::Reload => {
                let config =
                    std::fs::read_to_string(&process.config_path).expect("the configuration can be read");
                process.reload(&config);
            }
            Disruption::Override => {
                let _ = process.admin_status("POST", "/api/exclude/s-0");
                let _ = process.admin_status("POST", "/api/include/s-0");
            }
            Disruption::Replace if self.predecessors.len() < BALANCER_COUNT => self.replace(index, record),
            Disruption::Replace | Disruption::Nothing => {}
        }
    }

    /// Starts a successor, which must be ready at once, and shuts the process down, as in a hot restart.
    fn replace(&mut self, index: usize, record: &Record) {
        let balancer = &mut self.balancers[index];
        let fault_plan = balancer.fault_plan;
        let successor = start_process(&self.upstreams, &balancer.listener, &balancer.folder, fault_plan);
        let status = successor.admin_status("GET", "/api/ready");
        if status != 200 {
            record.add_violation(format!(
                "start: a successor with {fault_plan:?} is not ready at once: status {status}"
            ));
        }
        let process = std::mem::replace(&mut balancer.process, successor);
        process.terminate();
        self.predecessors.push(Predecessor { process, fault_plan });
    }

    /// Checks that the current processes run, that their predecessors exit cleanly, and that no log reports a defect.
    /// Returns the number of processes that were replaced.
    pub fn check_processes(&mut self, record: &Record) -> usize {
        for balancer in &mut self.balancers {
            check_is_running(record, &mut balancer.process, balancer.fault_plan);
            check_log(record, &balancer.process, balancer.fault_plan);
        }
        for predecessor in &mut self.predecessors {
            check_exit(record, &mut predecessor.process, predecessor.fault_plan);
            check_log(record, &predecessor.process, predecessor.fault_plan);
        }
        self.predecessors.len()
    }
}

/// Starts a process that inherits a listener and shares a folder with its predecessors.
fn start_process(
    upstreams: &[SocketAddr],
    listener: &TcpListener,
    folder: &SharedFolder,
    fault_plan: &str,
) -> Balancer {
    let setup = Setup::with_upstreams(upstreams).inherited_listener(listener).folder(folder);
    setup.with_admin().faults(fault_plan).deadline_ms(CLASS_DEADLINE_MS).start()
}
