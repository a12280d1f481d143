//! Errors of calls to discovery.

use std::error::Error;
use std::io;
use std::time::Duration;

use hyper::StatusCode;

/// A call to discovery returned no endpoint list.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    /// The connection cannot be opened.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The HTTP connection cannot be set up on the open connection.
    #[error("the HTTP connection cannot be set up: {0}")]
    Handshake(#[source] hyper::Error),
    /// The HTTP library rejects the request.
    #[error("the request cannot be built: {0}")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The request was not sent completely, or no response head was received.
    #[error("the request was not sent, or no response was received: {0}")]
    Request(#[source] hyper::Error),
    /// The response has another status than 200.
    #[error("the response has status {0}, expected 200 OK")]
    Status(StatusCode),
    /// The body was not received completely or is too large.
    #[error("the response body cannot be read: {0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The bodies of all simultaneous calls together are too large.
    #[error("the response bodies of simultaneous calls are too large together")]
    BuffersFull,
    /// The body is not a valid endpoint list.
    #[error("the response body is not an endpoint list: {0}")]
    Format(#[source] serde_json::Error),
    /// No complete response was received in time.
    #[error("no complete response within {0:?}")]
    Timeout(Duration),
}
