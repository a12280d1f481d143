//! An upstream's response: what it means for the attempt, its body and its load report.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode, body::Incoming, http::response::Parts};
use zincstand_policy::{LoadReport, Micros, Outcome};

use crate::upstream::body_prefix::{BodyPrefix, MAX_BUFFERED_BODY, read_response_prefix};
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::connection_lease::ConnectionLease;
use crate::upstream::streamed_body::StreamedBody;

/// Set to `1` by an upstream that rejects a request without having run it.
const REJECTED: &str = "srv-declined";
/// The upstream's load report.
const LOAD_REPORT: &str = "srv-load";

/// A response to be forwarded.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: UpstreamBody,
}

/// The body of an upstream's response.
#[derive(Debug)]
pub enum UpstreamBody {
    /// The complete body.
    Complete(Bytes),
    /// A body that is still coming.
    Streamed(StreamedBody),
}

/// How the exchange of one request and its response ended.
pub struct ExchangeResult {
    /// What it means for the request.
    pub outcome: Outcome,
    /// The load report that the upstream has sent, whatever the outcome.
    pub load_report: Option<LoadReport>,
    /// The response, if it may be forwarded.
    pub response: Option<UpstreamResponse>,
    /// The connection, if it takes further requests.
    pub connection: Option<UpstreamConnection>,
}

impl From<Outcome> for ExchangeResult {
    /// An exchange without a response.
    fn from(outcome: Outcome) -> ExchangeResult {
        ExchangeResult { outcome, load_report: None, response: None, connection: None }
    }
}

/// Reads a response, to its end or as far as it is buffered. The connection is kept only if it was read to its end.
pub async fn read_response(response: Response<Incoming>, lease: ConnectionLease) -> ExchangeResult {
    let (head, body) = response.into_parts();
    let report = head.headers.get(LOAD_REPORT).and_then(|value| value.to_str().ok());
    let load_report = report.map(parse_load_report);
    let result = if head.status == StatusCode::OK {
        read_success(head.headers, body, lease).await
    } else {
        read_failure(&head, body, lease).await
    };
    ExchangeResult { load_report, ..result }
}

async fn read_success(headers: HeaderMap, body: Incoming, lease: ConnectionLease) -> ExchangeResult {
    match read_response_prefix(body).await {
        BodyPrefix::Complete(body) => ExchangeResult {
            response: Some(UpstreamResponse { headers, body: UpstreamBody::Complete(body) }),
            connection: Some(lease.into_connection()),
            ..Outcome::Ok.into()
        },
        // The upstream has done its work: how fast the client reads says nothing about it.
        BodyPrefix::More(prefix, rest) => {
            let body = UpstreamBody::Streamed(StreamedBody::new(prefix, rest, lease));
            ExchangeResult { response: Some(UpstreamResponse { headers, body }), ..Outcome::Ok.into() }
        }
        BodyPrefix::Broken | BodyPrefix::TooLong => Outcome::Reset.into(),
    }
}

async fn read_failure(head: &Parts, body: Incoming, lease: ConnectionLease) -> ExchangeResult {
    let is_complete = Limited::new(body, MAX_BUFFERED_BODY).collect().await.is_ok();
    if !is_complete {
        // A damaged response proves nothing, even if its head says that the request was rejected.
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

fn is_marked_rejected(head: &Parts) -> bool {
    head.headers.get(REJECTED).is_some_and(|value| value == "1")
}

/// Parses a load report, `name=value,name=value`. What is unknown or not a number from 0 up is ignored.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        // The policy adds these values up: a single `NaN` or `inf` would never leave its sums.
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
