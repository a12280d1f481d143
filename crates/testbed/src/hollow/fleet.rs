//! The fleet of hollow balancers and the threads that run them.

use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;
use zincstand_policy::ServerState;
use zincstand_settings::{Names, Setup};

use super::control::{FleetControl, MarkedEntry};
use super::group::{BalancerGroup, GroupCommand};
use super::settings::platform_settings;
use super::{FleetError, FleetOptions, ListApplied, SlowBalancers};

/// Running hollow balancers. Dropping the fleet stops them.
pub struct HollowFleet {
    workers: Vec<Worker>,
    applied: mpsc::Receiver<ListApplied>,
    control: Arc<FleetControl>,
    slow: Option<SlowBalancers>,
}

/// A thread that runs some of the balancers. Dropping it ends the thread.
struct Worker {
    commands: Option<UnboundedSender<GroupCommand>>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    fn start(group: BalancerGroup) -> Result<Worker, FleetError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (commands, receiver) = unbounded_channel();
        let run_group = move || LocalSet::new().block_on(&runtime, group.run(receiver));
        let thread = std::thread::Builder::new().name("hollow".to_owned()).spawn(run_group)?;
        Ok(Worker { commands: Some(commands), thread: Some(thread) })
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        // Dropping the sender of commands ends the thread.
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The balancers that one thread runs.
struct ThreadAssignment {
    balancers: Vec<u32>,
    slow: Option<SlowBalancers>,
}

/// Assigns the balancers to threads. All slow balancers run on one additional thread.
fn assign_to_threads(options: &FleetOptions) -> Vec<ThreadAssignment> {
    let threads = options.threads.max(1);
    let assign = |thread: u32| {
        let balancers = (0..options.balancers)
            .filter(|balancer| !options.is_slow(*balancer) && balancer % threads == thread)
            .collect();
        ThreadAssignment { balancers, slow: None }
    };
    let mut assignments: Vec<_> = (0..threads).map(assign).collect();
    if let Some(slow) = options.slow {
        let balancers = (0..options.balancers).filter(|balancer| options.is_slow(*balancer)).collect();
        assignments.push(ThreadAssignment { balancers, slow: Some(slow) });
    }
    assignments
}

impl HollowFleet {
    /// Starts the balancers. Depending on the update mode, each requests its list immediately or when its policy polls.
    ///
    /// # Errors
    ///
    /// A [`FleetError`] if the settings are invalid or a thread cannot be started.
    pub fn start(options: &FleetOptions) -> Result<HollowFleet, FleetError> {
        let setup: Setup = serde_json::from_value(platform_settings(options))?;
        let mut names = Names::default();
        let settings = setup.to_policy_settings(&mut names)?;
        let names = Arc::new(names);
        let control = Arc::new(FleetControl::default());
        let (applied_sender, applied) = mpsc::channel();
        let start = |assignment: ThreadAssignment| {
            Worker::start(BalancerGroup {
                balancers: assignment.balancers,
                slow: assignment.slow,
                settings: settings.clone(),
                names: names.clone(),
                options: options.clone(),
                applied: applied_sender.clone(),
                control: control.clone(),
            })
        };
        let workers = assign_to_threads(options).into_iter().map(start).collect::<Result<Vec<_>, _>>()?;
        Ok(HollowFleet { workers, applied, control, slow: options.slow })
    }

    /// Sets whether the threads of slow balancers are blocked repeatedly. Initially they are not.
    pub fn set_stalling(&self, is_stalling: bool) {
        self.control.is_stalling.store(is_stalling, Relaxed);
    }

    /// Reports later lists as marked if they contain an entry of this instance with this state.
    pub fn mark(&self, instance: &str, state: ServerState) {
        if let Ok(mut mark) = self.control.mark.write() {
            *mark = Some(MarkedEntry { instance: instance.to_owned(), state });
        }
    }

    /// Returns the lists that balancers have applied since the previous call. Does not wait.
    pub fn applied(&self) -> impl Iterator<Item = ListApplied> + '_ {
        self.applied.try_iter()
    }

    /// Waits for the next list that a balancer applies. Returns `None` after `timeout`.
    pub fn next_applied(&self, timeout: Duration) -> Option<ListApplied> {
        self.applied.recv_timeout(timeout).ok()
    }

    /// Returns whether a balancer is slow.
    pub fn is_slow(&self, balancer: u32) -> bool {
        self.slow.is_some_and(|slow| slow.includes(balancer))
    }

    /// Returns the total processor time of the balancers' threads.
    pub fn processor_time(&self) -> Duration {
        let request_time = |worker: &Worker| {
            let (sender, time) = mpsc::channel();
            worker.commands.as_ref()?.send(GroupCommand::ProcessorTime(sender)).ok()?;
            Some(time)
        };
        // The command is sent to all threads before the first reply is awaited.
        let replies: Vec<_> = self.workers.iter().filter_map(request_time).collect();
        replies.iter().filter_map(|time| time.recv().ok()).sum()
    }
}
