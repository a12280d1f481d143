//! The time limits of requests whose body is forwarded while it arrives.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::*;

/// Time that the clients of these tests wait, counted from the last byte of the request.
const CLIENT_DEADLINE: Duration = Duration::from_secs(1);
/// The acceptance terms allow a final response this long after the client's deadline, and 50 ms for the sockets.
const RESPONSE_GRACE: Duration = Duration::from_millis(550);
/// A forwarded deadline may exceed the time that the client has left by this much.
const FORWARDED_DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Length of a body that is longer than what the balancer buffers.
const UPLOAD_BYTES: usize = 200_000;

/// Returns how many bytes a loopback connection takes whose other end reads nothing.
fn unread_connection_capacity() -> usize {
    let listener = free_listener();
    let mut writer = connect(&listener);
    let _reader = listener.accept().expect("the connection is accepted");
    writer.set_write_timeout(Some(Duration::from_millis(300))).expect("the timeout is not zero");
    let chunk = [0; 16 * 1024];
    let mut written = 0;
    while let Ok(count) = writer.write(&chunk) {
        written += count;
    }
    written
}

fn connect(listener: &TcpListener) -> TcpStream {
    TcpStream::connect(listener.local_addr().expect("the address is known")).expect("the listener listens")
}

/// Returns the length of a body that does not fit into the connection to an upstream that reads nothing, while the rest
/// fits into the connection of its client.
fn blocked_upload_length() -> usize {
    unread_connection_capacity() * 135 / 100
}

/// Returns the head of a request with a body of this length whose client waits for `deadline`.
fn upload_head(id: &str, length: usize, deadline: Duration) -> String {
    let deadline_ms = deadline.as_millis();
    let headers = format!("Req-Deadline-Ms: {deadline_ms}\r\n");
    request("pay", id, &headers)
        .replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {length}\r\n\r\n"))
}

/// Writes a complete request and returns the time of its last byte.
fn send_upload(client: &mut TcpStream, id: &str, length: usize, deadline: Duration) -> Instant {
    let mut message = upload_head(id, length, deadline).into_bytes();
    message.resize(message.len() + length, b'x');
    client.write_all(&message).expect("the kernel takes the request");
    Instant::now()
}

/// Asserts that a client receives a final response with this status in time. `sent_at` is when it wrote the last byte of
/// its request.
#[track_caller]
fn assert_response_in_time(client: &mut TcpStream, sent_at: Instant, status: u16) {
    let response = read_message(client).expect("a response arrives");
    let waited = sent_at.elapsed();
    assert!(waited <= CLIENT_DEADLINE + RESPONSE_GRACE, "the response came after {waited:?}");
    assert_eq!(response.status(), status);
}

// Guards against uploads that are never answered because their upstream hangs and reads no more.
#[test]
fn an_upload_to_an_upstream_that_stops_reading_is_answered_in_time() {
    let SingleUpstream { upstream, balancer, mut client } = SingleUpstream::start();
    let sent_at = send_upload(&mut client, "r-1", blocked_upload_length(), CLIENT_DEADLINE);
    let mut hanging = upstream.accept();
    assert_response_in_time(&mut client, sent_at, 504);
    let mut received = Vec::new();
    let _ = hanging.read_to_end(&mut received);
    assert!(received.len() < blocked_upload_length(), "the attempt was completed after its time");
    balancer.wait_for_log("request body not accepted by the client's deadline");
}

// Guards against an upload that gets its complete time anew once a hanging upstream reads on.
#[test]
fn an_upload_whose_upstream_pauses_has_only_the_rest_of_its_time() {
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    let sent_at = send_upload(&mut client, "r-1", blocked_upload_length(), CLIENT_DEADLINE);
    let mut stream = upstream.accept();
    std::thread::sleep(CLIENT_DEADLINE.mul_f64(0.8).saturating_sub(sent_at.elapsed()));
    let reader = std::thread::spawn(move || {
        let is_complete = read_message(&mut stream).is_some();
        // Without a response, the connection stays open until the balancer closes it.
        (is_complete, peer_closed(&mut stream))
    });
    assert_response_in_time(&mut client, sent_at, 504);
    assert_eq!(reader.join().expect("the upstream reads"), (true, true));
}

// Guards against failing an upload only because its upstream reads it slowly while the client is still writing it.
#[test]
fn an_upload_that_takes_longer_than_its_time_is_served_while_the_upstream_reads() {
    const LENGTH: usize = 32_000_000;
    const PARTS: u32 = 40;
    const DEADLINE: Duration = Duration::from_secs(2);
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    let reader = std::thread::spawn(move || {
        let mut stream = upstream.accept();
        read_head(&mut stream).expect("an attempt arrives");
        let mut part = vec![0; LENGTH / PARTS as usize];
        for _ in 0..PARTS {
            std::thread::sleep(DEADLINE.mul_f64(1.2) / PARTS);
            stream.read_exact(&mut part).expect("the body arrives");
        }
        respond_ok(&mut stream);
        stream
    });
    let sent_at = send_upload(&mut client, "r-1", LENGTH, DEADLINE);
    assert_response_in_time(&mut client, sent_at, 200);
    reader.join().expect("the upstream reads the body");
}

// Guards against connections to a hanging upstream that stay open after the clients of the uploads have left.
#[test]
fn a_client_that_leaves_during_an_upload_ends_the_attempt() {
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    send_upload(&mut client, "r-1", blocked_upload_length(), CLIENT_DEADLINE);
    let mut hanging = upstream.accept();
    drop(client);
    hanging.set_read_timeout(Some(EVENT_TIMEOUT)).expect("the timeout is not zero");
    // The upstream reads nothing until the attempt must have ended.
    std::thread::sleep(CLIENT_DEADLINE + RESPONSE_GRACE);
    let mut received = Vec::new();
    let end = hanging.read_to_end(&mut received);
    assert!(end.is_ok() || received.len() < blocked_upload_length(), "the attempt goes on: {end:?}");
    assert!(received.len() < blocked_upload_length(), "the attempt was completed after its client had left");
}

// Guards against running out of descriptors during a hang: each such upload held two for as long as the upstream hung.
#[test]
fn uploads_to_a_hanging_upstream_release_their_descriptors() {
    let SingleUpstream { upstream, balancer, client } = SingleUpstream::start();
    drop(client);
    let length = blocked_upload_length();
    let descriptors_before = balancer.open_descriptors();
    let mut hanging = Vec::new();
    for number in 0..8 {
        let mut client = balancer.connect();
        send_upload(&mut client, &format!("r-{number}"), length, CLIENT_DEADLINE);
        hanging.push(upstream.accept());
    }
    let all_left = Instant::now();
    while balancer.open_descriptors() > descriptors_before {
        assert!(all_left.elapsed() < EVENT_TIMEOUT, "{} descriptors are open", balancer.open_descriptors());
        std::thread::sleep(Duration::from_millis(20));
    }
}

// Guards against losing an upload at a planned restart whose upstream hangs through the shutdown.
#[test]
fn an_upload_to_a_hanging_upstream_is_answered_before_the_platform_kills_the_process() {
    // SIGKILL follows SIGTERM after the longest deadline, counted as 3 s, and 0.7 s.
    const KILL_DELAY: Duration = Duration::from_millis(3700);
    let SingleUpstream { upstream, mut balancer, mut client } = SingleUpstream::start();
    send_upload(&mut client, "r-1", blocked_upload_length(), Duration::from_secs(20));
    let _hanging = upstream.accept();
    let shutdown = balancer.start_shutdown();
    let response = read_message(&mut client).expect("a response arrives");
    assert!(shutdown.elapsed() < KILL_DELAY, "answered {:?} after the signal", shutdown.elapsed());
    assert_eq!(response.status(), 503);
    balancer.assert_exits_cleanly();
}

// Guards against uploads that wait without a limit while discovery lists no endpoint.
#[test]
fn an_upload_without_any_upstream_is_answered_in_time() {
    let discovery = Peer::new();
    let balancer = Setup::with_upstreams(&[]).polled_discovery(discovery.address).start();
    let mut watch = discovery.accept();
    read_poll(&mut watch);
    send_snapshot(&mut watch, 1, &[]);
    let mut client = balancer.connect();
    let sent_at = send_upload(&mut client, "r-1", UPLOAD_BYTES, CLIENT_DEADLINE);
    assert_response_in_time(&mut client, sent_at, 503);
}

// Guards against telling an upstream more time than the client of an upload has left after a wait in the queue.
#[test]
fn an_upload_that_waited_for_an_upstream_is_sent_with_the_time_that_its_client_has_left() {
    let discovery = Peer::new();
    let balancer = Setup::with_upstreams(&[]).polled_discovery(discovery.address).start();
    let mut watch = discovery.accept();
    read_poll(&mut watch);
    send_snapshot(&mut watch, 1, &[]);
    read_poll(&mut watch);
    let mut client = balancer.connect();
    let sent_at = send_upload(&mut client, "r-1", UPLOAD_BYTES, CLIENT_DEADLINE);
    std::thread::sleep(CLIENT_DEADLINE / 2);
    let upstream = Peer::new();
    send_snapshot(&mut watch, 2, &[endpoint("s-1", upstream.address, "SERVING")]);
    let mut stream = upstream.accept();
    let forwarded = read_message(&mut stream).expect("an attempt arrives");
    let time_left = CLIENT_DEADLINE.saturating_sub(sent_at.elapsed());
    let allowed_ms = (time_left + FORWARDED_DEADLINE_SLACK).as_millis();
    assert!(u128::from(forwarded.deadline_ms()) <= allowed_ms, "{} ms told", forwarded.deadline_ms());
    // The upstream does not respond.
    assert_response_in_time(&mut client, sent_at, 504);
}
