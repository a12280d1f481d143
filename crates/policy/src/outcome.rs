//! How attempts, responses and requests end.

use std::fmt::{self, Display, Formatter};

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server served the request.
    Ok,
    /// The server responded with an error. The request may have run.
    Error,
    /// The server rejected the request without running it.
    Rejected,
    /// There was no response within the limit of the attempt. The request may have run.
    TimedOut,
    /// No connection could be established. The request never ran.
    ConnectFailed,
    /// The connection broke. The request may have run.
    Reset,
    /// The caller cancelled the attempt. The request may have run.
    Cancelled,
    /// The attempt was never sent. The request never ran.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// How a response ended that was forwarded while it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// The response was complete.
    Complete,
    /// The connection broke, or the response was invalid or too long.
    Broken,
    /// The server sent nothing more, and the response was cut off.
    Silent,
}

/// Why a request is rejected or fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The request names a class that the settings do not have.
    UnknownClass,
    /// More requests were queued than the servers can serve in time.
    Overload,
    /// Too little time is left for an attempt, or no listed server accepts requests any more.
    CannotFinish,
    /// The servers may have forgotten the first attempt, so that they would run a repeat.
    DedupWindowExpired,
    /// The last attempt failed, and the rules, the budget of retries or the number of attempts allow no other.
    NoRetryAllowed,
    /// The body was forwarded and not retained, so the request cannot be sent again.
    BodyConsumed,
}

impl Display for EndReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            EndReason::UnknownClass => "unknown class",
            EndReason::Overload => "overload",
            EndReason::CannotFinish => "cannot finish in time",
            EndReason::DedupWindowExpired => "window for repeats expired",
            EndReason::NoRetryAllowed => "no retry allowed",
            EndReason::BodyConsumed => "body consumed",
        })
    }
}
