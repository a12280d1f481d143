//! What operators may call, and how a request names it. Knows methods and paths, nothing of the answers to valid calls.

use hyper::{Method, StatusCode, Uri};

/// Longest upstream name that is accepted, in bytes; discovery's names are far shorter.
pub(super) const MAX_NAME_LENGTH: usize = 256;

/// What a request asks for.
#[derive(Debug, PartialEq)]
pub(super) enum AdminCall {
    /// Whether this process serves clients.
    Ready,
    /// Sends nothing new to the named upstream.
    Exclude(String),
    /// Uses the named upstream again.
    Include(String),
    /// Sends clients away.
    Evacuate,
    /// Takes clients again.
    Rejoin,
}

/// A request that is no valid call. Operators' scripts read the messages, so they stay as they are.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum RequestError {
    #[error("no such path")]
    UnknownPath,
    #[error("no upstream's name")]
    InvalidName,
    #[error("another method")]
    WrongMethod {
        /// The only method that the path takes.
        allowed: Method,
    },
    #[error("a call has no query")]
    UnexpectedQuery,
    /// The body is too large, or its end never came.
    #[error("a call has no body")]
    UnreadableBody,
}

impl RequestError {
    /// The status of the answer.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::InvalidName | RequestError::UnexpectedQuery => StatusCode::BAD_REQUEST,
            RequestError::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::UnreadableBody => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    /// The method for the answer's `Allow` header, if it has one.
    pub(super) fn allowed_method(&self) -> Option<&Method> {
        match self {
            RequestError::WrongMethod { allowed } => Some(allowed),
            _ => None,
        }
    }
}

impl AdminCall {
    /// The call that a request's method and URI name.
    ///
    /// # Errors
    /// The first of path, name, method and query that is wrong, in this order.
    pub(super) fn parse(method: &Method, uri: &Uri) -> Result<AdminCall, RequestError> {
        let call = AdminCall::parse_path(uri.path())?;
        let allowed = call.method();
        if *method != allowed {
            return Err(RequestError::WrongMethod { allowed });
        }
        if uri.query().is_some() {
            return Err(RequestError::UnexpectedQuery);
        }
        Ok(call)
    }

    fn parse_path(path: &str) -> Result<AdminCall, RequestError> {
        match path {
            "/api/ready" => return Ok(AdminCall::Ready),
            "/api/evacuate" => return Ok(AdminCall::Evacuate),
            "/api/rejoin" => return Ok(AdminCall::Rejoin),
            _ => {}
        }
        if let Some(segment) = path.strip_prefix("/api/exclude/") {
            return Ok(AdminCall::Exclude(decode_name(segment)?));
        }
        if let Some(segment) = path.strip_prefix("/api/include/") {
            return Ok(AdminCall::Include(decode_name(segment)?));
        }
        Err(RequestError::UnknownPath)
    }

    /// The only method that the call takes.
    fn method(&self) -> Method {
        match self {
            AdminCall::Ready => Method::GET,
            AdminCall::Exclude(_) | AdminCall::Include(_) | AdminCall::Evacuate | AdminCall::Rejoin => {
                Method::POST
            }
        }
    }
}

/// The upstream name that a path segment encodes.
fn decode_name(segment: &str) -> Result<String, RequestError> {
    let decoded = decode_segment(segment).ok_or(RequestError::InvalidName)?;
    let name = String::from_utf8(decoded).map_err(|_| RequestError::InvalidName)?;
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || name.chars().any(char::is_control) {
        return Err(RequestError::InvalidName);
    }
    Ok(name)
}

/// The bytes of a percent-encoded path segment; `None` if it is wrongly encoded or more than one segment.
fn decode_segment(segment: &str) -> Option<Vec<u8>> {
    let mut decoded = Vec::with_capacity(segment.len());
    let mut bytes = segment.bytes();
    while let Some(byte) = bytes.next() {
        let byte = match byte {
            b'/' => return None,
            b'%' => {
                let high = hex_digit(bytes.next()?)?;
                let low = hex_digit(bytes.next()?)?;
                high * 16 + low
            }
            plain => plain,
        };
        decoded.push(byte);
    }
    Some(decoded)
}

fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}
