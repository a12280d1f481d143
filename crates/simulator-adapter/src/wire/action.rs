//! The lines of a reply: one for each action, then the end of the reply.

use serde::Serialize;

/// A line of a reply.
#[derive(Serialize)]
pub enum ReplyLine<'a> {
    /// Sends an attempt.
    #[serde(rename = "CallOut", rename_all = "PascalCase")]
    Send {
        /// Id of the balancer that acts.
        balancer_id: u64,
        /// Id of the request on the wire.
        #[serde(rename = "Rid")]
        request: &'a str,
        /// Time limit of the attempt, in milliseconds.
        limit_ms: f64,
        /// Address of the upstream.
        upstream: &'a str,
    },
    /// Sends the final answer: the request is rejected.
    #[serde(rename = "Refuse", rename_all = "PascalCase")]
    Reject {
        /// Id of the balancer that acts.
        balancer_id: u64,
        /// Id of the request on the wire.
        #[serde(rename = "Rid")]
        request: &'a str,
        /// Retry-After, in milliseconds.
        #[serde(rename = "WaitMs")]
        retry_after_ms: f64,
    },
    /// Sends the final answer: the request failed.
    #[serde(rename = "FinishError", rename_all = "PascalCase")]
    Fail {
        /// Id of the balancer that acts.
        balancer_id: u64,
        /// Id of the request on the wire.
        #[serde(rename = "Rid")]
        request: &'a str,
    },
    /// Cancels an attempt.
    #[serde(rename = "AbortAttempt", rename_all = "PascalCase")]
    Cancel {
        /// Id of the balancer that acts.
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
        /// Id of the balancer that acts.
        balancer_id: u64,
        /// Address of the upstream.
        upstream: &'a str,
    },
    /// Closes the idle connections to an upstream.
    #[serde(rename = "ShutIdle", rename_all = "PascalCase")]
    CloseIdle {
        /// Id of the balancer that acts.
        balancer_id: u64,
        /// Address of the upstream.
        upstream: &'a str,
    },
    /// Sets a timer.
    #[serde(rename = "Schedule", rename_all = "PascalCase")]
    SetTimer {
        /// Id of the balancer that acts.
        balancer_id: u64,
        /// Time until the timer fires, in milliseconds.
        #[serde(rename = "OffsetMs")]
        delay_ms: f64,
        /// Token to be returned when the timer fires.
        #[serde(rename = "Ctx")]
        token: u64,
    },
    /// Subscribes to changes of the endpoint list.
    #[serde(rename_all = "PascalCase")]
    Subscribe {
        /// Id of the balancer that acts.
        balancer_id: u64,
        /// True to subscribe; false would end the subscription.
        enable: bool,
    },
    /// Polls discovery for the complete endpoint list.
    #[serde(rename = "QueryAll", rename_all = "PascalCase")]
    FetchList {
        /// Id of the balancer that acts.
        balancer_id: u64,
    },
    /// Ends the reply.
    #[serde(rename = "Yield")]
    End {},
}
