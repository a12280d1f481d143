//! HTTP messages on blocking sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// Request that asks the balancer whether it is ready.
pub const READINESS_CHECK: &str = "GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n";

/// An HTTP message as it was received.
#[derive(Clone, Debug)]
pub struct Message {
    /// First line and headers, with the empty line that ends them.
    pub head: String,
    /// The body; empty until it was read.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the request line or status line.
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// Returns the status of a response, or 0 if it cannot be parsed.
    pub fn status(&self) -> u16 {
        let status = self.first_line().split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of the first header with this name, ignoring case; `None` if there is none.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let (_, value) = headers.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
        Some(value.trim())
    }

    /// Returns the deadline of a request in milliseconds.
    ///
    /// # Panics
    /// The header is absent or is not a number.
    pub fn deadline_ms(&self) -> u64 {
        let deadline = self.header("req-deadline-ms").and_then(|value| value.parse().ok());
        deadline.expect("the header is a deadline in milliseconds")
    }
}

/// Reads a message with the body that its `Content-Length` announces. Returns `None` if the peer closed the connection
/// before the end of the message.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut message = read_head(stream)?;
    read_body(stream, &mut message)?;
    Some(message)
}

/// Reads the body of a message whose head has been read. Returns `None` if the connection ended before the body.
pub fn read_body(stream: &mut TcpStream, message: &mut Message) -> Option<()> {
    let length = message.header("content-length").map_or(0, |length| length.parse().unwrap_or(0));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()
}

/// Reads the head of a message byte by byte, so that nothing of the body is consumed. Returns `None` if the connection
/// ended before the head.
pub fn read_head(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            // A signal interrupted the system call; the connection is not affected.
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return None,
        }
    }
    Some(Message { head: String::from_utf8(head).ok()?, body: Vec::new() })
}

/// Writes text. Panics if the connection fails.
#[track_caller]
pub fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("the peer is connected");
}

/// Writes a response; each line of `headers` ends with CRLF. The peer may have disconnected, so errors are ignored.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

/// Writes a response with status 200 and the body `done`.
pub fn respond_ok(stream: &mut TcpStream) {
    respond(stream, "200 OK", "", b"done");
}

/// Waits for the next byte or the end of the connection. Returns whether the peer closed or reset the connection
/// without sending anything.
pub fn peer_closed(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    loop {
        match stream.read(&mut byte) {
            Ok(length) => return length == 0,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return error.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// Sends a request and returns the response.
#[track_caller]
pub fn exchange(stream: &mut TcpStream, request: &str) -> Message {
    send(stream, request);
    read_message(stream).expect("a response arrives")
}

/// Returns a request of a class with the given id; each line of `headers` ends with CRLF. The class `look` may be
/// retried, `pull` carries an idempotency key, and `pay` is not idempotent.
pub fn request(class: &str, id: &str, headers: &str) -> String {
    let common = format!("Host: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n{headers}");
    match class {
        "look" => format!("GET /api?key=7f3a HTTP/1.1\r\n{common}\r\n"),
        "pull" => format!(
            "POST /api?key=7f3a HTTP/1.1\r\n{common}Idempotency-Key: k-{id}\r\nContent-Length: 4\r\n\r\nbody"
        ),
        _ => format!("POST /api?key=7f3a HTTP/1.1\r\n{common}Content-Length: 4\r\n\r\nbody"),
    }
}

/// Returns a request that is not idempotent and has the largest body that the balancer buffers whole, 64 KiB.
pub fn large_request(id: &str) -> String {
    let small = request("pay", id, "");
    let head = small.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 65536\r\n\r\n");
    head + &"x".repeat(65_536)
}
