//! The answers to operators: one line of plain text each.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

use crate::admin::call::RequestError;
use crate::lifecycle::overrides::OverrideError;

/// An answer as it goes to the HTTP library.
pub(super) type TextResponse = Response<Full<Bytes>>;

/// What came of a call. Operators' scripts read the answers, so status and text stay as they are.
#[derive(Debug, PartialEq)]
pub(super) enum CallResult {
    Ready,
    NotReady,
    Excluded { upstream: String },
    Included { upstream: String },
    UnknownUpstream { upstream: String },
    Evacuated,
    Rejoined,
}

impl CallResult {
    fn status(&self) -> StatusCode {
        match self {
            CallResult::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            CallResult::UnknownUpstream { .. } => StatusCode::NOT_FOUND,
            CallResult::Ready
            | CallResult::Excluded { .. }
            | CallResult::Included { .. }
            | CallResult::Evacuated
            | CallResult::Rejoined => StatusCode::OK,
        }
    }

    fn message(&self) -> String {
        match self {
            CallResult::Ready => "ready".to_owned(),
            CallResult::NotReady => "not ready".to_owned(),
            CallResult::Excluded { upstream } => format!("{upstream} is out"),
            CallResult::Included { upstream } => format!("{upstream} is in use"),
            CallResult::UnknownUpstream { upstream } => format!("no list has named {upstream}"),
            CallResult::Evacuated => "clients are sent away".to_owned(),
            CallResult::Rejoined => "clients are taken".to_owned(),
        }
    }

    /// The answer to the call.
    pub(super) fn into_response(self) -> TextResponse {
        text_response(self.status(), &self.message())
    }
}

/// The answer to a request that is no valid call.
pub(super) fn request_error(error: &RequestError) -> TextResponse {
    let mut response = text_response(error.status(), &error.to_string());
    let allowed = error.allowed_method().and_then(|method| HeaderValue::from_str(method.as_str()).ok());
    if let Some(allowed) = allowed {
        response.headers_mut().insert(ALLOW, allowed);
    }
    response
}

/// The answer to a call whose override could not be saved, so that it is not in force.
pub(super) fn not_saved(error: &OverrideError) -> TextResponse {
    text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("not kept: {error}"))
}

fn text_response(status: StatusCode, line: &str) -> TextResponse {
    let mut response = Response::new(Full::new(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
