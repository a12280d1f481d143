//! The concurrency limit as upstreams observe it: the number of requests in flight.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::*;

/// Three tiers of a service; the balancer forwards to the first.
const THREE_TIERS: [&str; 3] = ["first", "second", "third"];

/// Number of requests that an upstream has received, the number in flight, and the peak of the number in flight.
#[derive(Default)]
struct Load {
    received: AtomicUsize,
    in_flight: AtomicUsize,
    peak: AtomicUsize,
}

impl Load {
    /// Processes a request as an upstream does that calls further tiers: the latency does not grow with the load, and
    /// every fourth request takes three times as long.
    fn process_request(&self) {
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(in_flight, Ordering::SeqCst);
        let is_slow = self.received.fetch_add(1, Ordering::SeqCst) % 4 == 3;
        std::thread::sleep(Duration::from_millis(if is_slow { 600 } else { 200 }));
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    fn peak(&self) -> usize {
        self.peak.load(Ordering::SeqCst)
    }
}

/// Sends requests from `target + 2` clients to an upstream of the first tier, until the peak of the requests in flight
/// reaches `target` or `max_requests` were sent. Returns the peak.
fn peak_in_flight(tiers: &[&'static str], target: usize, max_requests: usize) -> usize {
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).tiers(tiers).start();
    let sent = AtomicUsize::new(0);
    let load = Arc::new(Load::default());
    let upstream_load = load.clone();
    let _requests = upstream.serve(move |_, stream| {
        upstream_load.process_request();
        respond_ok(stream);
    });
    std::thread::scope(|scope| {
        let (load, sent) = (&load, &sent);
        for _ in 0..target + 2 {
            let mut client = balancer.connect();
            scope.spawn(move || {
                while load.peak() < target {
                    let id = sent.fetch_add(1, Ordering::SeqCst);
                    if id >= max_requests {
                        return;
                    }
                    exchange(&mut client, &request("look", &format!("r-{id}"), ""));
                }
            });
        }
    });
    load.peak()
}

#[test]
fn requests_that_wait_for_further_tiers_do_not_fill_the_concurrency_limit() {
    // A request counts as in flight until all further tiers have responded, however little work the first tier does.
    let peak = peak_in_flight(&THREE_TIERS, 14, 400);
    assert!(peak >= 14, "{peak} in flight, although the latency does not grow with the load");
}

#[test]
fn a_zone_without_a_balancer_receives_as_much_as_the_zone_of_the_balancer() {
    let upstreams = [Peer::new(), Peer::new()];
    let in_own_zone = endpoint("s-0", upstreams[0].address, "SERVING");
    let in_other_zone =
        endpoint("s-1", upstreams[1].address, "SERVING").replace(r#""zone":"a""#, r#""zone":"b""#);
    let setup = Setup::with_upstreams(&[])
        .cached_endpoints(vec![in_own_zone, in_other_zone])
        .tiers(&THREE_TIERS)
        .balancers(2, &["a", "b", "c"]);
    let balancer = setup.start();
    let mut clients = Vec::new();
    for id in 0..12 {
        let mut client = balancer.connect();
        send(&mut client, &request("look", &format!("r-{id}"), ""));
        clients.push(client);
    }
    // No request has a response yet: six are in flight to each upstream, and none is queued.
    for upstream in &upstreams {
        let mut streams: Vec<_> = (0..6).map(|_| upstream.accept()).collect();
        for stream in &mut streams {
            assert!(read_message(stream).is_some(), "the upstream received no request");
        }
        streams.iter_mut().for_each(respond_ok);
    }
    for client in &mut clients {
        assert_eq!(read_message(client).expect("a response arrives").status(), 200);
    }
}

#[test]
fn clients_that_disconnect_lower_the_concurrency_limit() {
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).tiers(&THREE_TIERS).start();
    // The first requests get their responses long after their clients disconnected, the others after their deadline.
    let requests = upstream.serve(|request, stream| {
        let is_first = request.header("req-id").is_some_and(|id| id.starts_with("a-"));
        std::thread::sleep(Duration::from_millis(if is_first { 1500 } else { 10_000 }));
        respond_ok(stream);
    });
    let send_twelve_requests = |name: &str| {
        let send_request = |id| {
            let mut client = balancer.connect();
            let text = request("look", &format!("{name}-{id}"), "Req-Deadline-Ms: 3000\r\n");
            send(&mut client, &text);
            client
        };
        (0..12).map(send_request).collect::<Vec<_>>()
    };
    let clients = send_twelve_requests("a");
    (0..12).for_each(|_| drop(requests.recv_timeout(EVENT_TIMEOUT).expect("a request arrives")));
    drop(clients);
    std::thread::sleep(Duration::from_millis(2500));
    for client in &mut send_twelve_requests("b") {
        assert_ne!(read_message(client).expect("a response arrives").status(), 200);
    }
    let count = requests
        .try_iter()
        .filter(|request| request.header("req-id").is_some_and(|id| id.starts_with("b-")))
        .count();
    assert!((1..12).contains(&count), "{count} of 12 were in flight at once");
}
