//! Bodies of requests and responses that are too long to be buffered.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use common::*;

/// Length of a body far beyond what is buffered.
const LARGE_BODY_BYTES: usize = 3_000_000;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    ContentLength(usize),
    Chunked,
    /// The body of a response that ends with its connection.
    UntilClose,
}

impl Framing {
    /// Returns the header line, with its CRLF.
    fn header(self) -> String {
        match self {
            Framing::ContentLength(length) => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::UntilClose => String::new(),
        }
    }

    /// Returns a part of the body as it is sent. A part of a chunked body is one chunk with an extension.
    fn encode(self, data: &[u8]) -> Vec<u8> {
        if self != Framing::Chunked {
            return data.to_vec();
        }
        [format!("{:x};ext=1\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
    }

    /// Returns the bytes that follow the last part.
    fn end(self) -> &'static [u8] {
        if self == Framing::Chunked { b"0\r\n\r\n" } else { b"" }
    }
}

/// Returns a body in which each byte differs from its neighbours.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8).collect()
}

/// Returns the head of a request with a body; each line of `headers` ends with CRLF.
fn request_head(class: &str, headers: &str) -> String {
    let key = if class == "pull" { "Idempotency-Key: k-r-1\r\n" } else { "" };
    format!(
        "POST /api?key=7f3a HTTP/1.1\r\nHost: b\r\nReq-Id: r-1\r\nReq-Kind: {class}\r\n{key}{headers}\r\n"
    )
}

/// Sends bytes. Panics if the connection fails.
fn send_bytes(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("the peer reads");
}

/// Reads the head of a message. Panics if it is incomplete.
fn expect_head(stream: &mut TcpStream) -> Message {
    read_head(stream).expect("the head is complete")
}

/// Reads a chunked body; `None` if the connection ends before the body does.
fn read_chunked_body(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            let mut byte = [0];
            if stream.read(&mut byte).ok()? == 0 {
                return None;
            }
            line.push(byte[0]);
        }
        let length = usize::from_str_radix(std::str::from_utf8(&line).ok()?.trim(), 16).ok()?;
        let mut data = vec![0; length + 2];
        stream.read_exact(&mut data).ok()?;
        body.extend_from_slice(&data[..length]);
        if length == 0 {
            return Some(body);
        }
    }
}

#[test]
fn a_long_request_is_forwarded_while_it_arrives() {
    let body = pattern(LARGE_BODY_BYTES);
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    send(&mut client, &request_head("pay", &Framing::ContentLength(LARGE_BODY_BYTES).header()));
    send_bytes(&mut client, &body[..LARGE_BODY_BYTES / 2]);
    let mut stream = upstream.accept();
    assert_eq!(expect_head(&mut stream).header("content-length"), Some(&LARGE_BODY_BYTES.to_string()[..]));
    let mut received = vec![0; LARGE_BODY_BYTES / 2];
    stream.read_exact(&mut received).expect("the part that was sent so far arrives");
    send_bytes(&mut client, &body[LARGE_BODY_BYTES / 2..]);
    received.resize(LARGE_BODY_BYTES, 0);
    stream.read_exact(&mut received[LARGE_BODY_BYTES / 2..]).expect("the rest of the body arrives");
    assert!(received == body, "the body differs");
    let mut in_flight = RequestInFlight { client, upstream: stream };
    in_flight.complete();
    // Both connections are reused for the next request.
    send(&mut in_flight.client, &request("pay", "r-2", ""));
    read_message(&mut in_flight.upstream).expect("an attempt arrives");
    in_flight.complete();
}

#[test]
fn a_long_chunked_request_is_forwarded_chunked() {
    let body = pattern(LARGE_BODY_BYTES);
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    let headers = "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\nTrailer: X-End\r\n";
    send(&mut client, &request_head("pull", headers));
    let interim = expect_head(&mut client);
    assert!(interim.first_line().starts_with("HTTP/1.1 100 "), "no interim response to Expect");
    let mut writer = client.try_clone().expect("the descriptor is duplicated");
    let sent = body.clone();
    let writer_thread = std::thread::spawn(move || {
        for part in sent.chunks(9_999) {
            send_bytes(&mut writer, &Framing::Chunked.encode(part));
        }
        send(&mut writer, "0\r\nX-End: 1\r\n\r\n");
    });
    let mut stream = upstream.accept();
    assert_eq!(expect_head(&mut stream).header("transfer-encoding"), Some("chunked"));
    assert!(read_chunked_body(&mut stream).expect("the body is complete") == body, "the body differs");
    writer_thread.join().expect("the body was read");
    RequestInFlight { client, upstream: stream }.complete();
}

#[test]
fn the_deadline_starts_with_the_last_byte_of_a_slow_request() {
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    send(&mut client, &request_head("pay", "Content-Length: 300000\r\nReq-Deadline-Ms: 1000\r\n"));
    let requests = upstream.serve_ok();
    for _ in 0..30 {
        send_bytes(&mut client, &[7; 10_000]);
        std::thread::sleep(Duration::from_millis(60));
    }
    assert_eq!(read_message(&mut client).expect("a response arrives").status(), 200);
    assert_eq!(requests.recv_timeout(EVENT_TIMEOUT).expect("a request arrives").body.len(), 300_000);
}

#[test]
fn a_truncated_request_is_never_forwarded_as_complete_and_not_retried() {
    for framing in [Framing::ContentLength(LARGE_BODY_BYTES), Framing::Chunked] {
        let SingleUpstream { upstream, balancer, mut client } = SingleUpstream::start();
        send(&mut client, &request_head("pull", &framing.header()));
        send_bytes(&mut client, &framing.encode(&pattern(200_000)));
        let mut stream = upstream.accept();
        expect_head(&mut stream);
        client.shutdown(Shutdown::Both).expect("the client is connected");
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        let seems_complete = received.ends_with(b"0\r\n\r\n") || received.len() >= LARGE_BODY_BYTES;
        assert!(!seems_complete, "{framing:?}: the request ends as if it were complete");
        assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
        assert!(upstream.has_no_new_connection(), "{framing:?}: the request was retried");
    }
}

#[test]
fn a_request_whose_body_is_consumed_is_not_retried() {
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    send(&mut client, &request_head("pull", &Framing::ContentLength(LARGE_BODY_BYTES).header()));
    send_bytes(&mut client, &pattern(400_000));
    let mut stream = upstream.accept();
    expect_head(&mut stream);
    stream.read_exact(&mut vec![0; 300_000]).expect("more bytes arrive than are buffered");
    drop(stream);
    // The request never ran, so the client may retry it.
    let rejected = read_message(&mut client).expect("a response arrives");
    assert_eq!((rejected.status(), rejected.header("connection")), (503, Some("close")));
    assert!(upstream.has_no_new_connection(), "the request was retried");
}

#[test]
fn an_early_response_ends_a_long_request() {
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    send(&mut client, &request_head("pay", &Framing::ContentLength(LARGE_BODY_BYTES).header()));
    send_bytes(&mut client, &pattern(200_000));
    let mut stream = upstream.accept();
    expect_head(&mut stream);
    respond(&mut stream, "503 Busy", "Srv-Declined: 1\r\n", b"");
    assert_eq!(read_message(&mut client).expect("a response arrives").status(), 503);
}

#[test]
fn a_chunked_request_over_the_size_limit_is_rejected_while_it_arrives() {
    let SingleUpstream { upstream, balancer, mut client } = SingleUpstream::start();
    std::thread::spawn(move || {
        let mut stream = upstream.accept();
        let mut received = vec![0; 65_536];
        while stream.read(&mut received).is_ok_and(|length| length > 0) {}
    });
    send(&mut client, &request_head("pay", &Framing::Chunked.header()));
    let chunk = Framing::Chunked.encode(&pattern(1 << 20));
    while client.write_all(&chunk).is_ok() {}
    assert!(read_message(&mut client).is_none_or(|response| response.status() == 413));
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
}

/// Writes the rest of a response on a separate thread, which returns the connection.
fn finish_response(mut stream: TcpStream, framing: Framing, rest: &[u8]) -> JoinHandle<TcpStream> {
    let parts: Vec<_> = rest.chunks(77_777).map(|part| framing.encode(part)).collect();
    std::thread::spawn(move || {
        for part in &parts {
            send_bytes(&mut stream, part);
        }
        send_bytes(&mut stream, framing.end());
        if framing == Framing::UntilClose {
            stream.shutdown(Shutdown::Write).expect("the balancer is connected");
        }
        stream
    })
}

/// Reads the body of a forwarded response of [`LARGE_BODY_BYTES`] bytes.
fn read_large_body(client: &mut TcpStream, head: &Message, framing: Framing) -> Vec<u8> {
    if head.header("content-length").is_some() {
        let mut body = vec![0; LARGE_BODY_BYTES];
        client.read_exact(&mut body).expect("the body is complete");
        return body;
    }
    read_chunked_body(client).unwrap_or_else(|| panic!("{framing:?}: the body is truncated"))
}

#[test]
fn a_long_response_is_forwarded_while_it_arrives() {
    let body = pattern(LARGE_BODY_BYTES);
    for framing in [Framing::ContentLength(LARGE_BODY_BYTES), Framing::Chunked, Framing::UntilClose] {
        let fixture = SingleUpstream::start();
        let text = request("pay", "r-1", "Req-Deadline-Ms: 1000\r\n");
        let RequestInFlight { mut client, upstream: mut stream } = fixture.start_request(&text);
        send(&mut stream, &format!("HTTP/1.1 200 OK\r\n{}\r\n", framing.header()));
        send_bytes(&mut stream, &framing.encode(&body[..1000]));
        let head = expect_head(&mut client);
        assert!(head.first_line().starts_with("HTTP/1.1 200 OK"), "{framing:?}: {}", head.head);
        // The deadline passes, but once the head was forwarded no time limit ends the response.
        std::thread::sleep(Duration::from_millis(1500));
        let writer_thread = finish_response(stream, framing, &body[1000..]);
        let received = read_large_body(&mut client, &head, framing);
        assert!(received == body, "{framing:?}: the response differs");
        let mut stream = writer_thread.join().expect("the response was read");
        if framing != Framing::UntilClose {
            send(&mut client, &request("pay", "r-2", ""));
            read_message(&mut stream).expect("the connection is reused for the next request");
        }
    }
}

#[test]
fn a_truncated_long_response_is_recognizably_incomplete() {
    for framing in [Framing::ContentLength(LARGE_BODY_BYTES), Framing::Chunked] {
        let fixture = SingleUpstream::start();
        let in_flight = fixture.start_request(&request("look", "r-1", ""));
        let RequestInFlight { mut client, upstream: mut stream } = in_flight;
        send(&mut stream, &format!("HTTP/1.1 200 OK\r\n{}\r\n", framing.header()));
        send_bytes(&mut stream, &framing.encode(&pattern(200_000)));
        expect_head(&mut client);
        drop(stream);
        let mut received = Vec::new();
        let _ = client.read_to_end(&mut received);
        let seems_complete = received.ends_with(b"0\r\n\r\n") || received.len() >= LARGE_BODY_BYTES;
        assert!(!seems_complete, "{framing:?}: the response seems complete");
        let is_retried = !fixture.upstream.has_no_new_connection();
        assert!(!is_retried, "{framing:?}: retried after its beginning was forwarded");
    }
}

#[test]
fn clients_that_read_slowly_use_little_memory_and_delay_no_other() {
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).start();
    let long = pattern(30_000_000);
    let _requests = upstream.serve(move |message, stream| {
        let is_long = message.header("x-long").is_some();
        if is_long { respond(stream, "200 OK", "", &pattern(30_000_000)) } else { respond_ok(stream) }
    });
    let start_reading = |id| {
        let mut client = balancer.connect();
        send(&mut client, &request("pay", &format!("r-{id}"), "X-Long: 1\r\n"));
        expect_head(&mut client);
        client
    };
    let slow: Vec<_> = (0..6).map(start_reading).collect();
    balancer.serve_requests(10..20);
    let resident = balancer.resident_memory_kb();
    assert!(resident < 20_000, "{resident} kB for six responses of 30 MB");
    for mut client in slow {
        let mut received = vec![0; long.len()];
        client.read_exact(&mut received).expect("the rest of the body arrives");
        assert!(received == long, "the response differs");
    }
}
