//! The requests of the admin API and their form in HTTP: methods, paths and encoded names.

use hyper::{Method, StatusCode, Uri};

/// Maximum length of an upstream name, in bytes. Names in discovery are far shorter.
pub(super) const MAX_NAME_BYTES: usize = 256;

/// A valid request of the admin API.
#[derive(Debug, PartialEq)]
pub(super) enum AdminRequest {
    /// Reports whether this process serves clients.
    Ready,
    /// Excludes the named upstream: no new request is sent to it.
    Exclude(String),
    /// Includes the named upstream again.
    Include(String),
    /// Evacuates the balancer, so that clients use another one.
    Evacuate,
    /// Ends an evacuation.
    Rejoin,
}

/// An invalid request. Operators' scripts read the messages, so their text is part of the API.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum AdminRequestError {
    /// No request has this path.
    #[error("no such path")]
    UnknownPath,
    /// The upstream name is empty, too long, wrongly encoded or contains control characters.
    #[error("no upstream's name")]
    InvalidName,
    /// The path does not accept the method of the request.
    #[error("another method")]
    WrongMethod {
        /// The only method that the path accepts.
        allowed: Method,
    },
    /// The URI has a query, which no request accepts.
    #[error("a call has no query")]
    UnexpectedQuery,
    /// The body is too large or was not received completely.
    #[error("a call has no body")]
    UnreadableBody,
}

impl AdminRequestError {
    /// Returns the status of the response.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            AdminRequestError::UnknownPath => StatusCode::NOT_FOUND,
            AdminRequestError::InvalidName | AdminRequestError::UnexpectedQuery => StatusCode::BAD_REQUEST,
            AdminRequestError::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            AdminRequestError::UnreadableBody => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    /// Returns the method for the `Allow` header of the response, or `None` if the response has no such header.
    pub(super) fn allowed_method(&self) -> Option<&Method> {
        match self {
            AdminRequestError::WrongMethod { allowed } => Some(allowed),
            _ => None,
        }
    }
}

impl AdminRequest {
    /// Parses the method and the URI of a request.
    ///
    /// # Errors
    /// The request is invalid. The checks run in the order path, name, method, query, and the first error is returned.
    pub(super) fn parse(method: &Method, uri: &Uri) -> Result<AdminRequest, AdminRequestError> {
        let request = AdminRequest::parse_path(uri.path())?;
        let allowed = request.method();
        if *method != allowed {
            return Err(AdminRequestError::WrongMethod { allowed });
        }
        if uri.query().is_some() {
            return Err(AdminRequestError::UnexpectedQuery);
        }
        Ok(request)
    }

    fn parse_path(path: &str) -> Result<AdminRequest, AdminRequestError> {
        match path {
            "/api/ready" => return Ok(AdminRequest::Ready),
            "/api/evacuate" => return Ok(AdminRequest::Evacuate),
            "/api/rejoin" => return Ok(AdminRequest::Rejoin),
            _ => {}
        }
        if let Some(segment) = path.strip_prefix("/api/exclude/") {
            return Ok(AdminRequest::Exclude(decode_name(segment)?));
        }
        if let Some(segment) = path.strip_prefix("/api/include/") {
            return Ok(AdminRequest::Include(decode_name(segment)?));
        }
        Err(AdminRequestError::UnknownPath)
    }

    /// Returns the only method that the request accepts.
    fn method(&self) -> Method {
        match self {
            AdminRequest::Ready => Method::GET,
            AdminRequest::Exclude(_)
            | AdminRequest::Include(_)
            | AdminRequest::Evacuate
            | AdminRequest::Rejoin => Method::POST,
        }
    }
}

/// Returns the upstream name that a path segment encodes.
fn decode_name(segment: &str) -> Result<String, AdminRequestError> {
    let decoded = decode_segment(segment).ok_or(AdminRequestError::InvalidName)?;
    let name = String::from_utf8(decoded).map_err(|_| AdminRequestError::InvalidName)?;
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        return Err(AdminRequestError::InvalidName);
    }
    Ok(name)
}

/// Returns the bytes of a percent-encoded path segment, or `None` if the encoding is invalid or the segment contains a
/// slash.
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

/// Returns the value of a hexadecimal digit, or `None` if `byte` is not one.
fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}
