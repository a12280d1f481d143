//! Why a call to discovery brought no endpoint list.

use std::error::Error;
use std::io;
use std::time::Duration;

use hyper::StatusCode;

/// Why a call to discovery brought no endpoint list.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("the HTTP connection cannot be set up: {0}")]
    Handshake(#[source] hyper::Error),
    #[error("the request cannot be built: {0}")]
    InvalidRequest(#[source] hyper::http::Error),
    #[error("the request was not answered: {0}")]
    Request(#[source] hyper::Error),
    #[error("the response has status {0}, expected 200 OK")]
    Status(StatusCode),
    #[error("the response body cannot be read: {0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    #[error("the response body is no endpoint list: {0}")]
    Format(#[source] serde_json::Error),
    #[error("no complete response within {0:?}")]
    Timeout(Duration),
}
