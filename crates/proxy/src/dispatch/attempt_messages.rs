//! Messages about attempts between the dispatcher and the active requests.

use std::rc::Rc;

use zincstand_policy::{ClassId, Micros, RequestId, ServerId};

use crate::discovery::endpoint::Target;
use crate::dispatch::completion::AttemptId;

/// An attempt that the policy has decided to start.
pub(super) struct NewAttempt {
    /// The request that is sent.
    pub(super) request: RequestId,
    /// The server that the policy selected.
    pub(super) server: ServerId,
    /// The server's address, or `None` if the server is not listed or is excluded.
    pub(super) target: Option<Target>,
    /// Start time, in microseconds of Unix time.
    pub(super) started: Micros,
    /// Time limit in microseconds; 0 allows all the time that the client has left.
    pub(super) time_limit: Micros,
    /// Time within which the first byte must be written, in microseconds; `None` without a limit.
    pub(super) begin_within: Option<Micros>,
}

/// An attempt that was added to its request and is about to be sent.
pub(super) struct RegisteredAttempt<R> {
    /// The new attempt's id.
    pub(super) id: AttemptId,
    /// The request to send, or `None` if the settings or the state of the request forbid the attempt.
    pub(super) request: Option<Rc<R>>,
    /// The class of the request.
    pub(super) class: ClassId,
    /// Time limit in microseconds, at most the time that the client has left.
    pub(super) time_limit: Micros,
    /// Whether the time limit is running. The limit starts only when the request's body has arrived completely, because
    /// the upstream cannot have received the complete request earlier.
    pub(super) limit_runs: bool,
}

/// Time limit of one attempt, counted from the moment at which the body of its request was complete.
pub(super) struct AttemptLimit {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// Time limit in microseconds.
    pub(super) time_limit: Micros,
}

/// The time limits of a request whose body is now complete.
pub(super) struct BodyCompletion {
    /// The client's deadline, in microseconds of Unix time.
    pub(super) deadline: Micros,
    /// How long the client still waits, in microseconds.
    pub(super) time_left: Micros,
    /// The limits of the attempts in flight, in the order in which the request holds them.
    pub(super) attempt_limits: Vec<AttemptLimit>,
}
