//! Events that a balancer handles, actions that it returns, and the ids in them.
//!
//! The caller assigns all ids. Times are microseconds of any monotonic clock.

pub use crate::outcome::{EndReason, Outcome, ResponseEnd};

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// Id of a server. It stays the same when the process of the server restarts.
pub type ServerId = u32;
/// Id of a request. The caller never reuses an id for the same [`Balancer`](crate::Balancer).
pub type RequestId = u64;
/// Index of a class in [`Settings::classes`](crate::Settings::classes).
pub type ClassId = usize;
/// Id of a zone.
pub type ZoneId = u32;
/// Id of a kind of machine.
pub type MachineKindId = u32;
/// Index of a tenant in [`Settings::tenants`](crate::Settings::tenants).
pub type TenantId = usize;

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts requests.
    #[default]
    Ready,
    /// The server finishes its open requests and must receive no new ones.
    Draining,
    /// The server no longer exists.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// Id of the server.
    pub id: ServerId,
    /// Zone of the server.
    pub zone: ZoneId,
    /// Kind of machine that the server runs on.
    pub machine_kind: MachineKindId,
    /// Cell of the server: a group of servers that recognize and drop repeats of each other's requests.
    pub cell: u32,
    /// Hash of the address of the server, the same at every balancer. It decides which servers a balancer
    /// prefers.
    pub ring_position: u64,
    /// State of the server.
    pub state: ServerState,
    /// Size of the server relative to others. A weight that is not above 0 counts as 1.
    pub weight: f64,
    /// Start time of the server's current process, `None` if it started long ago.
    pub started: Option<Micros>,
}

impl ServerEntry {
    /// Creates the entry of a ready server of zone, machine kind and cell 0 that started long ago.
    pub fn new(id: ServerId) -> ServerEntry {
        ServerEntry { id, ring_position: u64::from(id), weight: 1.0, ..ServerEntry::default() }
    }
}

/// Kind of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that have changed.
    Delta,
    /// All entries. A server without an entry is removed.
    Snapshot,
    /// All entries as cached before a restart. They may be out of date.
    CachedSnapshot,
    /// No entries: a call to discovery failed, or the watch broke.
    Failed,
}

/// Load report of a server. A value that the server does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests that the server processes or queues.
    pub in_flight: Option<f64>,
    /// Number of requests in its queue.
    pub queue: Option<f64>,
    /// Share of its processor capacity in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Recent latency of a request.
    pub latency: Option<Micros>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// An event that a balancer handles.
///
/// Events must come in this order:
///
/// * [`EndpointList`](Event::EndpointList), [`Timer`](Event::Timer) and
///   [`HealthChecked`](Event::HealthChecked) may come at any time.
/// * [`Request`](Event::Request) opens a request. If its body is pending, one
///   [`BodyComplete`](Event::BodyComplete) follows, unless the request ends first.
/// * One [`Outcome`](Event::Outcome) follows each [`Action::Send`], also after the request has ended. For a
///   streamed response, [`FirstByte`](Event::FirstByte) comes before it. For a response that is forwarded
///   while it arrives, [`ResponseStarted`](Event::ResponseStarted) takes its place, and
///   [`ResponseEnded`](Event::ResponseEnded) may follow.
/// * A request ends with an outcome that is `finished`, with [`FirstByte`](Event::FirstByte), with
///   [`ResponseStarted`](Event::ResponseStarted), with [`ClientDisconnected`](Event::ClientDisconnected), or
///   with [`Action::Reject`] or [`Action::Fail`]. After that, only outcomes of its attempts may follow.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it, was received.
    EndpointList {
        /// Whether the entries are the complete list or only the changes.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A request arrived. It must get exactly one final response: the response of a server,
    /// [`Action::Reject`] or [`Action::Fail`].
    Request {
        /// Id of the request.
        id: RequestId,
        /// Class of the request. A request of an unknown class fails at once.
        class: ClassId,
        /// How long the client still waits. If the body is pending, the client may wait longer, since its time
        /// counts from the last byte.
        time_left: Micros,
        /// Tenant of the request, `None` where the service is not shared.
        tenant: Option<TenantId>,
        /// Expected work in microseconds, `None` where the deployment gives no hint.
        work: Option<Micros>,
        /// The client marks the request as a retry.
        marked_retry: bool,
        /// The body has not arrived completely, and is forwarded as it arrives. The caller bounds the time of
        /// an attempt until [`Event::BodyComplete`]; its server does no work for it before then.
        body_pending: bool,
    },
    /// The last byte of a pending body arrived.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// How long the client still waits.
        time_left: Micros,
    },
    /// The first byte of a streamed response arrived. From then on the attempt has no time limit and is not
    /// retried.
    FirstByte {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended. There is one outcome for each [`Action::Send`].
    Outcome {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of sending.
        attempt: u32,
        /// The server of the attempt.
        server: ServerId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time from the start of the attempt to its end.
        latency: Micros,
        /// The request has its final response. The balancer must not send another.
        finished: bool,
        /// The body was forwarded and not retained, so the request cannot be sent again.
        body_consumed: bool,
        /// Load report of the server, `None` if it sent none.
        load: Option<LoadReport>,
    },
    /// An attempt ended because its response is the final one and is forwarded while the rest of it arrives.
    /// How long the rest takes also depends on the client, so the attempt counts as ended; whether the server
    /// has succeeded is not known yet.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The server of the attempt.
        server: ServerId,
        /// Time from the start of the attempt to that of the response.
        latency: Micros,
    },
    /// A response ended whose start was reported. It does not follow if the client leaves first.
    ResponseEnded {
        /// The server that sent the response.
        server: ServerId,
        /// The class of the request.
        class: ClassId,
        /// How the response ended.
        end: ResponseEnd,
    },
    /// The client disconnected. The request no longer needs a final response.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer that [`Action::Timer`] set has expired.
    Timer {
        /// Token of the timer.
        token: u64,
    },
    /// A health check ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// [`Outcome::Ok`] if the server responded.
        outcome: Outcome,
        /// Time from the start of the health check to its end.
        latency: Micros,
        /// Load report of the server, `None` if it sent none.
        load: Option<LoadReport>,
    },
}

/// An action that the caller carries out. Actions must be carried out in the order returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Time after which the attempt has timed out.
        limit: Micros,
        /// Time within which the first byte must be written, `None` if only `limit` applies. After that the
        /// decision no longer holds: the attempt must not begin, and ends as one that never ran.
        begin_within: Option<Micros>,
    },
    /// Send the final response: the request is rejected, and its client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before the retry; 0 for no wait.
        retry_after: Micros,
        /// Why the request is not served.
        reason: EndReason,
    },
    /// Send the final response: the request failed, and it may have run.
    Fail {
        /// The request.
        request: RequestId,
        /// Why the request is not served.
        reason: EndReason,
    },
    /// Cancel an attempt.
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
        /// Delay from now.
        delay: Micros,
        /// Token to be returned with the event.
        token: u64,
    },
    /// Subscribe to the changes of the endpoint list.
    Watch,
    /// Fetch the complete endpoint list once.
    Fetch,
}
