//! A server: cores that its jobs share, slots, a queue, and the conditions that make it slow.

mod capacity;
mod choke;
mod ground_truth;
mod jobs;
mod process;
mod warm_up;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

use rand::RngExt;
use zincstand_policy::Micros;

use self::choke::ChokeState;
use self::warm_up::WarmUpWorkWindow;
use crate::random::{self, Purpose};
use crate::scenario::{DistributionKind, Tier};

pub(crate) use self::capacity::Condition;
pub use self::ground_truth::{GroundTruth, TrueState};
pub(crate) use self::jobs::{JobAdmission, JobIndex};
pub(crate) use self::process::ProcessState;
pub(crate) use self::warm_up::{OverloadRule, WarmUpWork};

/// Shortest warm-up time of a server, as a share of the warm-up time of its tier.
const MIN_WARM_UP_TIME_SHARE: f64 = 0.6;

/// Location of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerPlace {
    /// Index of the tier.
    pub tier: usize,
    /// Index of the zone.
    pub zone: u32,
    /// Number of the cell. The servers of a cell share the idempotency keys that they have received.
    pub cell: u32,
    /// Index of the network address. A replacement takes over the address of its predecessor.
    pub address: usize,
}

/// A fault that makes work take longer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    /// Factor of the work.
    pub factor: f64,
    /// Index of the affected class. `None` affects all classes.
    pub class: Option<usize>,
}

/// Attempts that a server answered since it was last sampled.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnsweredAttempts {
    count: u32,
    total_latency: Micros,
}

impl AnsweredAttempts {
    /// Adds an answered attempt with its latency in microseconds.
    pub fn add(&mut self, latency: Micros) {
        self.count += 1;
        self.total_latency += latency;
    }

    /// Returns the mean latency in microseconds, or 0 if no attempt was answered.
    pub fn mean_latency(self) -> f64 {
        self.total_latency as f64 / f64::from(self.count.max(1))
    }
}

/// Properties of a server that do not change.
struct Properties {
    cores: f64,
    /// Work that one core does in a microsecond.
    speed: f64,
    slots: usize,
    queue_capacity: usize,
    /// Loss of efficiency for each job beyond `thrash_threshold`, as a share.
    thrash: f64,
    /// Number of jobs above which the server loses efficiency.
    thrash_threshold: f64,
    /// Share of its full capacity with which the server starts.
    initial_capacity: f64,
    warm_up_time: Micros,
    max_connections: u32,
    /// Share of its capacity that a full table of connections consumes.
    full_table_overhead: f64,
}

impl Properties {
    fn draw(seed: u64, number: u64, tier: &Tier) -> Properties {
        let mut rng = random::stream(seed, Purpose::Server, number);
        let speed = tier.speed * random::factor(&mut rng, DistributionKind::Lognormal, tier.speed_cv);
        // Warm-up times differ between servers and never exceed that of the tier.
        let warm_up_time_share =
            MIN_WARM_UP_TIME_SHARE + (1.0 - MIN_WARM_UP_TIME_SHARE) * rng.random::<f64>();
        Properties {
            cores: f64::from(tier.cores),
            speed,
            slots: tier.slots as usize,
            queue_capacity: tier.queue_capacity as usize,
            thrash: tier.thrash,
            thrash_threshold: tier.thrash_threshold,
            initial_capacity: tier.initial_capacity,
            warm_up_time: (tier.warm_up_time.0 as f64 * warm_up_time_share) as Micros,
            max_connections: tier.connections.max_connections,
            full_table_overhead: tier.connections.full_table_overhead,
        }
    }
}

/// A server with its current state.
pub(crate) struct Server {
    /// Index of the tier.
    pub tier: usize,
    /// Index of the zone.
    pub zone: u32,
    /// Number of the cell. The servers of a cell share the idempotency keys that they have received.
    pub cell: u32,
    /// Index of the network address.
    pub address: usize,
    properties: Properties,
    process: ProcessState,
    /// Whether the machine has vanished, so that it does not react to any message.
    pub vanished: bool,
    /// Number of the current process. It increases when a process ends.
    pub epoch: u32,
    /// Start time of the process. `None` if it has run since the beginning of the scenario.
    pub started: Option<Micros>,
    /// Number of established connections.
    pub connections: u32,
    choke: Option<ChokeState>,
    /// Time for which the cores were busy since the beginning of the scenario, in microseconds.
    busy_time: f64,
    paused: bool,
    /// Jobs that share the cores, ordered by the virtual service at which each is done. The bits of a non-negative
    /// float have the same order as its value.
    running: BinaryHeap<Reverse<(u64, JobIndex)>>,
    queue: VecDeque<JobIndex>,
    /// Jobs that occupy a slot or wait for one.
    jobs: BTreeSet<JobIndex>,
    slots_in_use: usize,
    /// Virtual service: the work that each running job has received since the cores were last idle, in microseconds.
    virtual_service: f64,
    /// Time up to which the service of the jobs has been counted.
    advanced_to: Micros,
    /// Work done since the start of the process, which warms the server up.
    work_since_start: f64,
    /// Version of the planned next change. Events of earlier versions are ignored.
    pub plan_version: u32,
    /// Work of the jobs that run or wait, in microseconds.
    pub pending_work: f64,
    /// Share of requests that fail immediately.
    pub error_rate: f64,
    /// Whether the server accepts requests without answering any.
    pub silent: bool,
    /// Share of requests whose connection breaks.
    pub reset_rate: f64,
    /// Fault that makes work take longer. `None` if there is none.
    pub slowdown: Option<Slowdown>,
    /// Attempts answered since the last sample.
    pub answered: AnsweredAttempts,
    warm_up_window: WarmUpWorkWindow,
}

impl Server {
    /// Creates a warm server whose process runs. Its speed and warm-up time are drawn for `number`, from the values of
    /// the tier.
    pub fn new(seed: u64, number: u64, tier: &Tier, place: ServerPlace) -> Server {
        Server {
            tier: place.tier,
            zone: place.zone,
            cell: place.cell,
            address: place.address,
            properties: Properties::draw(seed, number, tier),
            process: ProcessState::Running,
            vanished: false,
            epoch: 0,
            started: None,
            connections: 0,
            choke: tier.choke.clone().map(ChokeState::new),
            busy_time: 0.0,
            paused: false,
            running: BinaryHeap::new(),
            queue: VecDeque::new(),
            jobs: BTreeSet::new(),
            slots_in_use: 0,
            virtual_service: 0.0,
            advanced_to: 0,
            work_since_start: 0.0,
            plan_version: 0,
            pending_work: 0.0,
            error_rate: tier.error_rate,
            silent: false,
            reset_rate: 0.0,
            slowdown: None,
            answered: AnsweredAttempts::default(),
            warm_up_window: WarmUpWorkWindow::default(),
        }
    }

    /// Creates a server that takes over the address of `predecessor`. Its process is not started, and the predecessor's
    /// connections do not lead to it.
    pub fn replacement(seed: u64, number: u64, tier: &Tier, predecessor: &Server) -> Server {
        let place = ServerPlace {
            tier: predecessor.tier,
            zone: predecessor.zone,
            cell: predecessor.cell,
            address: predecessor.address,
        };
        let mut server = Server::new(seed, number, tier, place);
        server.epoch = predecessor.epoch + 1;
        server.process = ProcessState::Stopped;
        server
    }

    /// Whether the server is choked now.
    pub fn is_choked(&self) -> bool {
        self.choke.as_ref().is_some_and(ChokeState::is_choked)
    }

    /// Whether the server has choked at least once.
    pub fn has_ever_choked(&self) -> bool {
        self.choke.as_ref().is_some_and(ChokeState::has_ever_choked)
    }

    /// Whether the server accepts no further connections.
    pub fn is_connection_table_full(&self) -> bool {
        self.connections >= self.properties.max_connections
    }

    /// Updates the choke state. The server may choke or recover.
    pub fn update_choke(&mut self, now: Micros) {
        let excess_jobs = self.running_or_waiting() - self.properties.cores;
        if let Some(choke) = &mut self.choke {
            choke.update(now, excess_jobs, self.properties.cores, self.busy_time);
        }
    }

    /// Pauses or resumes the work of the cores.
    pub fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Records work that arrives while the server warms up. If it exceeds the limit of the rule, returns the share of
    /// the work whose senders had been notified of the start.
    pub fn record_warm_up_work(&mut self, arrived: WarmUpWork, rule: OverloadRule) -> Option<f64> {
        let share = self.warm_share(arrived.at);
        if share >= 1.0 {
            self.warm_up_window.clear();
            return None;
        }
        let limit = rule.factor * share * self.properties.cores * self.properties.speed * rule.window as f64;
        self.warm_up_window.add(arrived, rule.window, limit)
    }
}
