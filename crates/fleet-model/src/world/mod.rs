//! The simulated fleet: a queue of events in virtual time, and the state that the events change.
//!
//! Each submodule owns one concern and implements it on [`World`]: clients, balancer processes, attempts, servers,
//! discovery and faults.

mod actions;
mod arrivals;
mod attempt_arrival;
mod attempts;
mod attribution;
mod clients;
mod connections;
mod discovery;
mod event;
mod faults;
mod index;
mod jobs;
mod keys;
mod messages;
mod processes;
mod recording;
mod sampling;
mod servers;
mod setup;
mod state;

use zincstand_policy::{Action, Micros, Settings, SettingsError};

use self::discovery::Change;
use self::event::{EventQueue, WorldEvent};
use self::index::{ArrivalIndex, AttemptIndex, ProcessIndex, RequestIndex, ServerIndex};
use self::state::{Attempt, ClientAttempt, FrontBalancer, HeavyTail, Job, Process, Request};
use crate::policy::{Kind, Policy};
use crate::random::{self, Purpose};
use crate::scenario::{Scenario, ScenarioError};
use crate::scoring::{Arrival, Detail, FinishedRun, Metrics, Sample, Score, ScoredRun, ServerOutcome};
use crate::server::{JobIndex, Server};
use crate::table::Table;

pub(crate) use self::recording::{ArrivalAtServer, ServerStart, StartRecording};

const MICROS_PER_SECOND: Micros = 1_000_000;

/// State of a running scenario.
struct World<'d> {
    scenario: &'d Scenario,
    create_policy: PolicyFactory<'d>,
    now: Micros,
    queue: EventQueue,
    /// Requests of all clients, in the order of their first attempts.
    arrivals: Table<ArrivalIndex, Arrival>,
    /// The latest attempt of each request of a client.
    client_attempts: Table<ArrivalIndex, ClientAttempt>,
    servers: Table<ServerIndex, Server>,
    /// The server at each address. A replacement takes over the address of its predecessor.
    server_at_address: Vec<ServerIndex>,
    /// The first address of each tier.
    first_address_of_tier: Vec<usize>,
    front_balancers: Vec<FrontBalancer>,
    /// Balancers to which the clients of each zone connect.
    front_routes: Vec<Vec<u32>>,
    processes: Table<ProcessIndex, Process>,
    /// The process of each server's own balancer, through which it calls the next tier.
    sidecars: Table<ServerIndex, Option<ProcessIndex>>,
    requests: Table<RequestIndex, Request>,
    attempts: Table<AttemptIndex, Attempt>,
    jobs: Table<JobIndex, Job>,
    /// Detected changes by tier, in the order of their detection.
    discovery_log: Vec<Vec<Change>>,
    discovery_down: bool,
    /// Whether each zone is cut off by a partition.
    partitioned_zones: Vec<bool>,
    excluded_by_operator: Vec<ServerIndex>,
    heavy_tails: Vec<HeavyTail>,
    /// Servers that collapsed under load while warming up.
    collapsed: usize,
    metrics: Metrics,
    /// Buffer for the actions of one event, which is reused to avoid allocations.
    actions: Vec<Action>,
    /// Samples of all servers by second. `None` in a run without details.
    samples: Option<Vec<Vec<Sample>>>,
    /// Attempts that servers receive after their start. `None` unless the run records them.
    start_recording: Option<StartRecording>,
}

/// Result of running a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    /// Result of the scenario.
    pub result: Score,
    /// Values by second, losses and, in a run with details, samples of servers.
    pub detail: Detail,
}

/// Result of a run in which the work that reached starting servers was recorded.
pub(crate) struct RecordedRun {
    /// Result of the run.
    pub run: ScenarioRun,
    /// Starts of servers, and the attempts that reached them afterwards.
    pub recording: StartRecording,
}

/// Function that creates the policy of a process from its settings and a seed.
pub type PolicyFactory<'a> = &'a (dyn Fn(Settings, u64) -> Result<Box<dyn Policy>, SettingsError> + Sync);

/// Runs a scenario with one kind of policy. With `detail`, servers are sampled every second.
///
/// # Errors
///
/// The scenario contradicts itself; the error names the key.
pub fn run_scenario(scenario: &Scenario, kind: Kind, detail: bool) -> Result<ScenarioRun, ScenarioError> {
    run_scenario_with(scenario, &|settings, seed| kind.create_policy(settings, seed), detail)
}

/// Runs a scenario with policies that `create_policy` creates. With `detail`, servers are sampled every second.
///
/// # Errors
///
/// The scenario contradicts itself, or `create_policy` rejects the settings that follow from it.
pub fn run_scenario_with(
    scenario: &Scenario,
    create_policy: PolicyFactory<'_>,
    detail: bool,
) -> Result<ScenarioRun, ScenarioError> {
    scenario.check()?;
    for tier in 0..scenario.tiers.len() {
        let settings = scenario.settings(tier, 0, 0);
        create_policy(settings, 0)?;
    }
    let mut world = World::new(scenario, create_policy, detail);
    world.run();
    Ok(world.finish())
}

/// Runs a scenario and records what servers receive after their start. No server collapses, so that all of it is seen.
///
/// # Errors
///
/// The scenario contradicts itself; the error names the key.
pub(crate) fn run_recorded(scenario: &Scenario, kind: Kind) -> Result<RecordedRun, ScenarioError> {
    scenario.check()?;
    let create_policy = |settings, seed| kind.create_policy(settings, seed);
    let mut world = World::new(scenario, &create_policy, false);
    world.start_recording = Some(StartRecording::default());
    world.run();
    let recording = world.start_recording.take().unwrap_or_default();
    Ok(RecordedRun { run: world.finish(), recording })
}

impl World<'_> {
    /// Schedules an event. An event in the past happens now.
    fn schedule_at(&mut self, at: Micros, event: WorldEvent) {
        self.queue.schedule(at.max(self.now), event);
    }

    fn schedule_after(&mut self, delay: Micros, event: WorldEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Processes events until none is left, or until every request of the scenario must have ended.
    fn run(&mut self) {
        let longest = self.scenario.classes.iter().map(|class| class.deadline.0).max().unwrap_or(0);
        let end = self.scenario.length.0 + 2 * longest + MICROS_PER_SECOND;
        while let Some(next) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.metrics.events += 1;
            self.handle_world_event(next.event);
        }
    }

    fn handle_world_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::ClientAttempt { arrival, number } => self.send_client_attempt(arrival, number),
            WorldEvent::ClientAttemptTimedOut { arrival, number } => {
                self.client_attempt_timed_out(arrival, number);
            }
            WorldEvent::ReplyArrived { arrival, number, reply, useful } => {
                self.reply_arrived(arrival, number, reply, useful);
            }
            WorldEvent::Message { process, message } => self.receive_message(process, message),
            WorldEvent::ProcessReady { process } => self.process_ready(process),
            WorldEvent::AttemptArrived { attempt } => self.attempt_arrived(attempt),
            WorldEvent::AttemptAnswered { attempt, outcome } => self.attempt_answered(attempt, outcome),
            WorldEvent::AttemptTimedOut { attempt } => self.attempt_timed_out(attempt),
            WorldEvent::AnswerDue { request } => self.answer_due(request),
            WorldEvent::ServerStep { server, plan_version } => self.server_step(server, plan_version),
            WorldEvent::NestedCallEnded { job, ok, useful } => self.nested_call_ended(job, ok, useful),
            WorldEvent::ServerPause { server, epoch, number } => self.server_pause(server, epoch, number),
            WorldEvent::CloseIdleConnections { process, address } => {
                self.close_idle_connections(process, address);
            }
            WorldEvent::ChangeDetected { server, state } => self.change_detected(server, state),
            WorldEvent::DiscoveryUpdate { process, scope } => self.send_update(process, scope),
            WorldEvent::FrontUpdate { balancer, open } => self.front_update(balancer, open),
            WorldEvent::FaultStage { fault, stage } => self.fault_stage(fault, stage),
            WorldEvent::SampleServers => self.sample_servers(),
        }
    }

    /// Returns the latency of a message between two zones. Its jitter is drawn by `key`.
    fn network_latency(&self, from: u32, to: u32, key: u64) -> Micros {
        let network = &self.scenario.network;
        let base = if from == to { network.same_zone } else { network.cross_zone };
        let jitter = network.jitter * random::unit(self.scenario.seed, Purpose::Message, key);
        (base.0 as f64 * (1.0 + jitter)) as Micros
    }

    /// Whether a partition separates a process from a server.
    fn partitioned(&self, process: ProcessIndex, server: ServerIndex) -> bool {
        let from = self.processes[process].zone;
        let to = self.servers[server].zone;
        self.partitioned_zones[from as usize] != self.partitioned_zones[to as usize]
    }

    /// Scores the run.
    fn finish(mut self) -> ScenarioRun {
        let servers = ServerOutcome {
            choked: self.servers.iter().filter(|server| server.has_ever_choked()).count(),
            total: self.servers.len(),
            collapsed: self.collapsed,
        };
        let metrics = std::mem::take(&mut self.metrics);
        let finished =
            FinishedRun { scenario: self.scenario, arrivals: self.arrivals.as_slice(), metrics, servers };
        let ScoredRun { score, mut detail } = finished.score();
        detail.servers = self.samples.unwrap_or_default();
        ScenarioRun { result: score, detail }
    }
}
