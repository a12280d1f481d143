//! Exhausted limits on clients: connection permits, file descriptors and the memory for bodies. Idle connections are
//! evicted for new ones, but never while a request arrives on them.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::*;

/// Wide upper bound on the time until a client is served while others hold every permit.
const MAX_TIME_TO_SERVE: Duration = Duration::from_secs(10);

#[test]
fn long_bodies_are_rejected_while_memory_is_short_and_short_ones_are_not() {
    // A process that runs alone may use half of the 32 MB, and the heap a part of that.
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address; 40]).memory_mb(32).start();
    let FullMemory { mut in_flight, rejected } = fill_memory(&balancer, &upstream);
    assert!((20..=140).contains(&in_flight.len()), "{} bodies are in flight", in_flight.len());
    assert_eq!((rejected.status(), rejected.body.as_slice()), (503, b"no room".as_slice()));
    assert!(upstream.has_no_new_connection());
    let mut small = RequestInFlight::start(balancer.connect(), &upstream, &request("pay", "r-small", ""));
    small.complete();
    in_flight.iter_mut().for_each(RequestInFlight::complete);
    // The next request comes on a new connection once the balancer has closed all of these.
    in_flight.into_iter().chain([small]).for_each(RequestInFlight::close);
    let mut next = RequestInFlight::start(balancer.connect(), &upstream, &large_request("r-next"));
    next.complete();
}

/// The requests that take the memory of a balancer.
struct FullMemory {
    in_flight: Vec<RequestInFlight>,
    /// The response to the first request for which there was no memory.
    rejected: Message,
}

/// Sends requests with long bodies, each on a new connection, until one is rejected.
fn fill_memory(balancer: &Balancer, upstream: &Peer) -> FullMemory {
    let mut in_flight = Vec::new();
    loop {
        let mut client = balancer.connect();
        send(&mut client, &large_request(&format!("r-{}", in_flight.len())));
        let upstream = loop {
            if let Some(mut upstream) = upstream.try_accept() {
                read_message(&mut upstream).expect("an attempt arrives");
                break upstream;
            }
            if has_input(&client) {
                let rejected = read_message(&mut client).expect("a response arrives");
                return FullMemory { in_flight, rejected };
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        in_flight.push(RequestInFlight { client, upstream });
    }
}

/// Returns whether a byte has arrived on a connection.
fn has_input(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("the mode is set");
    let has_input = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).expect("the mode is set");
    has_input
}

#[test]
fn hundreds_of_idle_clients_do_not_block_a_request() {
    // 60 descriptors leave 11 permits for clients.
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).sockets(60).start();
    let _requests = upstream.serve_ok();
    let mut idle: Vec<_> = (0..300).map(|_| balancer.connect()).collect();
    let start = Instant::now();
    assert_eq!(balancer.send(&request("pay", "r-1", "")).status(), 200);
    // By then only connections with a long idle time have been evicted, fewer than there are permits.
    assert!(start.elapsed() < MAX_TIME_TO_SERVE, "the request waits for the idle clients");
    assert!(peer_closed(&mut idle[0]), "the connection that was idle longest stays open");
}

#[test]
fn clients_with_unfinished_requests_do_not_block_a_request() {
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).sockets(60).start();
    let _requests = upstream.serve_ok();
    let mut unfinished: Vec<_> = (0..60).map(|_| balancer.connect()).collect();
    for client in &mut unfinished {
        // Some of the connections may have been evicted already.
        let _ = client.write_all(b"GET /api HTTP/1.1\r\nHost:");
    }
    let start = Instant::now();
    assert_eq!(balancer.send(&request("pay", "r-1", "")).status(), 200);
    // 60 clients on 11 permits, each until its time limit, would take 13 s.
    assert!(start.elapsed() < MAX_TIME_TO_SERVE, "the request waits for the unfinished ones");
}

#[test]
fn connections_beyond_the_limit_are_queued_and_served() {
    // 46 descriptors leave 3 permits for clients.
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).sockets(46).start();
    let _requests = upstream.serve_ok();
    let idle: Vec<_> = (0..3).map(|_| balancer.connect()).collect();
    let send_request = |number: usize| {
        let mut client = balancer.connect();
        client.write_all(request("pay", &format!("r-{number}"), "").as_bytes()).ok()?;
        Some(client)
    };
    let waiting: Vec<_> = (0..8).map(send_request).collect();
    drop(idle);
    for (number, client) in waiting.into_iter().enumerate() {
        // A connection whose request came late may have been evicted for another one. Its client then retries.
        let retries = (0..5).map(|_| send_request(number));
        let mut responses = std::iter::once(client).chain(retries).map(|client| read_message(&mut client?));
        assert_eq!(responses.find_map(|response| response).expect("a response arrives").status(), 200);
    }
}

#[test]
fn a_balancer_without_free_permits_rejects_requests() {
    // 46 descriptors leave 3 permits for clients.
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).sockets(46).start();
    let mut in_flight = balancer.start_requests(&upstream, 3);
    for _ in 0..20 {
        assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
    }
    let rejected = balancer.send(&request("pay", "r-9", ""));
    assert_eq!((rejected.status(), rejected.header("connection")), (503, Some("close")));
    in_flight.iter_mut().for_each(RequestInFlight::complete);
    drop(in_flight);
    let mut statuses = (10..20).map(|id| balancer.send(&request("pay", &format!("r-{id}"), "")).status());
    let _requests = upstream.serve_ok();
    assert!(statuses.any(|status| status == 200), "the permits were not returned");
}

#[test]
fn requests_are_served_after_descriptors_ran_out() {
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).descriptor_limit(24).start();
    let _requests = upstream.serve_ok();
    let idle: Vec<_> = (0..40).map(|_| balancer.connect()).collect();
    let mut waiting = balancer.connect();
    send(&mut waiting, &request("look", "r-1", ""));
    drop(idle);
    assert_eq!(read_message(&mut waiting).expect("a response arrives").status(), 200);
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
}

#[test]
fn a_connection_whose_request_has_arrived_is_not_evicted() {
    // 55 descriptors leave 8 permits for clients: a ninth client evicts the connection that is idle longest.
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).sockets(55).start();
    let _requests = upstream.serve_ok();
    let mut reused: Vec<_> = (0..6).map(|_| balancer.connect()).collect();
    for client in &mut reused {
        let response = exchange(client, READINESS_CHECK);
        assert_eq!(response.header("connection"), None, "the balancer closes the connection");
    }
    let _unused = [balancer.connect(), balancer.connect()];
    // All are idle for long enough to be evicted. Then two requests arrive together with the ninth client.
    std::thread::sleep(Duration::from_millis(300));
    let mut ninth = None;
    balancer.while_suspended(|| {
        let ninth = ninth.insert(balancer.connect());
        for (number, client) in reused.iter_mut().take(2).chain([ninth]).enumerate() {
            send(client, &request("look", &format!("r-{number}"), ""));
        }
    });
    for client in reused.iter_mut().take(2).chain(&mut ninth) {
        assert_eq!(read_message(client).expect("a response arrives").status(), 200);
    }
}

#[test]
fn a_connection_whose_request_head_was_just_completed_is_not_evicted() {
    for round in 0..10 {
        let upstream = RespondingUpstream::start();
        // 42 descriptors leave one permit for clients.
        let balancer = Setup::with_upstreams(&[upstream.address]).sockets(42).start();
        let complete = request("pull", &format!("r-{round}"), "");
        let mut slow = balancer.connect();
        send(&mut slow, &complete[..40]);
        // After a second, an unfinished head no longer protects its connection from eviction.
        std::thread::sleep(Duration::from_millis(1050));
        let mut other = None;
        balancer.while_suspended(|| {
            let mut client = balancer.connect();
            send(&mut client, &request("look", &format!("o-{round}"), ""));
            send(&mut slow, &complete[40..]);
            other = Some(client);
        });
        assert!(read_message(&mut slow).is_some(), "round {round}: evicted with its request complete");
        let mut other = other.expect("the other client is connected");
        assert!(read_message(&mut other).is_some(), "round {round}: the other client has no response");
    }
}
