//! The responses of the admin API. Each is one line of plain text.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

use crate::admin::request::AdminRequestError;
use crate::lifecycle::overrides::OverrideError;

/// A response in the form that the HTTP library takes.
pub(super) type TextResponse = Response<Full<Bytes>>;

/// The result of a valid request. Operators' scripts read the responses, so status and text are part of the API.
#[derive(Debug, PartialEq)]
pub(super) enum AdminResponse {
    /// The process serves clients.
    Ready,
    /// The process is shutting down, or has no endpoint list yet.
    NotReady,
    /// The upstream is excluded.
    Excluded {
        /// The upstream's name.
        upstream: String,
    },
    /// The upstream is included.
    Included {
        /// The upstream's name.
        upstream: String,
    },
    /// No endpoint list has contained the upstream.
    UnknownUpstream {
        /// The name in the request.
        upstream: String,
    },
    /// The balancer is evacuated.
    Evacuated,
    /// The evacuation has ended.
    Rejoined,
}

impl AdminResponse {
    fn status(&self) -> StatusCode {
        match self {
            AdminResponse::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            AdminResponse::UnknownUpstream { .. } => StatusCode::NOT_FOUND,
            AdminResponse::Ready
            | AdminResponse::Excluded { .. }
            | AdminResponse::Included { .. }
            | AdminResponse::Evacuated
            | AdminResponse::Rejoined => StatusCode::OK,
        }
    }

    fn message(&self) -> String {
        match self {
            AdminResponse::Ready => "ready".to_owned(),
            AdminResponse::NotReady => "not ready".to_owned(),
            AdminResponse::Excluded { upstream } => format!("{upstream} is out"),
            AdminResponse::Included { upstream } => format!("{upstream} is in use"),
            AdminResponse::UnknownUpstream { upstream } => format!("no list has named {upstream}"),
            AdminResponse::Evacuated => "clients are sent away".to_owned(),
            AdminResponse::Rejoined => "clients are taken".to_owned(),
        }
    }

    /// Returns the HTTP response.
    pub(super) fn into_response(self) -> TextResponse {
        text_response(self.status(), &self.message())
    }
}

/// Returns the response to an invalid request.
pub(super) fn request_error(error: &AdminRequestError) -> TextResponse {
    let mut response = text_response(error.status(), &error.to_string());
    let allowed = error.allowed_method().and_then(|method| HeaderValue::from_str(method.as_str()).ok());
    if let Some(allowed) = allowed {
        response.headers_mut().insert(ALLOW, allowed);
    }
    response
}

/// Returns the response to a request whose override could not be saved and does not take effect.
pub(super) fn not_saved(error: &OverrideError) -> TextResponse {
    text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("not kept: {error}"))
}

fn text_response(status: StatusCode, line: &str) -> TextResponse {
    let mut response = Response::new(Full::new(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
