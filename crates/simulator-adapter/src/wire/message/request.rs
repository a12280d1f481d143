//! Messages about a request and its client.

use std::borrow::Cow;

use serde::Deserialize;

/// The arrival of a request (`JobIn`).
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Request<'a> {
    /// Id of the balancer that received the request.
    pub balancer_id: u64,
    /// Id of the request on the wire.
    #[serde(rename = "Rid", borrow)]
    pub wire_id: Cow<'a, str>,
    /// Tenant of the request, `None` where the service is not shared.
    #[serde(rename = "Owner", default, borrow)]
    pub tenant: Option<TenantName<'a>>,
    /// Expected work, in milliseconds on a standard core; `None` without a hint.
    #[serde(default)]
    pub expected_ms: Option<f64>,
    /// Name of the class.
    #[serde(rename = "Lane", borrow)]
    pub class: Cow<'a, str>,
    /// How long the client still waits, in milliseconds.
    pub time_left_ms: f64,
    /// Whether the client marks the request as a retry.
    #[serde(rename = "Retry", default)]
    pub marked_retry: bool,
}

/// The tenant of a request.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum TenantName<'a> {
    /// Name of the tenant.
    #[serde(borrow)]
    Name(Cow<'a, str>),
    /// A number (0) where the service is not shared.
    None(
        #[expect(dead_code, reason = "parsed only to reject a value that is neither a name nor a number")]
        u64,
    ),
}

/// The start of a streamed response (`AckFirst`).
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct FirstByte<'a> {
    /// Id of the balancer that received the request.
    pub balancer_id: u64,
    /// Id of the request on the wire.
    #[serde(rename = "Rid", borrow)]
    pub wire_id: Cow<'a, str>,
    /// Number of the attempt, from 0.
    #[serde(rename = "Trial")]
    pub attempt: u32,
}

/// The disconnection of a client (`Aborted`).
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClientDisconnected<'a> {
    /// Id of the balancer that received the request.
    pub balancer_id: u64,
    /// Id of the request on the wire.
    #[serde(rename = "Rid", borrow)]
    pub wire_id: Cow<'a, str>,
}
