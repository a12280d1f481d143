//! What the dispatcher exchanges with the folders above it: requests, final responses and their failures.

use std::time::Duration;

use zincstand_policy as policy;
use zincstand_policy::{Micros, Outcome};

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// The client's time ran out.
    DeadlineExceeded,
    /// An upstream failed.
    Upstream,
}

/// The one final response to a request.
#[derive(Debug, PartialEq)]
pub enum FinalResponse<R> {
    /// An upstream's response.
    Forwarded(R),
    /// The request was rejected and did not run: a retry is harmless.
    Rejected {
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after: Micros,
    },
    /// The request failed; whether it ran is unknown.
    Failed(Failure),
}

/// A request as downstream submits it.
pub struct IncomingRequest<R> {
    /// Its class.
    pub class: policy::ClassId,
    /// How long its client waits, from now.
    pub time_left: Micros,
    /// The tenant it belongs to, if it names one.
    pub tenant: Option<policy::TenantId>,
    /// An estimate of its work.
    pub estimated_work: Option<Micros>,
    /// Its client marked it as a retry.
    pub marked_retry: bool,
    /// Its body is still arriving: its time starts with the body's last byte, which
    /// [`PendingRequest::final_response_after_body`](crate::dispatch::PendingRequest::final_response_after_body) waits for.
    pub body_pending: bool,
    /// What is sent to upstreams.
    pub request: R,
}

/// How a request's body ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyEnd {
    /// With its last byte.
    Complete,
    /// The client left, or what it sent is no valid body.
    Broken,
    /// It exceeds the size that is forwarded.
    TooLong,
}

/// The result of one health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its start to its end.
    pub latency: Duration,
    /// The load report in the response, if there was one.
    pub load: Option<policy::LoadReport>,
}
