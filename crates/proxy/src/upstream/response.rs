//! Reads an upstream's response: the outcome of the attempt, the body to be forwarded and the load report.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode, body::Incoming, http::response::Parts};
use zincstand_policy::{LoadReport, Micros, Outcome};

use crate::upstream::body_prefix::{BodyPrefix, MAX_BUFFERED_BODY_BYTES, read_response_prefix};
use crate::upstream::connection_lease::ConnectionLease;
use crate::upstream::response_body_stream::ResponseBodyStream;
use crate::upstream::upstream_connection::UpstreamConnection;

/// Header that is `1` if the upstream has rejected the request without running it.
const REJECTED_HEADER: &str = "srv-declined";
/// Header with the upstream's load report.
const LOAD_REPORT_HEADER: &str = "srv-load";

/// A response to be forwarded.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// All headers of the response, including those that are not forwarded.
    pub headers: HeaderMap,
    /// The body to be forwarded.
    pub body: UpstreamBody,
}

/// The body of an upstream's response.
#[derive(Debug)]
pub enum UpstreamBody {
    /// The complete body.
    Complete(Bytes),
    /// A body that is still arriving from the upstream.
    Streamed(Box<ResponseBodyStream>),
}

/// The result of sending a request and reading its response.
pub struct ExchangeResult {
    /// The outcome that is reported to the policy.
    pub outcome: Outcome,
    /// The load report in the response, whatever the outcome; `None` if there was none.
    pub load_report: Option<LoadReport>,
    /// The response, if the outcome is [`Outcome::Ok`]; `None` otherwise.
    pub response: Option<UpstreamResponse>,
    /// The connection, to be put back into the pool; `None` if it failed or a streamed body uses it.
    pub connection: Option<UpstreamConnection>,
}

impl From<Outcome> for ExchangeResult {
    /// Creates the result of an exchange without a response to forward.
    fn from(outcome: Outcome) -> ExchangeResult {
        ExchangeResult { outcome, load_report: None, response: None, connection: None }
    }
}

/// Reads a response: to its end if it is short, otherwise only the part that is buffered. The result has the connection
/// only if the response was read to its end.
pub async fn read_response(response: Response<Incoming>, lease: ConnectionLease) -> ExchangeResult {
    let (head, body) = response.into_parts();
    let report = head.headers.get(LOAD_REPORT_HEADER).and_then(|value| value.to_str().ok());
    let load_report = report.map(parse_load_report);
    let result = if head.status == StatusCode::OK {
        read_success(head.headers, body, lease).await
    } else {
        read_failure(&head, body, lease).await
    };
    ExchangeResult { load_report, ..result }
}

async fn read_success(headers: HeaderMap, body: Incoming, lease: ConnectionLease) -> ExchangeResult {
    match read_response_prefix(body, lease.memory()).await {
        BodyPrefix::Complete(body) => ExchangeResult {
            response: Some(UpstreamResponse { headers, body: UpstreamBody::Complete(body) }),
            connection: Some(lease.into_connection()),
            ..Outcome::Ok.into()
        },
        // The outcome is final although the body is incomplete: from here on, the body's speed depends on the client.
        BodyPrefix::More(prefix, rest) => {
            let body = UpstreamBody::Streamed(Box::new(ResponseBodyStream::new(prefix, rest, lease)));
            ExchangeResult { response: Some(UpstreamResponse { headers, body }), ..Outcome::Ok.into() }
        }
        BodyPrefix::Broken | BodyPrefix::TooLong => Outcome::Reset.into(),
    }
}

async fn read_failure(head: &Parts, body: Incoming, lease: ConnectionLease) -> ExchangeResult {
    if !is_read_to_end(body).await {
        // An incomplete response does not count as a rejection, even if its head marks the request as rejected.
        return Outcome::Reset.into();
    }
    let outcome = match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_marked_rejected(head) => {
            Outcome::Rejected
        }
        _ => Outcome::Error,
    };
    ExchangeResult { connection: Some(lease.into_connection()), ..outcome.into() }
}

/// Reads a body that is not forwarded, and returns whether it is complete and not too long.
async fn is_read_to_end(body: Incoming) -> bool {
    let mut body = Limited::new(body, MAX_BUFFERED_BODY_BYTES);
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}

fn is_marked_rejected(head: &Parts) -> bool {
    head.headers.get(REJECTED_HEADER).is_some_and(|value| value == "1")
}

/// Parses a load report of the form `name=value,name=value`. Ignores unknown names and values that are not finite
/// numbers of at least 0.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        // The policy adds these values up, and a single `NaN` or `inf` would make the sums invalid permanently.
        let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
        let Some(value) = value.trim().parse::<f64>().ok().filter(is_valid) else { continue };
        match name.trim() {
            "inflight" => report.in_flight = Some(value),
            "queue" => report.queue = Some(value),
            "util" => report.utilization = Some(value),
            "qps" => report.throughput = Some(value),
            "latency_ms" => report.latency = Some((value * 1000.0) as Micros),
            "eps" => report.errors = Some(value),
            _ => {}
        }
    }
    report
}
