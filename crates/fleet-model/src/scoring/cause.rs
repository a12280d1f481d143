//! Causes of time and utility that requests lost.
//!
//! The names in JSON are fixed by stored results: variants whose names differ carry theirs in `#[serde(rename)]`.

use serde::{Deserialize, Serialize};

/// Cause of the time that a request spent beyond its work, or of its failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request waited at healthy servers.
    Queueing,
    /// The request was at servers that had choked.
    Choke,
    /// The request was at servers that were warming up.
    #[serde(rename = "cold")]
    WarmingUp,
    /// The request was at a server that answered no request.
    Silent,
    /// The request was at a server that a fault had slowed.
    Slowed,
    /// The request was queued at a balancer before its first attempt.
    #[serde(rename = "held")]
    Queued,
    /// A balancer rejected the request without an attempt.
    #[serde(rename = "refused")]
    Rejected,
    /// An attempt at a healthy server reached its time limit.
    TimeOut,
    /// A server answered with an error.
    Error,
    /// A connection broke.
    Reset,
    /// An attempt went to a server that no longer existed, because the endpoint list was out of date.
    WrongList,
    /// The request waited for a retry by its client or a balancer.
    Retry,
    /// No balancer accepted the request.
    Unreachable,
    /// The work of the request itself.
    Work,
}

impl Cause {
    /// All causes, in the order of the variants.
    pub const ALL: [Cause; 14] = [
        Cause::Queueing,
        Cause::Choke,
        Cause::WarmingUp,
        Cause::Silent,
        Cause::Slowed,
        Cause::Queued,
        Cause::Rejected,
        Cause::TimeOut,
        Cause::Error,
        Cause::Reset,
        Cause::WrongList,
        Cause::Retry,
        Cause::Unreachable,
        Cause::Work,
    ];

    /// Returns the name of the cause in tables and reports.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Queueing => "queueing",
            Cause::Choke => "choke",
            Cause::WarmingUp => "warming server",
            Cause::Silent => "silent server",
            Cause::Slowed => "slowed server",
            Cause::Queued => "queued at a balancer",
            Cause::Rejected => "rejected, not sent",
            Cause::TimeOut => "time-out",
            Cause::Error => "error",
            Cause::Reset => "broken connection",
            Cause::WrongList => "wrong list",
            Cause::Retry => "wait for a retry",
            Cause::Unreachable => "no balancer",
            Cause::Work => "its own work",
        }
    }
}
