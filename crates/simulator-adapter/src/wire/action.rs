//! What the adapter replies: one action per line, then the end of the reply.

use serde::Serialize;

/// A line of a reply.
#[derive(Serialize)]
pub enum ReplyLine<'a> {
    /// Sends an attempt.
    #[serde(rename = "CallOut", rename_all = "PascalCase")]
    Send {
        /// The balancer that acts.
        balancer_id: u64,
        /// Id of the request on the wire.
        #[serde(rename = "Rid")]
        request: &'a str,
        /// Time limit of the attempt, in milliseconds.
        limit_ms: f64,
        /// Address of the upstream.
        upstream: &'a str,
    },
    /// Rejects a request.
    #[serde(rename = "Refuse", rename_all = "PascalCase")]
    Reject {
        /// The balancer that acts.
        balancer_id: u64,
        /// Id of the request on the wire.
        #[serde(rename = "Rid")]
        request: &'a str,
        /// Retry-After, in milliseconds.
        #[serde(rename = "WaitMs")]
        retry_after_ms: f64,
    },
    /// Ends a request with an error.
    #[serde(rename = "FinishError", rename_all = "PascalCase")]
    Fail {
        /// The balancer that acts.
        balancer_id: u64,
        /// Id of the request on the wire.
        #[serde(rename = "Rid")]
        request: &'a str,
    },
    /// Cancels an attempt.
    #[serde(rename = "AbortAttempt", rename_all = "PascalCase")]
    Cancel {
        /// The balancer that acts.
        balancer_id: u64,
        /// Id of the request on the wire.
        #[serde(rename = "Rid")]
        request: &'a str,
        /// Number of the attempt, from 0.
        #[serde(rename = "Trial")]
        attempt: u32,
    },
    /// Sends a health check.
    #[serde(rename = "Touch", rename_all = "PascalCase")]
    HealthCheck {
        /// The balancer that acts.
        balancer_id: u64,
        /// Address of the upstream.
        upstream: &'a str,
    },
    /// Closes the idle connections to an upstream.
    #[serde(rename = "ShutIdle", rename_all = "PascalCase")]
    CloseIdle {
        /// The balancer that acts.
        balancer_id: u64,
        /// Address of the upstream.
        upstream: &'a str,
    },
    /// Sets a timer.
    #[serde(rename = "Schedule", rename_all = "PascalCase")]
    SetTimer {
        /// The balancer that acts.
        balancer_id: u64,
        /// Time until it fires, in milliseconds.
        #[serde(rename = "OffsetMs")]
        delay_ms: f64,
        /// Returned when it fires.
        #[serde(rename = "Ctx")]
        token: u64,
    },
    /// Subscribes to changes of the endpoint list.
    #[serde(rename_all = "PascalCase")]
    Subscribe {
        /// The balancer that acts.
        balancer_id: u64,
        /// False would end the subscription.
        enable: bool,
    },
    /// Polls discovery for the complete endpoint list.
    #[serde(rename = "QueryAll", rename_all = "PascalCase")]
    FetchList {
        /// The balancer that acts.
        balancer_id: u64,
    },
    /// Ends the reply.
    Yield {},
}
