//! A request as it is forwarded to upstreams. All of its attempts share it.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use zincstand_policy::Micros;

use crate::dispatch::BodyEnd;
use crate::request_ids::RequestIdClaim;
use crate::upstream::downstream_client::DownstreamClient;
use crate::upstream::request_body_stream::{OutgoingBody, RequestBodyStream};

/// Maximum length in bytes of a request id in the log.
const MAX_LOG_NAME_BYTES: usize = 64;
/// Header with the id that the client has given the request.
const REQ_ID: &str = "req-id";
/// Header with the client's remaining time in whole milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("req-deadline-ms");

/// A request to be forwarded to an upstream.
pub struct UpstreamRequest {
    /// The method, `GET` or `POST`.
    pub method: Method,
    /// The path and query, without authority.
    pub uri: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
    /// The connection of the client that waits for the response; `None` for a health check.
    pub client: Option<Weak<dyn DownstreamClient>>,
    /// The claim on the id of the request, which lasts until all attempts have ended; `None` for a health check.
    pub id_claim: Option<RequestIdClaim>,
}

/// The body of a request.
pub enum RequestBody {
    /// The complete body.
    Complete(Bytes),
    /// A body that is still arriving from the client.
    Streamed(Rc<RequestBodyStream>),
}

/// Returns the id of a request for the log: the beginning of a long one, and `-` if there is none or one that is not visible
/// ASCII.
pub fn log_name(id: Option<&HeaderValue>) -> &str {
    shorten_log_name(id.and_then(|id| id.to_str().ok()).unwrap_or("-"))
}

/// Returns the beginning of a request id, as the log shows it.
pub fn shorten_log_name(name: &str) -> &str {
    name.get(..MAX_LOG_NAME_BYTES).unwrap_or(name)
}

impl RequestBody {
    /// Returns the length in bytes; `None` for a streamed body of undeclared length.
    pub fn declared_length(&self) -> Option<u64> {
        match self {
            RequestBody::Complete(body) => Some(body.len() as u64),
            RequestBody::Streamed(stream) => stream.declared_length(),
        }
    }

    /// Returns the length in bytes once the last byte has arrived; `None` before.
    pub fn complete_length(&self) -> Option<u64> {
        match self {
            RequestBody::Complete(body) => Some(body.len() as u64),
            RequestBody::Streamed(stream) if stream.end() == Some(BodyEnd::Complete) => {
                Some(stream.length_so_far())
            }
            RequestBody::Streamed(_) => None,
        }
    }

    /// Returns for how long the complete body may have been with the proxy's machine; zero for a buffered body.
    pub fn max_age(&self) -> Duration {
        match self {
            RequestBody::Complete(_) => Duration::ZERO,
            RequestBody::Streamed(stream) => stream.max_age(),
        }
    }

    /// Returns whether the body ended before its last byte, because the client broke it off or it exceeded the maximum
    /// length.
    pub fn is_truncated(&self) -> bool {
        match self {
            RequestBody::Complete(_) => false,
            RequestBody::Streamed(stream) => stream.end().is_some_and(|end| end != BodyEnd::Complete),
        }
    }

    /// Returns the body for one attempt.
    fn outgoing(&self) -> OutgoingBody {
        match self {
            RequestBody::Complete(body) => OutgoingBody::complete(body.clone()),
            RequestBody::Streamed(stream) => OutgoingBody::streamed(stream),
        }
    }
}

impl UpstreamRequest {
    /// Creates the request of a health check.
    pub fn health_check() -> UpstreamRequest {
        UpstreamRequest {
            method: Method::GET,
            uri: Uri::from_static("/health/live"),
            headers: HeaderMap::new(),
            body: RequestBody::Complete(Bytes::new()),
            client: None,
            id_claim: None,
        }
    }

    /// Returns the id that the client has given the request, for the log: the beginning of a long one, and `-` if there is
    /// none or one that is not visible ASCII.
    pub fn name(&self) -> &str {
        log_name(self.headers.get(REQ_ID))
    }

    /// Returns whether an attempt has read body bytes that are not buffered, so that the request cannot be sent again.
    pub fn body_consumed(&self) -> bool {
        matches!(&self.body, RequestBody::Streamed(stream) if stream.is_consumed())
    }

    /// Returns whether the client has disconnected, so that no attempt may begin. A client whose connection was dropped
    /// counts as disconnected. False for a health check, which has no client.
    pub fn client_disconnected(&self) -> bool {
        let has_disconnected = |client: &Weak<dyn DownstreamClient>| {
            client.upgrade().is_none_or(|client| client.is_disconnected())
        };
        self.client.as_ref().is_some_and(has_disconnected)
    }

    /// Builds the HTTP request to the upstream at `address`. `time_left`, in microseconds, is forwarded as the deadline,
    /// rounded up to a millisecond; `None` forwards no deadline.
    pub fn to_http(&self, address: SocketAddr, time_left: Option<Micros>) -> Request<OutgoingBody> {
        let mut request = Request::new(self.body.outgoing());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&address.to_string())
        {
            headers.insert(HOST, host);
        }
        if let Some(time_left) = time_left {
            headers.insert(DEADLINE_HEADER, HeaderValue::from(time_left.div_ceil(1000)));
        }
        if self.method == Method::POST
            && let Some(length) = self.body.declared_length()
        {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        request
    }
}
