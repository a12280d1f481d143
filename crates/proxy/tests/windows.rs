//! The concurrency limit, as upstreams see it: how many requests are in flight at once.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::*;

/// Runs an upstream that responds as one with tiers behind it does: latency does not fall with load, and every fourth
/// request takes three times as long. Returns the most requests in flight, once `enough` were or `max_requests` were
/// sent.
fn peak_in_flight(tiers: &'static str, enough: usize, max_requests: usize) -> usize {
    let upstream = Peer::new();
    let balancer = Setup { tiers, ..Setup::knowing(&[upstream.address]) }.start();
    let sent = AtomicUsize::new(0);
    let peak = Arc::new(AtomicUsize::new(0));
    let upstream_peak = peak.clone();
    let in_flight = Arc::new(AtomicUsize::new(0));
    let received = Arc::new(AtomicUsize::new(0));
    let _requests = upstream.serve(move |_, stream| {
        upstream_peak.fetch_max(in_flight.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
        let long = received.fetch_add(1, Ordering::SeqCst) % 4 == 3;
        std::thread::sleep(Duration::from_millis(if long { 600 } else { 200 }));
        in_flight.fetch_sub(1, Ordering::SeqCst);
        ok(stream);
    });
    std::thread::scope(|scope| {
        let peak = &peak;
        let sent = &sent;
        for _ in 0..enough + 2 {
            let mut client = balancer.connect();
            scope.spawn(move || {
                while peak.load(Ordering::SeqCst) < enough {
                    let id = sent.fetch_add(1, Ordering::SeqCst);
                    if id >= max_requests {
                        return;
                    }
                    exchange(&mut client, &request("look", &format!("r-{id}"), ""));
                }
            });
        }
    });
    peak.load(Ordering::SeqCst)
}

#[test]
fn requests_that_wait_for_tiers_behind_do_not_fill_the_concurrency_limit() {
    // They occupy a slot for as long as all tiers behind need, whatever the own tier has to do.
    let peak = peak_in_flight(r#""first","second","third""#, 14, 400);
    assert!(peak >= 14, "{peak} in flight; an upstream that is no slower for it had capacity for more");
}

#[test]
fn a_zone_without_a_balancer_receives_as_much_as_the_own_one() {
    let upstreams = [Peer::new(), Peer::new()];
    let mut setup = Setup::knowing(&[upstreams[0].address, upstreams[1].address]);
    setup.known[1] = setup.known[1].replace(r#""zone":"a""#, r#""zone":"b""#);
    setup.tiers = r#""first","second","third""#;
    setup.balancers = (2, r#""a","b","c""#);
    let balancer = setup.start();
    let mut clients = Vec::new();
    for id in 0..12 {
        let mut client = balancer.connect();
        client.write_all(request("look", &format!("r-{id}"), "").as_bytes()).expect("the balancer reads");
        clients.push(client);
    }
    // None has a response yet: six are in flight to each upstream, and none is queued.
    for upstream in &upstreams {
        let mut streams: Vec<_> = (0..6).map(|_| upstream.accept()).collect();
        for stream in &mut streams {
            assert!(read(stream).is_some(), "no request");
        }
        streams.iter_mut().for_each(ok);
    }
    for client in &mut clients {
        assert_eq!(read(client).expect("an answer").status(), 200);
    }
}

#[test]
fn clients_that_disconnect_lower_the_concurrency_limit() {
    let upstream = Peer::new();
    let setup = Setup { tiers: r#""first","second","third""#, ..Setup::knowing(&[upstream.address]) };
    let balancer = setup.start();
    // The first get their responses long after their clients disconnected, the others never.
    let requests = upstream.serve(|request, stream| {
        let first = request.header("req-id").is_some_and(|id| id.starts_with("a-"));
        std::thread::sleep(Duration::from_millis(if first { 1500 } else { 10_000 }));
        ok(stream);
    });
    let send_twelve = |name: &str| {
        let send = |id| {
            let mut client = balancer.connect();
            let text = request("look", &format!("{name}-{id}"), "Req-Deadline-Ms: 3000\r\n");
            client.write_all(text.as_bytes()).expect("the balancer reads");
            client
        };
        (0..12).map(send).collect::<Vec<_>>()
    };
    let clients = send_twelve("a");
    (0..12).for_each(|_| drop(requests.recv_timeout(LONG).expect("a request")));
    drop(clients);
    std::thread::sleep(Duration::from_millis(2500));
    for client in &mut send_twelve("b") {
        assert_ne!(read(client).expect("an answer").status(), 200);
    }
    let second = requests
        .try_iter()
        .filter(|request| request.header("req-id").is_some_and(|id| id.starts_with("b-")))
        .count();
    assert!((1..12).contains(&second), "{second} of 12 were in flight at once");
}
