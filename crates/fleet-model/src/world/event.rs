//! Events of the simulated world and the queue that orders them in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use zincstand_policy::{Micros, Outcome};

use super::index::{ArrivalIndex, AttemptIndex, ProcessIndex, RequestIndex, ServerIndex};
use crate::server::JobIndex;

/// An event at an instant of virtual time.
#[derive(Clone, Copy, Debug)]
pub(super) enum WorldEvent {
    /// A client sends an attempt.
    ClientAttempt { arrival: ArrivalIndex, number: u32 },
    /// The time limit of a client for an attempt expires.
    ClientAttemptTimedOut { arrival: ArrivalIndex, number: u32 },
    /// A reply reaches the client. `useful` is the work that contributed to it, in microseconds.
    ReplyArrived { arrival: ArrivalIndex, number: u32, reply: Reply, useful: f64 },
    /// A message reaches a balancer's process.
    Message { process: ProcessIndex, message: Message },
    /// A process that was busy can handle its next message.
    ProcessReady { process: ProcessIndex },
    /// An attempt reaches its server.
    AttemptArrived { attempt: AttemptIndex },
    /// An attempt's outcome reaches its balancer.
    AttemptAnswered { attempt: AttemptIndex, outcome: Outcome },
    /// An attempt's time limit expires.
    AttemptTimedOut { attempt: AttemptIndex },
    /// The time by which a request must have its final response has come.
    AnswerDue { request: RequestIndex },
    /// A planned change of a server: a job ends, or the server chokes or recovers. It is ignored unless `plan_version`
    /// is current.
    ServerStep { server: ServerIndex, plan_version: u32 },
    /// A server's call of the next tier has ended.
    NestedCallEnded { job: JobIndex, ok: bool, useful: f64 },
    /// A pause of a server begins (even `number`) or ends (odd `number`).
    ServerPause { server: ServerIndex, epoch: u32, number: u32 },
    /// The idle connections of a process to an address are checked against the idle limit.
    CloseIdleConnections { process: ProcessIndex, address: u32 },
    /// Discovery detects a change of a server.
    ChangeDetected { server: ServerIndex, state: ListedState },
    /// Discovery sends an update to a process.
    DiscoveryUpdate { process: ProcessIndex, scope: UpdateScope },
    /// Clients start or stop to open connections to a balancer.
    FrontUpdate { balancer: u32, open: bool },
    /// A stage of a fault begins.
    FaultStage { fault: u32, stage: FaultStage },
    /// All servers are sampled. Happens every second of a run with details.
    SampleServers,
}

/// Part of the endpoint list that an update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateScope {
    /// The complete list.
    Snapshot,
    /// Only the changes since the process was last notified.
    Delta,
}

/// The final reply to a client's attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum Reply {
    /// The response.
    Served,
    /// A rejection.
    Rejected {
        /// The `Retry-After` in microseconds; 0 without one.
        retry_after: Micros,
    },
    /// An error, or no answer within the time limit.
    Failed,
    /// No balancer accepted the attempt, or the process ended before it answered the attempt.
    Unreachable,
}

/// A message to a balancer's process.
#[derive(Clone, Copy, Debug)]
pub(super) enum Message {
    /// A request arrives.
    Request(RequestIndex),
    /// An attempt has an outcome.
    Outcome(AttemptIndex, Outcome),
    /// The caller of a request no longer waits for the answer.
    ClientDisconnected(RequestIndex),
    /// A timer of the policy expires. Contains the token of the timer.
    Timer(u64),
    /// A health check has ended, `latency` microseconds after it was sent.
    HealthChecked { server: ServerIndex, outcome: Outcome, latency: Micros },
}

/// An event in the queue, ordered by time and then by the order of scheduling.
pub(super) struct ScheduledEvent {
    /// Time of the event.
    pub at: Micros,
    /// Number of the event in the order of scheduling.
    number: u64,
    /// The event.
    pub event: WorldEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Queue of pending events. Events of the same instant are delivered in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn schedule(&mut self, at: Micros, event: WorldEvent) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.heap.push(Reverse(ScheduledEvent { at, number, event }));
    }

    /// Removes and returns the earliest event. `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<ScheduledEvent> {
        let Reverse(next) = self.heap.pop()?;
        Some(next)
    }
}

/// State of a server on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListedState {
    /// It is ready. Contains its start time, unless it has run since the beginning of the scenario.
    Ready(Option<Micros>),
    /// It drains.
    Draining,
    /// It is not on the list.
    Removed,
}

/// A stage of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultStage {
    /// The fault begins for all its targets.
    Begin,
    /// The fault ends for all its targets.
    End,
    /// A step of one target.
    Target { target: u32, step: TargetStep },
}

/// Step of one target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetStep {
    /// It starts to drain.
    Drain,
    /// Its process ends.
    Stop,
    /// Its next process starts.
    Start,
}
