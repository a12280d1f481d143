//! Requests that wait behind another one on the same connection. Each is answered as soon as it is its turn, and its
//! deadline counts from the arrival of its last byte.

mod common;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::*;

/// Excess of the forwarded deadline over what the client has left that the balancer is allowed.
const DEADLINE_SLACK_MS: u64 = 150;

/// Milliseconds that a client has left for a request that it sent with a deadline of 5 s.
fn left_of_5s(sent: Instant) -> u64 {
    5000 - sent.elapsed().as_millis() as u64
}

#[test]
fn pipelined_requests_are_answered_one_after_the_other_without_delay() {
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).start();
    let requests = upstream.serve_ok();
    let mut client = balancer.connect();
    let mut pipelined = String::new();
    for id in 0..10 {
        let class = ["look", "pull", "look", "pay"][id % 4];
        let valid = request(class, &format!("r-{id}"), "");
        // A request that is rejected unread does not end the connection.
        let is_rejected = id % 4 == 2;
        pipelined += &if is_rejected { valid.replace("Req-Kind: look", "Req-Kind: other") } else { valid };
    }
    let start = Instant::now();
    send(&mut client, &pipelined);
    let statuses: Vec<_> = (0..10).map(|_| read_message(&mut client).expect("a response").status()).collect();
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    assert_eq!(statuses, [200, 200, 400, 200, 200, 200, 400, 200, 200, 200]);
    assert_eq!(requests.try_iter().count(), 8);
}

/// A client whose first request was answered after a delay and whose second request is next.
struct SecondInTurn {
    upstream: Peer,
    /// Stopped when dropped.
    _balancer: Balancer,
    client: TcpStream,
}

impl SecondInTurn {
    /// Sends two requests together, the second one with a deadline. The upstream responds to the first one after
    /// `delay`.
    fn start(deadline_ms: u64, delay: Duration) -> SecondInTurn {
        let SingleUpstream { upstream, balancer, mut client } = SingleUpstream::start();
        let deadline = format!("Req-Deadline-Ms: {deadline_ms}\r\n");
        send(&mut client, &(request("pay", "r-1", "") + &request("pay", "r-2", &deadline)));
        let mut first = upstream.accept();
        read_message(&mut first).expect("an attempt");
        std::thread::sleep(delay);
        respond(&mut first, "200 OK", "Connection: close\r\n", b"done");
        assert_eq!(read_message(&mut client).expect("a response").status(), 200);
        SecondInTurn { upstream, _balancer: balancer, client }
    }
}

#[test]
fn a_request_behind_another_is_forwarded_with_the_deadline_that_its_client_has_left() {
    let sent = Instant::now();
    let SecondInTurn { upstream, _balancer, client } = SecondInTurn::start(5000, Duration::from_millis(600));
    let mut attempt = upstream.accept();
    let forwarded = read_message(&mut attempt).expect("an attempt").deadline_ms();
    let left = left_of_5s(sent);
    assert!(forwarded <= left + DEADLINE_SLACK_MS, "forwarded {forwarded}, left {left}");
    RequestInFlight { client, upstream: attempt }.complete();
}

#[test]
fn a_request_whose_deadline_expired_behind_another_is_answered_and_not_forwarded() {
    let SecondInTurn { upstream, _balancer, mut client } =
        SecondInTurn::start(300, Duration::from_millis(600));
    let status = read_message(&mut client).expect("a response").status();
    assert!([503, 504].contains(&status), "{status}");
    assert!(upstream.has_no_new_connection());
}

#[test]
fn a_request_that_waited_for_a_permit_is_forwarded_with_the_deadline_that_its_client_has_left() {
    let upstream = Peer::new();
    // 42 descriptors leave one permit for clients and one connection to an upstream.
    let balancer = Setup::with_upstreams(&[upstream.address]).sockets(42).start();
    let first = RequestInFlight::start(balancer.connect(), &upstream, &request("pay", "r-1", ""));
    let RequestInFlight { client: mut permit_holder, upstream: mut first } = first;
    let mut client = balancer.connect();
    let sent = Instant::now();
    send(&mut client, &request("pay", "r-2", "Req-Deadline-Ms: 5000\r\n"));
    std::thread::sleep(Duration::from_millis(220));
    respond(&mut first, "200 OK", "Connection: close\r\n", b"done");
    assert_eq!(read_message(&mut permit_holder).expect("a response").status(), 200);
    let mut second = upstream.accept();
    let forwarded = read_message(&mut second).expect("an attempt").deadline_ms();
    // No slack: the balancer keeps a margin for the way back to the client.
    let left = left_of_5s(sent);
    assert!(forwarded <= left, "forwarded {forwarded}, left {left}");
}
