//! The subset of HTTP/1.1 that the clients use: one kind of request, and responses with `Content-Length`.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};

use super::ClientError;

/// Maximum number of header lines of a response.
const MAX_HEADERS: usize = 32;
/// Maximum number of bytes that one call of `read` returns.
const READ_CHUNK_BYTES: usize = 4096;

/// A connection, split so that one thread can read while others write.
pub struct ClientConnection {
    /// Reads responses.
    pub reader: TcpStream,
    /// Writes requests.
    pub writer: TcpStream,
}

impl ClientConnection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// [`ClientError::Connect`] if the connection cannot be established or no descriptor is left for its second handle.
    pub fn connect(address: SocketAddr) -> Result<ClientConnection, ClientError> {
        let connect = || {
            let stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            Ok(ClientConnection { reader: stream.try_clone()?, writer: stream })
        };
        connect().map_err(|source| ClientError::Connect { address, source })
    }
}

/// A response that was received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedResponse {
    /// The status code.
    pub status: u16,
    /// Whether the peer closes the connection after this response.
    pub closes_connection: bool,
}

/// Returns an idempotent request with the id `name-number`, which must be unique among open requests.
pub fn request_text(name: &str, number: u64) -> String {
    format!(
        "GET /api?key=k HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {name}-{number}\r\nReq-Kind: look\r\n\r\n"
    )
}

/// Reads the next response. Returns `None` if the response does not arrive completely. Bytes that follow the response
/// stay in the buffer.
pub fn read_response(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Option<ReceivedResponse> {
    loop {
        if let Some(parsed) = ParsedHead::parse(buffer).ok()? {
            let total_length = parsed.head_length + parsed.body_length?;
            if buffer.len() >= total_length {
                buffer.drain(..total_length);
                return Some(parsed.response);
            }
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        match stream.read(&mut chunk) {
            Ok(length) if length > 0 => buffer.extend_from_slice(&chunk[..length]),
            // A signal interrupted the system call, for instance because a child process has ended.
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return None,
        }
    }
}

/// The received bytes are not the head of a response.
struct MalformedHead;

/// The head of a response.
struct ParsedHead {
    response: ReceivedResponse,
    /// Length of the head in bytes.
    head_length: usize,
    /// The `Content-Length`; `None` if it is absent or not a number.
    body_length: Option<usize>,
}

impl ParsedHead {
    /// Parses the head at the start of the buffer. Returns `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// [`MalformedHead`] if the bytes are not the head of a response.
    fn parse(buffer: &[u8]) -> Result<Option<ParsedHead>, MalformedHead> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(buffer).map_err(|_| MalformedHead)?;
        let httparse::Status::Complete(head_length) = parsed else { return Ok(None) };
        let value = |name: &str| {
            let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            header.map(|header| header.value)
        };
        let body_length =
            value("content-length").and_then(|length| std::str::from_utf8(length).ok()?.parse().ok());
        let closes_connection = value("connection").is_some_and(|value| value.eq_ignore_ascii_case(b"close"));
        let status = response.code.ok_or(MalformedHead)?;
        let response = ReceivedResponse { status, closes_connection };
        Ok(Some(ParsedHead { response, head_length, body_length }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A connection on which every other read is interrupted by a signal.
    struct InterruptedConnection {
        received: &'static [u8],
        is_interrupted: bool,
    }

    impl Read for InterruptedConnection {
        fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
            self.is_interrupted = !self.is_interrupted;
            if self.is_interrupted {
                return Err(ErrorKind::Interrupted.into());
            }
            let length = self.received.len().min(20);
            self.received.read(&mut buffer[..length])
        }
    }

    // Guards against a client that takes an interrupted read for a missing response.
    #[test]
    fn an_interrupted_read_does_not_end_a_response() {
        let received = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
        let mut connection = InterruptedConnection { received, is_interrupted: false };
        let response = read_response(&mut connection, &mut Vec::new());
        assert_eq!(response.map(|response| response.status), Some(200));
    }
}
