//! Validates a client's request and converts it into the dispatcher's form.

use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use thiserror::Error;
use zincstand_policy as policy;
use zincstand_policy::{Idempotency, Micros};

use crate::dispatch::BodyEnd;
use crate::dispatch::IncomingRequest;
use crate::downstream::headers::{IDEMPOTENCY_KEY, REQ_ID, end_to_end_headers};
use crate::downstream::progress::ConnectionProgress;
use crate::memory::MemoryBudget;
use crate::request_ids::ClaimError;
use crate::upstream::body_prefix::{BodyPrefix, read_prefix};
use crate::upstream::downstream_client::DownstreamClient;
use crate::upstream::request_body_stream::RequestBodyStream;
use crate::upstream::{RequestBody, UpstreamRequest};

/// Header with the name of the request's class.
const REQ_KIND: &str = "req-kind";
/// Header with the time that the client waits, in whole milliseconds.
const REQ_DEADLINE_MS: &str = "req-deadline-ms";
/// Header with the name of the tenant.
const REQ_OWNER: &str = "req-owner";
/// Header with the client's estimate of the work of the request, a whole number.
const REQ_COST: &str = "req-cost";
/// Header that is `1` if the request is a client's retry.
const REQ_RETRY: &str = "req-retry";

/// Why a request is not served: the response to its client.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{status}: {message}")]
pub struct RequestError {
    /// The status of the response.
    pub status: StatusCode,
    /// The body of the response.
    pub message: &'static str,
}

impl RequestError {
    /// The body exceeds [`MAX_STREAMED_BODY_BYTES`](crate::upstream::body_prefix::MAX_STREAMED_BODY_BYTES).
    pub const BODY_TOO_LARGE: RequestError =
        RequestError { status: StatusCode::PAYLOAD_TOO_LARGE, message: "over 32 MiB" };
    /// The body ended before its last byte, or its framing is invalid.
    pub const BROKEN_BODY: RequestError = RequestError::bad_request("broken body");
    /// The request has no id.
    pub const NO_REQUEST_ID: RequestError = RequestError::bad_request("no Req-Id");
    /// The request's class has no body.
    const UNEXPECTED_BODY: RequestError = RequestError::bad_request("a body that does not fit the class");

    /// The body was still arriving when the time for a graceful shutdown ended.
    const SHUTTING_DOWN: RequestError =
        RequestError { status: StatusCode::SERVICE_UNAVAILABLE, message: "shutting down" };

    /// Creates the error of a request whose id cannot be claimed.
    pub fn unclaimed_id(error: ClaimError) -> RequestError {
        match error {
            ClaimError::Open => RequestError::bad_request("this Req-Id is open"),
            ClaimError::Used => {
                RequestError { status: StatusCode::CONFLICT, message: "this Req-Id has been used" }
            }
            ClaimError::NoCapacity | ClaimError::NotShared => {
                RequestError { status: StatusCode::SERVICE_UNAVAILABLE, message: "no room for Req-Ids" }
            }
        }
    }

    /// Creates the error of an invalid request.
    pub const fn bad_request(message: &'static str) -> RequestError {
        RequestError { status: StatusCode::BAD_REQUEST, message }
    }

    /// Creates the error of a request whose body ended before its last byte.
    pub fn incomplete_body(end: BodyEnd) -> RequestError {
        match end {
            BodyEnd::TooLong => RequestError::BODY_TOO_LARGE,
            BodyEnd::ShutDown => RequestError::SHUTTING_DOWN,
            BodyEnd::Broken | BodyEnd::Complete => RequestError::BROKEN_BODY,
        }
    }
}

/// Checks requests against the classes and tenants of the settings.
pub struct RequestValidator {
    /// Request classes by name. Names are bytes, since header values need not be text.
    classes: HashMap<Vec<u8>, RequestClass>,
    /// The policy's ids of the tenants by name.
    tenants: HashMap<Vec<u8>, policy::TenantId>,
}

/// A class of requests and the policy's id for it.
struct RequestClass {
    id: policy::ClassId,
    class: policy::Class,
}

impl RequestValidator {
    /// Creates a validator for these classes and tenants, whose ids are their positions.
    pub fn new(classes: Vec<(String, policy::Class)>, tenants: Vec<String>) -> RequestValidator {
        let classes = classes
            .into_iter()
            .enumerate()
            .map(|(id, (name, class))| (name.into_bytes(), RequestClass { id, class }))
            .collect();
        let tenants = tenants.into_iter().enumerate().map(|(id, name)| (name.into_bytes(), id)).collect();
        RequestValidator { classes, tenants }
    }

    /// Returns whether and where the requests of a class may be repeated, `None` if there is no such class.
    pub fn idempotency(&self, class: policy::ClassId) -> Option<Idempotency> {
        let class = self.classes.values().find(|known| known.id == class)?;
        Some(class.class.idempotency)
    }

    /// Reads and validates a request. A short body is read completely; a longer body is read in part, and the rest is
    /// streamed. The request's time limit runs from its last byte.
    ///
    /// # Errors
    ///
    /// A [`RequestError`] if the request is invalid or its body does not arrive completely.
    pub async fn read(
        &self,
        request: Request<Incoming>,
        progress: &Rc<ConnectionProgress>,
        memory: &MemoryBudget,
    ) -> Result<IncomingRequest<UpstreamRequest>, RequestError> {
        let (head, body) = request.into_parts();
        reject_repeated_headers(&head.headers)?;
        let RequestClass { id: class_id, class } = self.class(&head.headers)?;
        require_request_id(&head.headers)?;
        check_method(&head.method, &head.headers, class.idempotency)?;
        let time_left = client_time(&head.headers, class)?;
        let tenant = head.headers.get(REQ_OWNER).and_then(|name| self.tenants.get(name.as_bytes()).copied());
        let estimated_work = text_header(&head.headers, REQ_COST).and_then(parse_digits);
        let marked_retry = text_header(&head.headers, REQ_RETRY) == Some("1");
        let headers = end_to_end_headers(head.headers);
        let body = read_body(body, class.idempotency, progress, memory).await?;
        // The request target may be in absolute form; only its path and query are forwarded.
        let path = head.uri.path_and_query().cloned().ok_or(RequestError::bad_request("no path"))?;
        let body_pending = matches!(body, RequestBody::Streamed(_));
        // The request may have waited for a permit or for the previous response, which uses up a part of its time.
        let waited = if body_pending { Duration::ZERO } else { progress.request_age() };
        let time_left = time_left.saturating_sub(waited.as_micros() as Micros);
        let client: Weak<dyn DownstreamClient> = Rc::<ConnectionProgress>::downgrade(progress);
        let upstream_request = UpstreamRequest {
            method: head.method,
            uri: path.into(),
            headers,
            body,
            client: Some(client),
            id_claim: None,
        };
        Ok(IncomingRequest {
            class: *class_id,
            time_left,
            tenant,
            estimated_work,
            marked_retry,
            body_pending,
            request: upstream_request,
        })
    }

    fn class(&self, headers: &HeaderMap) -> Result<&RequestClass, RequestError> {
        let name = headers.get(REQ_KIND).ok_or(RequestError::bad_request("no Req-Kind"))?;
        self.classes.get(name.as_bytes()).ok_or(RequestError::bad_request("unknown Req-Kind"))
    }
}

/// Returns the time in microseconds that the client waits: the time in its header, limited by the deadline of the class.
fn client_time(headers: &HeaderMap, class: &policy::Class) -> Result<Micros, RequestError> {
    if !headers.contains_key(REQ_DEADLINE_MS) {
        return Ok(class.deadline);
    }
    let milliseconds = text_header(headers, REQ_DEADLINE_MS)
        .and_then(parse_digits)
        .ok_or(RequestError::bad_request("Req-Deadline-Ms is no number"))?;
    Ok(class.deadline.min(milliseconds.saturating_mul(1000)))
}

/// Rejects requests that repeat a `Req-*` header or the idempotency key: one peer might read the first value and another
/// the last.
fn reject_repeated_headers(headers: &HeaderMap) -> Result<(), RequestError> {
    let is_single = |name: &HeaderName| name.as_str().starts_with("req-") || *name == IDEMPOTENCY_KEY;
    let is_repeated = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    if headers.keys().any(|name| is_single(name) && is_repeated(name)) {
        return Err(RequestError::bad_request("a header that may stand once stands twice"));
    }
    Ok(())
}

fn require_request_id(headers: &HeaderMap) -> Result<(), RequestError> {
    if headers.get(REQ_ID).is_none_or(HeaderValue::is_empty) {
        return Err(RequestError::NO_REQUEST_ID);
    }
    Ok(())
}

/// Checks that the method is GET or POST, and that method and idempotency key match the request's class: GET for
/// idempotent requests, POST with a key for requests that are idempotent by their key, and POST without a key for others.
/// The class decides whether the proxy retries the request. If method or key contradict the class, the client has chosen
/// the wrong class, and a retry could run a request twice.
fn check_method(method: &Method, headers: &HeaderMap, idempotency: Idempotency) -> Result<(), RequestError> {
    if *method != Method::GET && *method != Method::POST {
        return Err(RequestError { status: StatusCode::METHOD_NOT_ALLOWED, message: "GET or POST" });
    }
    let key = headers.get(IDEMPOTENCY_KEY);
    let matches_class = match idempotency {
        Idempotency::Idempotent => *method == Method::GET && key.is_none(),
        Idempotency::WithKey { .. } => *method == Method::POST && key.is_some_and(|key| !key.is_empty()),
        Idempotency::NotIdempotent => *method == Method::POST && key.is_none(),
    };
    if !matches_class {
        return Err(RequestError::bad_request("method or Idempotency-Key do not fit the class"));
    }
    Ok(())
}

/// Reads the part of the body that is buffered before the request is forwarded. Requests of idempotent classes have no
/// body.
async fn read_body(
    body: Incoming,
    idempotency: Idempotency,
    progress: &Rc<ConnectionProgress>,
    memory: &MemoryBudget,
) -> Result<RequestBody, RequestError> {
    let may_have_body = idempotency != Idempotency::Idempotent;
    match read_prefix(body, None, memory).await {
        BodyPrefix::Complete(body) if may_have_body || body.is_empty() => Ok(RequestBody::Complete(body)),
        BodyPrefix::More(prefix, rest) if may_have_body => {
            Ok(RequestBody::Streamed(RequestBodyStream::new(prefix, rest, progress.clone())))
        }
        BodyPrefix::Complete(_) | BodyPrefix::More(..) => Err(RequestError::UNEXPECTED_BODY),
        BodyPrefix::TooLong => Err(RequestError::BODY_TOO_LARGE),
        BodyPrefix::Broken => Err(RequestError::BROKEN_BODY),
    }
}

/// Returns a header's value; `None` if the header is absent or not visible ASCII.
fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses a decimal number without sign. `u64::from_str` alone would also accept a leading `+`.
fn parse_digits(text: &str) -> Option<u64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
