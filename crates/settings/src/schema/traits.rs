//! Properties of the service and of its clients.

use serde::Deserialize;

/// Properties of a service.
#[derive(Default, Deserialize)]
pub struct ServiceTraits {
    /// Upstreams that send requests to another tier pass on the remaining time of the request that they
    /// serve. Otherwise each of their requests has the full deadline of its class.
    #[serde(rename = "PassesDeadline", default)]
    pub propagates_deadline: bool,
}

/// Behavior of the clients.
#[derive(Default, Deserialize)]
pub struct ClientBehavior {
    /// Clients mark a request that retries an earlier one.
    #[serde(rename = "MarksRetry", default)]
    pub marks_retries: bool,
}
