//! Derives the end of a request from its head. Stricter than HTTP/1.1 requires of a server: a head that another server
//! could interpret differently is an error, since it could be used for request smuggling.

use httparse::{EMPTY_HEADER, Header, Request, Status};
use thiserror::Error;

use crate::memory::RequestSize;

/// Maximum number of header lines of a head.
const MAX_HEADER_LINES: usize = 100;

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// The body has exactly this many bytes.
    Length(u64),
    /// The body is chunked and ends with the last chunk.
    Chunked,
}

/// A complete request head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestHead {
    /// Length of the head in bytes, including the empty line that ends it.
    pub length: usize,
    /// How the body is framed.
    pub framing: Framing,
    /// Number of header fields.
    pub header_fields: usize,
}

impl RequestHead {
    /// Returns the size of the request.
    pub fn size(&self) -> RequestSize {
        let body_bytes = match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        };
        RequestSize { head_bytes: self.length, header_fields: self.header_fields, body_bytes }
    }
}

/// Why a request head cannot be accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum HeadError {
    /// The bytes are not the head of an HTTP/1 request.
    #[error("not an HTTP/1 request head")]
    Syntax(#[from] httparse::Error),
    /// The header lines frame the body in several ways, or by an unknown transfer coding.
    #[error("the body's end is ambiguous: send one Content-Length or Transfer-Encoding: chunked")]
    AmbiguousFraming,
    /// The `Content-Length` is not a decimal number.
    #[error("Content-Length is not a decimal number")]
    InvalidLength,
    /// The body is chunked, but the request's version is older than HTTP/1.1. A peer of that version does not know
    /// chunked bodies and would read the chunk sizes as content.
    #[error("chunks need HTTP/1.1")]
    ChunksBeforeHttp11,
}

/// Parses the request head at the start of `bytes`. Returns `None` if the head is not complete.
///
/// # Errors
///
/// A [`HeadError`] if the head is invalid, which may be found before it is complete.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<RequestHead>, HeadError> {
    let mut lines = [EMPTY_HEADER; MAX_HEADER_LINES];
    let mut request = Request::new(&mut lines);
    let length = match request.parse(bytes)? {
        Status::Partial => return Ok(None),
        Status::Complete(length) => length,
    };
    let framing = body_framing(request.headers)?;
    if framing == Some(Framing::Chunked) && request.version != Some(1) {
        return Err(HeadError::ChunksBeforeHttp11);
    }
    let header_fields = request.headers.len();
    Ok(Some(RequestHead { length, framing: framing.unwrap_or(Framing::Length(0)), header_fields }))
}

/// Returns how the header lines frame the body; `None` if no line does. Two kinds of framing at once, several lengths and
/// lengths that are not numbers are errors, since they could hide a second request in the body.
fn body_framing(lines: &[Header<'_>]) -> Result<Option<Framing>, HeadError> {
    let named = |name: &'static str| lines.iter().filter(move |line| line.name.eq_ignore_ascii_case(name));
    let mut lengths = named("content-length");
    let mut codings = named("transfer-encoding");
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (None, None, None, None) => Ok(None),
        (Some(length), None, None, None) => {
            let length = parse_length(length.value).ok_or(HeadError::InvalidLength)?;
            Ok(Some(Framing::Length(length)))
        }
        (None, None, Some(coding), None) if coding.value.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        _ => Err(HeadError::AmbiguousFraming),
    }
}

/// Returns the value of a header of the complete request head at the start of `bytes`, for the log; `None` if there is none or it
/// is not text.
pub fn header_text<'a>(bytes: &'a [u8], name: &str) -> Option<&'a str> {
    let mut lines = [EMPTY_HEADER; MAX_HEADER_LINES];
    let mut request = Request::new(&mut lines);
    request.parse(bytes).ok()?;
    let header = request.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok()
}

/// Parses a `Content-Length`. `u64::from_str` alone would also accept a leading `+`.
fn parse_length(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

#[cfg(test)]
mod tests;
