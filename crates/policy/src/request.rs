//! State of one open request and of its attempt in flight.

use crate::event::{ClassId, Micros, Outcome, ServerEntry, ServerId, ZoneId};

/// A request that has no final answer yet.
pub(crate) struct Request {
    pub class: ClassId,
    pub arrived_at: Micros,
    /// An answer after this time earns nothing.
    pub useful_until: Micros,
    pub deadline: Micros,
    /// Attempts sent so far.
    pub attempts: u32,
    /// Its one retry of an attempt that may have run is used.
    pub retried: bool,
    /// Its hinted work relative to its class's mean; 1 where there is no hint.
    pub work_scale: f64,
    /// The earliest attempt that may have run.
    pub first_run: Option<AttemptOrigin>,
    pub attempt: Option<AttemptInFlight>,
    pub last_server: Option<ServerId>,
    /// A retry waits for its backoff until then.
    pub not_before: Micros,
    /// Its body is still coming: its clock stands still, and its attempt takes no slot.
    pub body_pending: bool,
}

/// A request as it arrives; spans in microseconds.
pub(crate) struct NewRequest {
    pub class: ClassId,
    /// How long its client waits.
    pub time_left: Micros,
    /// Hinted work.
    pub work: Option<Micros>,
    pub body_pending: bool,
}

impl Request {
    /// A request without attempts, whose answer is of use for `useful_time` if its client waits so long.
    pub fn new(new: &NewRequest, now: Micros, useful_time: Micros, work_scale: f64) -> Self {
        Request {
            class: new.class,
            arrived_at: now,
            useful_until: now + useful_time.min(new.time_left),
            deadline: now + new.time_left,
            attempts: 0,
            retried: false,
            work_scale,
            first_run: None,
            attempt: None,
            last_server: None,
            not_before: now,
            body_pending: new.body_pending,
        }
    }

    /// The present time as it counts for this request.
    pub fn clock(&self, now: Micros) -> Micros {
        if self.body_pending { self.arrived_at } else { now }
    }

    /// Where its attempt is, if one is in flight.
    pub fn server_in_use(&self) -> Option<ServerId> {
        self.last_server.filter(|_| self.attempt.is_some())
    }

    /// Counts an attempt that is sent now.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        server: &ServerEntry,
        timeout_blame: TimeoutBlame,
        idle_bucket: usize,
    ) {
        let origin = AttemptOrigin { sent_at: now, zone: server.zone, cell: server.cell };
        self.attempts += 1;
        self.last_server = Some(server.id);
        self.attempt = Some(AttemptInFlight { origin, timeout_blame, idle_bucket });
    }

    /// Starts its clock: its body is complete.
    pub fn complete_body(&mut self, now: Micros) {
        let upload_time = now - self.arrived_at;
        self.arrived_at = now;
        self.body_pending = false;
        self.useful_until += upload_time;
        self.deadline += upload_time;
        if let Some(attempt) = &mut self.attempt {
            attempt.origin.sent_at = now;
        }
    }
}

/// Whether a request may exceed a concurrency limit that is full.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Priority {
    Normal,
    Express,
}

/// When and where an attempt was sent.
#[derive(Clone, Copy)]
pub(crate) struct AttemptOrigin {
    pub sent_at: Micros,
    pub zone: ZoneId,
    pub cell: u32,
}

/// Whom a time-out counts against.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum TimeoutBlame {
    Server,
    /// The caller's haste or the limit of a retry ended it.
    Nobody,
}

/// How long an attempt may take, and whom running out of it counts against.
pub(crate) struct AttemptLimit {
    pub duration: Micros,
    pub timeout_blame: TimeoutBlame,
}

/// An attempt without an outcome yet.
pub(crate) struct AttemptInFlight {
    pub origin: AttemptOrigin,
    pub timeout_blame: TimeoutBlame,
    /// How long its connection had been idle, see [`crate::idle_connections`].
    pub idle_bucket: usize,
}

/// What may follow the end of an attempt.
pub(crate) enum Continuation {
    /// Nothing: the request has its final answer.
    Finished,
    /// A final answer only: its body went on and was not kept.
    AnswerOnly,
    /// Another attempt or a final answer.
    Any,
}

impl Continuation {
    pub fn new(finished: bool, body_consumed: bool) -> Self {
        match (finished, body_consumed) {
            (true, _) => Continuation::Finished,
            (false, true) => Continuation::AnswerOnly,
            (false, false) => Continuation::Any,
        }
    }
}

/// How an attempt ended.
pub(crate) struct AttemptEnd {
    pub server: ServerId,
    pub outcome: Outcome,
    pub latency: Micros,
    pub continuation: Continuation,
    /// Nobody unless set.
    pub timeout_blame: TimeoutBlame,
}

impl AttemptEnd {
    pub fn new(server: ServerId, outcome: Outcome, latency: Micros, continuation: Continuation) -> Self {
        AttemptEnd { server, outcome, latency, continuation, timeout_blame: TimeoutBlame::Nobody }
    }
}
