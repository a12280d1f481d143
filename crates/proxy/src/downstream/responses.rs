//! Responses that the proxy itself generates.

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use zincstand_policy::Micros;

use crate::dispatch::Failure;
use crate::downstream::request_validation::RequestError;
use crate::downstream::response_body::ResponseBody;

/// Creates a response with a short text as its body.
pub fn plain_text(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Creates the response to an invalid request.
pub fn request_error(error: RequestError) -> Response<ResponseBody> {
    plain_text(error.status, error.message)
}

/// Creates the response to a request that was shed. `retry_after` is the value of the `Retry-After` header in
/// microseconds; 0 sends no such header.
pub fn rejected(retry_after: Micros) -> Response<ResponseBody> {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if retry_after > 0 {
        let seconds = format!("{:.3}", retry_after as f64 / 1e6);
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
    response
}

/// Creates the response to a request that failed after it was admitted.
pub fn failed(failure: Failure) -> Response<ResponseBody> {
    match failure {
        Failure::DeadlineExceeded => plain_text(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        Failure::Upstream => plain_text(StatusCode::BAD_GATEWAY, "upstream failed"),
    }
}
