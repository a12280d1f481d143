//! Messages between the dispatcher and the modules that use it: requests, final responses and failures.

use std::time::Duration;

use zincstand_policy as policy;
use zincstand_policy::{Micros, Outcome};

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// The client's deadline passed or is about to pass.
    DeadlineExceeded,
    /// An upstream failed.
    Upstream,
}

/// The final response to a request. Each request gets exactly one.
#[derive(Debug, PartialEq)]
pub enum FinalResponse<R> {
    /// The response of an upstream.
    Forwarded {
        /// The response.
        response: R,
        /// How long the client still waits for its end, in microseconds.
        time_left: Micros,
    },
    /// The request was rejected and did not run, so the client may retry it.
    Rejected {
        /// How long the client should wait before a retry, in microseconds, or 0 if the response does not state a time.
        retry_after: Micros,
    },
    /// The request failed. It may have run.
    Failed(Failure),
}

/// A request as `downstream` submits it.
pub struct IncomingRequest<R> {
    /// The class of the request.
    pub class: policy::ClassId,
    /// How long the client waits, in microseconds from now or, if `body_pending`, from the body's last byte on.
    pub time_left: Micros,
    /// The tenant that the request names, or `None` if it names none.
    pub tenant: Option<policy::TenantId>,
    /// The estimated work in microseconds, or `None` if the request carries no estimate.
    pub estimated_work: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub marked_retry: bool,
    /// Whether the body is still arriving. The request's time then counts from the body's last byte, for which
    /// [`PendingRequest::final_response_after_body`](crate::dispatch::PendingRequest::final_response_after_body) waits.
    pub body_pending: bool,
    /// The request that is sent to upstreams.
    pub request: R,
}

/// How a request's body ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyEnd {
    /// The last byte arrived.
    Complete,
    /// The client disconnected, or sent an invalid body.
    Broken,
    /// The body exceeds the size up to which bodies are forwarded.
    TooLong,
    /// The process shuts down and no longer waits for the last byte.
    ShutDown,
}

/// The result of one health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// The outcome.
    pub outcome: Outcome,
    /// Time from the start of the check to its end.
    pub latency: Duration,
    /// The load report in the response, or `None` if there was none.
    pub load: Option<policy::LoadReport>,
}
