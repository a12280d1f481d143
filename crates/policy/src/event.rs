//! Events that a balancer handles, the actions that it asks for, and the ids in them.
//!
//! Ids are small integers that the caller assigns. Times are microseconds on any clock that only advances.

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// A server, as numbered by the caller; the same server keeps its number across restarts of its process.
pub type ServerId = u32;
/// A request, as numbered by the caller; never used again within the life of a [`Balancer`](crate::Balancer).
pub type RequestId = u64;
/// Index of a class in [`Settings::classes`](crate::Settings::classes).
pub type ClassId = usize;
/// A zone: any small integer, the same for all servers of the zone.
pub type ZoneId = u32;
/// A machine kind: any small integer.
pub type MachineKindId = u32;
/// Index of a tenant in [`Settings::tenants`](crate::Settings::tenants).
pub type TenantId = usize;

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes what it has; nothing new may go to it.
    Draining,
    /// No longer exists.
    Removed,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: MachineKindId,
    /// Its cell: a small group of servers that drop each other's repeats.
    pub cell: u32,
    /// A hash of its address, the same at every balancer: it spreads the balancers over the servers.
    pub ring_position: u64,
    /// What discovery says of it.
    pub state: ServerState,
    /// Its size relative to the others; 1 where that is not known. One that is not above 0 counts as 1.
    pub weight: f64,
    /// When its process last started; `None` for long ago.
    pub started: Option<Micros>,
}

impl ServerEntry {
    /// A ready server of zone, kind and cell 0 that started long ago.
    pub fn new(id: ServerId) -> ServerEntry {
        ServerEntry { id, ring_position: u64::from(id), weight: 1.0, ..ServerEntry::default() }
    }
}

/// What a list of servers contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list: a server that is not in it is removed.
    Snapshot,
    /// The complete list as cached before a restart, perhaps out of date.
    CachedSnapshot,
    /// Nothing: a call to discovery failed or the watch broke.
    Failed,
}

/// A server's report of its load; what it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait in its queue.
    pub queue: Option<f64>,
    /// Share of its processing power in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Requests served in a second.
    pub throughput: Option<f64>,
    /// Recent time to serve a request.
    pub latency: Option<Micros>,
    /// Errors in a second.
    pub errors: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server served it.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// The server rejected it unseen; it never ran.
    Rejected,
    /// No answer within the attempt's limit; it may have run.
    TimedOut,
    /// No connection could be made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by the caller; it may have run.
    Cancelled,
    /// Never sent; it never ran.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What happens to a balancer.
///
/// The order in which events are legal:
///
/// * [`EndpointList`](Event::EndpointList), [`Timer`](Event::Timer) and [`HealthChecked`](Event::HealthChecked)
///   may come at any time, lists before the first request if servers are known by then.
/// * [`Request`](Event::Request) opens a request. If its body is pending, one
///   [`BodyComplete`](Event::BodyComplete) follows, unless the request ends before.
/// * Each [`Action::Send`] is followed by one [`Outcome`](Event::Outcome), also after the request has ended,
///   and for a streamed answer by [`FirstByte`](Event::FirstByte) before it.
/// * A request ends with an outcome that is `finished`, with [`FirstByte`](Event::FirstByte), with
///   [`ClientDisconnected`](Event::ClientDisconnected), or with [`Action::Reject`] or [`Action::Fail`].
///   Only outcomes of its attempts come after that.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers or a change of it.
    EndpointList {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A request arrived; the balancer owes one final answer.
    Request {
        /// The request.
        id: RequestId,
        /// Its class; one that does not exist fails at once.
        class: ClassId,
        /// How long its client still waits.
        time_left: Micros,
        /// Whose it is, where the service is shared.
        tenant: Option<TenantId>,
        /// Expected work in microseconds, where the deployment gives a hint.
        work: Option<Micros>,
        /// The client marks it as a retry.
        marked_retry: bool,
        /// Its body is still coming and is forwarded as it comes: its time starts with
        /// [`Event::BodyComplete`], and a server has no work from it before.
        body_pending: bool,
    },
    /// The last byte of a request whose body was pending arrived.
    BodyComplete {
        /// The request.
        request: RequestId,
    },
    /// A streamed answer has begun: from now on the attempt belongs to the client.
    FirstByte {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended. One for each [`Action::Send`].
    Outcome {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0 in order of sending.
        attempt: u32,
        /// The server that it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        latency: Micros,
        /// The request is finished and no final answer is owed any more.
        finished: bool,
        /// Its body was forwarded and not kept: it cannot be sent again.
        body_consumed: bool,
        /// The server's load, where it reported.
        load: Option<LoadReport>,
    },
    /// The client disconnected; no final answer is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer set by [`Action::Timer`] expired.
    Timer {
        /// Its token.
        token: u64,
    },
    /// A health check was answered or not.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// [`Outcome::Ok`] if it answered.
        outcome: Outcome,
        /// How long it took.
        latency: Micros,
        /// The server's load, where it reported.
        load: Option<LoadReport>,
    },
}

/// What a balancer wants done. Actions are carried out in the order in which they come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// The longest that the attempt may take.
        limit: Micros,
    },
    /// Final answer: rejected; the client may safely try again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before that; 0 if it need not.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Check a server's health.
    HealthCheck {
        /// The server.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Deliver [`Event::Timer`] after a delay.
    Timer {
        /// From now.
        delay: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Ask discovery to send changes from now on.
    Watch,
    /// Ask discovery for the complete list once.
    Fetch,
}
