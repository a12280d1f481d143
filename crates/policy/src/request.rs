//! An open request and its attempts.

use crate::event::{ClassId, Micros, Outcome, ServerEntry, ServerId, ZoneId};

/// A request that has no final response yet.
pub(crate) struct Request {
    class: ClassId,
    /// Time from which its duration counts: its arrival, or the end of its body if that was pending.
    started_at: Micros,
    /// Time after which a response has no utility.
    useful_until: Micros,
    /// Time until which its client waits.
    deadline: Micros,
    /// Number of attempts sent so far.
    attempts: u32,
    /// Whether a retry after an attempt that may have run has been sent or scheduled. At most one is allowed.
    retried: bool,
    /// Expected latency relative to a request with the mean work of its class; 1 without a hint.
    work_scale: f64,
    /// Earliest attempt that may have run.
    first_run: Option<AttemptPlacement>,
    /// Attempt in flight.
    attempt: Option<AttemptInFlight>,
    /// Server of the latest attempt.
    last_server: Option<ServerId>,
    /// Time before which no retry is sent.
    not_before: Micros,
    /// Whether its body has not arrived completely. Until it has, its attempt takes no slot, and the duration
    /// of the attempt does not count.
    body_pending: bool,
    /// Whether an attempt has forwarded a part of the body that is not retained.
    body_consumed: bool,
}

/// A request at its arrival.
pub(crate) struct NewRequest {
    /// Class of the request. It may be unknown.
    pub class: ClassId,
    /// How long its client waits, in microseconds.
    pub time_left: Micros,
    /// Hinted work in microseconds, `None` without a hint.
    pub work: Option<Micros>,
    /// Whether its body has not arrived completely.
    pub body_pending: bool,
}

impl Request {
    /// Creates a request without attempts. Its response has utility for `useful_time` microseconds, or until
    /// its deadline if that is earlier.
    pub fn new(new: &NewRequest, now: Micros, useful_time: Micros, work_scale: f64) -> Self {
        Request {
            class: new.class,
            started_at: now,
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
            body_consumed: false,
        }
    }

    /// Class of the request.
    pub fn class(&self) -> ClassId {
        self.class
    }

    /// Time from which its duration counts: its arrival, or the end of its body if that was pending.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Time after which a response has no utility.
    pub fn useful_until(&self) -> Micros {
        self.useful_until
    }

    /// Time until which its client waits.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Number of attempts sent so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether a retry after an attempt that may have run has been sent or scheduled. At most one is allowed.
    pub fn retried(&self) -> bool {
        self.retried
    }

    /// Expected latency relative to a request with the mean work of its class; 1 without a hint.
    pub fn work_scale(&self) -> f64 {
        self.work_scale
    }

    /// Earliest attempt that may have run, `None` if none has.
    pub fn first_run(&self) -> Option<AttemptPlacement> {
        self.first_run
    }

    /// Time, zone and cell of the attempt in flight, `None` without one.
    pub fn attempt_placement(&self) -> Option<AttemptPlacement> {
        self.attempt.as_ref().map(|attempt| attempt.placement)
    }

    /// Server of the latest attempt, `None` before the first one.
    pub fn last_server(&self) -> Option<ServerId> {
        self.last_server
    }

    /// Server of the attempt in flight, `None` without one.
    pub fn current_server(&self) -> Option<ServerId> {
        self.last_server.filter(|_| self.attempt.is_some())
    }

    /// Time before which no retry is sent.
    pub fn not_before(&self) -> Micros {
        self.not_before
    }

    /// Whether its body has not arrived completely.
    pub fn body_pending(&self) -> bool {
        self.body_pending
    }

    /// Returns the time that its time limits are compared with: `now`, or its arrival once an attempt forwards
    /// its pending body.
    ///
    /// While it waits for an attempt, its time counts although the body is pending: nobody reads the body, so
    /// its last byte may have arrived.
    pub fn effective_now(&self, now: Micros) -> Micros {
        let is_forwarding = self.attempt.is_some() || self.body_consumed;
        if self.body_pending && is_forwarding { self.started_at } else { now }
    }

    /// Records the start of an attempt.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        server: &ServerEntry,
        timeout_attribution: TimeoutAttribution,
        idle_bucket: usize,
    ) {
        let placement = AttemptPlacement { sent_at: now, zone: server.zone, cell: server.cell };
        self.attempts += 1;
        self.last_server = Some(server.id);
        self.attempt = Some(AttemptInFlight { placement, timeout_attribution, idle_bucket });
    }

    /// Records the end of the attempt in flight and returns that attempt, `None` without one.
    pub fn end_attempt(&mut self, outcome: Outcome) -> Option<AttemptInFlight> {
        let attempt = self.attempt.take()?;
        if !outcome.never_ran() {
            self.first_run.get_or_insert(attempt.placement);
        }
        Some(attempt)
    }

    /// Records that a retry after an attempt that may have run is sent or scheduled.
    pub fn mark_retried(&mut self) {
        self.retried = true;
    }

    /// Delays the next attempt until `time`.
    pub fn delay_until(&mut self, time: Micros) {
        self.not_before = time;
    }

    /// Records that an attempt has forwarded a part of its body that is not retained.
    pub fn mark_body_consumed(&mut self) {
        self.body_consumed = true;
    }

    /// Records that its body has arrived completely: its duration counts from `now`, so its deadlines move by
    /// the duration of the upload. Its client waits for `time_left` at most.
    pub fn complete_body(&mut self, now: Micros, time_left: Micros) {
        let upload_time = now - self.started_at;
        self.started_at = now;
        self.body_pending = false;
        self.deadline = now + time_left;
        self.useful_until = (self.useful_until + upload_time).min(self.deadline);
        if let Some(attempt) = &mut self.attempt {
            attempt.placement.sent_at = now;
        }
    }
}

/// Whether a request may exceed a full concurrency limit.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Priority {
    /// The request must not exceed the limit.
    Normal,
    /// The request may exceed the limit: its class has much utility for little work.
    High,
}

/// When and where an attempt was sent.
#[derive(Clone, Copy)]
pub(crate) struct AttemptPlacement {
    /// Time at which it was sent, or at which the body of its request was complete if that was later.
    pub sent_at: Micros,
    /// Zone of its server.
    pub zone: ZoneId,
    /// Cell of its server.
    pub cell: u32,
}

/// Whether a timeout of an attempt counts against its server.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum TimeoutAttribution {
    /// The timeout counts against the server, which took longer than usual.
    Server,
    /// The timeout does not count against the server: the remaining time of the request, or the short limit
    /// of a retry, ended the attempt.
    None,
}

/// The time limit of an attempt.
pub(crate) struct AttemptLimit {
    /// Maximum duration in microseconds.
    pub duration: Micros,
    /// Whether a timeout at this limit counts against the server.
    pub timeout_attribution: TimeoutAttribution,
}

/// An attempt without an outcome.
pub(crate) struct AttemptInFlight {
    /// When and where it was sent.
    pub placement: AttemptPlacement,
    /// Whether its timeout counts against the server.
    pub timeout_attribution: TimeoutAttribution,
    /// Bucket of the time for which its connection had been idle, see [`crate::idle_connections`].
    pub idle_bucket: usize,
}

/// Steps that may follow the end of an attempt.
pub(crate) enum Continuation {
    /// Nothing follows: the request has its final response.
    Finished,
    /// Only a final response may follow: the body of the request was forwarded and not retained, so the request
    /// cannot be sent again.
    FinalResponseOnly,
    /// A retry or a final response may follow.
    Any,
}

impl Continuation {
    /// Returns the steps that may follow an outcome. `finished` tells whether the request has its final
    /// response, and `body_consumed` whether its body was forwarded without being retained.
    pub fn new(finished: bool, body_consumed: bool) -> Self {
        match (finished, body_consumed) {
            (true, _) => Continuation::Finished,
            (false, true) => Continuation::FinalResponseOnly,
            (false, false) => Continuation::Any,
        }
    }
}

/// The end of an attempt.
pub(crate) struct AttemptEnd {
    /// Server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its start to its end, in microseconds.
    pub latency: Micros,
    /// Steps that may follow for its request.
    pub continuation: Continuation,
    /// Whether a timeout counts against the server. It does not unless the limit of the attempt says so.
    pub timeout_attribution: TimeoutAttribution,
    /// Whether the rest of its response is still arriving, so that it does not count as a success yet.
    pub response_pending: bool,
}

impl AttemptEnd {
    /// Creates the end of an attempt whose timeout does not count against the server.
    pub fn new(server: ServerId, outcome: Outcome, latency: Micros, continuation: Continuation) -> Self {
        AttemptEnd {
            server,
            outcome,
            latency,
            continuation,
            timeout_attribution: TimeoutAttribution::None,
            response_pending: false,
        }
    }

    /// Creates the end of an attempt whose response has started and is the final one.
    pub fn response_started(server: ServerId, latency: Micros) -> Self {
        let end = AttemptEnd::new(server, Outcome::Ok, latency, Continuation::Finished);
        AttemptEnd { response_pending: true, ..end }
    }
}
