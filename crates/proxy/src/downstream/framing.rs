//! Where a request ends, derived from its head. Deliberately stricter than a server has to be: a head that another
//! server could read in a different way is an error, since it could smuggle a second request.

use httparse::{EMPTY_HEADER, Header, Request, Status};
use thiserror::Error;

/// Most header lines that a head may have.
const MAX_HEADER_LINES: usize = 100;

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// The body has exactly this many bytes.
    Length(u64),
    /// The body is in chunks and ends with the last one.
    Chunked,
}

/// A complete request head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestHead {
    /// Bytes of the head, including the empty line that ends it.
    pub length: usize,
    /// How the body behind it is framed.
    pub framing: Framing,
}

/// Why a request head cannot be accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum HeadError {
    /// It is not the head of an HTTP/1 request.
    #[error("not an HTTP/1 request head")]
    Syntax(#[from] httparse::Error),
    /// Its header lines frame the body in several ways or by an unknown transfer coding.
    #[error("the body's end is ambiguous: send one Content-Length or Transfer-Encoding: chunked")]
    AmbiguousFraming,
    /// Its `Content-Length` is not a decimal number.
    #[error("Content-Length is not a decimal number")]
    InvalidLength,
    /// Chunks came with HTTP/1.1: an older peer reads them as the body itself.
    #[error("chunks need HTTP/1.1")]
    ChunksBeforeHttp11,
}

/// Parses the head of a request at the start of `bytes`; `None` while the head is not complete.
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
    Ok(Some(RequestHead { length, framing: framing.unwrap_or(Framing::Length(0)) }))
}

/// How header lines frame the body; `None` if no line says so. Two ways of framing at once, several lengths, and
/// lengths that are no numbers are errors: they could hide a second request in the body.
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

/// A `Content-Length`. `u64::from_str` alone would also accept a leading `+`.
fn parse_length(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

#[cfg(test)]
mod tests;
