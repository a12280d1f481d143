//! Records of balancer processes: notifications, idle connections and recent events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use zincstand_policy::{Micros, Outcome, ServerState};

use crate::policy::Policy;
use crate::world::event::Message;
use crate::world::index::{AttemptIndex, ProcessIndex, RequestIndex, ServerIndex};

/// An event or action of a balancer's process, retained for reports of broken rules.
#[derive(Clone, Copy)]
pub(in crate::world) enum RecentEvent {
    /// Discovery notified the process of a server.
    Notified { server: ServerIndex, state: ServerState },
    /// A request arrived.
    RequestReceived { request: RequestIndex },
    /// The policy sent an attempt with a time limit.
    AttemptSent { request: RequestIndex, server: ServerIndex, limit: Micros },
    /// An outcome arrived.
    AttemptEnded { request: RequestIndex, server: ServerIndex, outcome: Outcome },
    /// The policy rejected a request.
    RequestRejected { request: RequestIndex },
    /// The policy failed a request.
    RequestFailed { request: RequestIndex },
}

/// A recent event with its time.
pub(in crate::world) struct TimedEvent {
    /// Time of the event.
    pub at: Micros,
    /// The event.
    pub event: RecentEvent,
}

impl std::fmt::Display for RecentEvent {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RecentEvent::Notified { server, state } => {
                write!(formatter, "notified of server {server}: {state:?}")
            }
            RecentEvent::RequestReceived { request } => write!(formatter, "request {request} came"),
            RecentEvent::AttemptSent { request, server, limit } => {
                let milliseconds = *limit as f64 / 1e3;
                write!(formatter, "request {request} sent to server {server}, for {milliseconds:.0} ms")
            }
            RecentEvent::AttemptEnded { request, server, outcome } => {
                write!(formatter, "request {request} at server {server}: {outcome:?}")
            }
            RecentEvent::RequestRejected { request } => write!(formatter, "request {request} rejected"),
            RecentEvent::RequestFailed { request } => write!(formatter, "request {request} failed"),
        }
    }
}

/// The state of a server as discovery has notified it to a process.
#[derive(Clone, Copy, Default)]
pub(in crate::world) struct Notification {
    /// Time of the notification that the server drains or is removed. `None` while it is ready.
    pub not_ready_since: Option<Micros>,
    /// Start time of the server, on the world's clock. `None` if it has run since the beginning of the scenario.
    pub started: Option<Micros>,
    /// Whether the server has been on a list.
    pub known: bool,
}

/// An idle connection to a server's process.
#[derive(Clone, Copy)]
pub(in crate::world) struct IdleConnection {
    /// Time at which the connection became idle.
    pub since: Micros,
    /// Epoch of the process that the connection leads to.
    pub epoch: u32,
}

/// Idle connections of a process to one address.
#[derive(Default)]
pub(in crate::world) struct IdleConnections {
    /// The connections, in the order in which they became idle.
    pub connections: VecDeque<IdleConnection>,
    /// Whether a check of their idle limit is scheduled.
    pub check_scheduled: bool,
}

/// Location of a balancer.
#[derive(Clone, Copy)]
pub(in crate::world) struct BalancerPlace {
    /// Index of the tier that the balancer sends to.
    pub tier: usize,
    /// Number of the balancer within the tier.
    pub balancer: u32,
    /// Index of the zone.
    pub zone: u32,
}

/// A balancer's process.
pub(in crate::world) struct Process {
    /// Index of the tier that the balancer sends to.
    pub tier: usize,
    /// Number of the balancer within the tier.
    pub balancer: u32,
    /// Index of the balancer's zone.
    pub zone: u32,
    /// The policy that decides for the process.
    pub policy: Box<dyn Policy>,
    /// Whether the process runs.
    pub alive: bool,
    /// Time by which its clock is ahead of the world's clock.
    pub clock_offset: Micros,
    /// Time until which the processor is busy with messages that were taken from the inbox.
    pub busy_until: Micros,
    /// Messages that wait for the processor.
    pub inbox: VecDeque<Message>,
    /// Whether a `ProcessReady` event is scheduled.
    pub wake_scheduled: bool,
    /// Idle connections by address.
    pub idle_connections: BTreeMap<u32, IdleConnections>,
    /// Notifications by server.
    pub notifications: BTreeMap<ServerIndex, Notification>,
    /// Number of entries of discovery's log that the process has received.
    pub log_position: usize,
    /// Whether discovery sends the process changes.
    pub watching: bool,
    /// The last events and actions of the process, the oldest first.
    pub recent_events: VecDeque<TimedEvent>,
    /// Requests without a final response.
    pub open_requests: BTreeSet<RequestIndex>,
    /// Attempts without an outcome.
    pub attempts_in_flight: BTreeSet<AttemptIndex>,
}

impl Process {
    /// Creates a process that has started at `now` and has received nothing.
    pub fn new(place: BalancerPlace, policy: Box<dyn Policy>, clock_offset: Micros, now: Micros) -> Process {
        Process {
            tier: place.tier,
            balancer: place.balancer,
            zone: place.zone,
            policy,
            alive: true,
            clock_offset,
            busy_until: now,
            inbox: VecDeque::new(),
            wake_scheduled: false,
            idle_connections: BTreeMap::new(),
            notifications: BTreeMap::new(),
            log_position: 0,
            watching: false,
            recent_events: VecDeque::new(),
            open_requests: BTreeSet::new(),
            attempts_in_flight: BTreeSet::new(),
        }
    }
}

/// A balancer of the first tier.
pub(in crate::world) struct FrontBalancer {
    /// Index of the zone.
    pub zone: u32,
    /// The current process. `None` before the first start.
    pub process: Option<ProcessIndex>,
    /// Whether clients open connections to the balancer.
    pub listed: bool,
}
