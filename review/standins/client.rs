//! A stand-in client: one request at a time on a connection.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::Reader;

/// How a request ended for its client.
pub enum End {
    /// A whole answer, with its status and body.
    Answer(u16, Vec<u8>),
    /// The connection ended, so the client knows that no whole answer comes.
    Closed,
    /// Nothing more came while the client waited.
    Nothing,
}

/// What a client saw of one request.
pub struct Seen {
    /// When the last byte of the request was written; `None` if it could not be written.
    pub written: Option<Instant>,
    /// When the request ended.
    pub ended: Instant,
    pub end: End,
}

impl Seen {
    /// The time from the last byte of the request to its end, in milliseconds.
    pub fn millis(&self) -> f64 {
        self.written.map_or(0.0, |written| self.ended.duration_since(written).as_secs_f64() * 1000.0)
    }

    pub fn describe(&self) -> String {
        match &self.end {
            End::Answer(status, body) => format!(
                "answer {status} {:?} after {:.0} ms",
                String::from_utf8_lossy(&body[..body.len().min(80)]),
                self.millis()
            ),
            End::Closed => format!("connection closed after {:.0} ms", self.millis()),
            End::Nothing => format!("neither whole answer nor close, watched for {:.0} ms", self.millis()),
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id of 16 hexadecimal digits.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// A client's connection.
pub struct Connection {
    stream: TcpStream,
    reader: Reader,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Connection { reader: Reader::new(stream.try_clone()?), stream })
    }

    /// Sends a request of a class that is safe to repeat, and watches for `watch` from its last byte on.
    pub fn get(&mut self, id: &str, class: &str, deadline_ms: u64, watch: Duration) -> Seen {
        let head = format!(
            "GET /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
             Req-Owner: marche-dakar\r\nReq-Deadline-Ms: {deadline_ms}\r\n\r\n"
        );
        self.send(head.as_bytes(), watch, watch)
    }

    /// Sends a request of a keyed class with a body of `length` bytes.
    pub fn post(
        &mut self,
        id: &str,
        length: usize,
        deadline_ms: u64,
        write_for: Duration,
        watch: Duration,
    ) -> Seen {
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: post-ad\r\n\
             Req-Owner: marche-dakar\r\nReq-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: {id}{id}\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        let mut message = head.into_bytes();
        message.resize(message.len() + length, b'x');
        self.send(&message, write_for, watch)
    }

    /// Sends a request of a keyed class with a body of `length` bytes, written at `bytes_per_second`.
    pub fn post_slowly(
        &mut self,
        id: &str,
        length: usize,
        bytes_per_second: usize,
        deadline_ms: u64,
        watch: Duration,
    ) -> Seen {
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: post-ad\r\n\
             Req-Owner: marche-dakar\r\nReq-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: {id}{id}\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        let start = Instant::now();
        let mut written = self.stream.write_all(head.as_bytes()).is_ok();
        let mut sent = 0;
        while written && sent < length {
            let piece = (bytes_per_second / 20).min(length - sent);
            let due = start + Duration::from_secs_f64((sent + piece) as f64 / bytes_per_second as f64);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            written = self.stream.write_all(&vec![b'x'; piece]).is_ok();
            sent += piece;
        }
        self.watch(written.then(Instant::now), watch)
    }

    fn send(&mut self, message: &[u8], write_for: Duration, watch: Duration) -> Seen {
        let _ = self.stream.set_write_timeout(Some(write_for));
        let written = self.stream.write_all(message).is_ok().then(Instant::now);
        self.watch(written, watch)
    }

    /// Reads the answer, for at most `watch` from the last byte of the request on.
    fn watch(&mut self, written: Option<Instant>, watch: Duration) -> Seen {
        let until =
            written.unwrap_or_else(Instant::now) + if written.is_some() { watch } else { Duration::ZERO };
        let _ = self.stream.set_read_timeout(Some(watch.max(Duration::from_millis(1))));
        let end = loop {
            let result = self.reader.head().and_then(|head| Ok((head.status(), self.reader.body(&head)?)));
            match result {
                Ok((status, body)) => break End::Answer(status, body),
                // A part of an answer may have come. The time limit of a read starts anew with each part, but no
                // stand-in sends more than one part.
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if Instant::now() + Duration::from_millis(5) >= until {
                        break End::Nothing;
                    }
                }
                Err(_) => break End::Closed,
            }
        };
        Seen { written, ended: Instant::now(), end }
    }
}
