//! Evacuation: 4 s after the call, no client's connection may be idle or carry a request that arrived in the last 2 s.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::*;

/// Time from the call by which the clients must have been sent away; each time limit grows by 50 ms on sockets.
const EVACUATION_LIMIT: Duration = Duration::from_millis(4050);
/// Time that the clients wait, in milliseconds.
const DEADLINE_MS: u32 = 3000;
/// Length of a part of a response, in bytes.
const PART_BYTES: usize = 20_000;
/// Time between two parts.
const PART_INTERVAL: Duration = Duration::from_millis(100);

/// Writes a response of `parts` parts, one in each [`PART_INTERVAL`].
fn write_slowly(stream: &mut TcpStream, parts: usize) {
    let part = vec![b'x'; PART_BYTES];
    let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", parts * PART_BYTES);
    for _ in 0..parts {
        let _ = stream.write_all(&part);
        std::thread::sleep(PART_INTERVAL);
    }
}

/// Starts a balancer with an upstream that responds to the request `r-N` with N parts, one in each [`PART_INTERVAL`],
/// and to any other after `delay`.
fn start(delay: Duration) -> Balancer {
    let upstream = Peer::new();
    let address = upstream.address;
    drop(upstream.serve(move |message, stream| {
        let id = message.header("req-id").unwrap_or_default();
        let Some(parts) = id.strip_prefix("r-").and_then(|parts| parts.parse::<usize>().ok()) else {
            std::thread::sleep(delay);
            return respond_ok(stream);
        };
        write_slowly(stream, parts);
    }));
    Setup::with_upstreams(&[address]).deadline_ms(DEADLINE_MS).with_admin().start()
}

/// A response whose head has arrived.
struct LongResponse {
    client: TcpStream,
    message: Message,
}

/// Sends a request and waits for the head of its response.
fn begin_long_response(balancer: &Balancer, parts: usize) -> LongResponse {
    let mut client = balancer.connect();
    send(&mut client, &request("look", &format!("r-{parts}"), ""));
    let message = read_head(&mut client).expect("a response begins");
    assert_eq!(message.header("connection"), None, "the response began before the call");
    LongResponse { client, message }
}

fn evacuate(balancer: &Balancer) -> Instant {
    let called_at = Instant::now();
    assert_eq!(balancer.admin_status("POST", "/api/evacuate"), 200);
    called_at
}

/// Returns whether the balancer closes the connection without a reset before `limit`.
fn closes_by(client: &mut TcpStream, limit: Instant) -> bool {
    let time_left = limit.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = client.set_read_timeout(Some(time_left));
    let mut byte = [0];
    loop {
        match client.read(&mut byte) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return matches!(result, Ok(0)),
        }
    }
}

/// Guards against a connection that stays open and idle because its last response began before the call.
#[test]
fn a_connection_whose_long_response_ends_late_is_not_idle_four_seconds_after_the_call() {
    let balancer = start(Duration::ZERO);
    // The responses end 0.3 to 4.6 s after the call.
    let clients =
        [5, 15, 25, 33, 36, 38, 39, 40, 48].map(|parts| (parts, begin_long_response(&balancer, parts)));
    std::thread::sleep(Duration::from_millis(100));
    let called_at = evacuate(&balancer);
    let clients = clients.map(|(parts, LongResponse { mut client, mut message })| {
        std::thread::spawn(move || {
            read_body(&mut client, &mut message).unwrap_or_else(|| panic!("{parts} parts: cut off"));
            let ended_at = Instant::now();
            assert_eq!(message.body.len(), parts * PART_BYTES);
            let limit = called_at + EVACUATION_LIMIT;
            let limit = limit.max(ended_at + Duration::from_millis(50));
            assert!(
                closes_by(&mut client, limit),
                "{parts} parts: held idle {:?} after the call",
                called_at.elapsed()
            );
        })
    });
    for client in clients {
        client.join().expect("the client does not panic");
    }
    balancer.wait_for_log("closed while idle, clients are sent away");
}

/// A connection that may be used again after its long response still gets the next request answered.
#[test]
fn a_request_that_follows_a_long_response_during_an_evacuation_is_answered() {
    let balancer = start(Duration::ZERO);
    let LongResponse { mut client, mut message } = begin_long_response(&balancer, 6);
    let LongResponse { client: mut early, message: mut early_message } = begin_long_response(&balancer, 6);
    evacuate(&balancer);
    // A request that was sent before the end of the long response is read, and not closed on.
    send(&mut early, &request("look", "early", ""));
    read_body(&mut client, &mut message).expect("the response is complete");
    let response = exchange(&mut client, &request("look", "other", ""));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    read_body(&mut early, &mut early_message).expect("the response is complete");
    assert_eq!(read_message(&mut early).expect("a response arrives").status(), 200);
}

/// Guards against a request whose head was half sent at the call, and which is still served 4 s after it.
#[test]
fn a_request_that_arrives_late_in_an_evacuation_is_answered_before_its_limit() {
    // Longer than the time that is left when the requests are complete.
    let balancer = start(Duration::from_millis(2500));
    let upload = |id: &str| {
        let text = request("pay", id, "").replace("Content-Length: 4", "Content-Length: 100000");
        text.replace("\r\n\r\nbody", "\r\n\r\n") + &"x".repeat(100_000)
    };
    let requests = [request("look", "head", ""), request("pay", "body", ""), upload("upload")];
    // A part of each request that is sent before the call, and the time after the call at which the rest follows.
    let splits = [(40, 1900), (request("pay", "body", "").len() - 2, 2100), (90_000, 2300)];
    let mut clients = Vec::new();
    for (text, (split, _)) in requests.iter().zip(splits) {
        let mut client = balancer.connect();
        send(&mut client, &text[..split]);
        clients.push(client);
    }
    let called_at = evacuate(&balancer);
    for ((text, (split, rest_at)), client) in requests.iter().zip(splits).zip(&mut clients) {
        std::thread::sleep(Duration::from_millis(rest_at).saturating_sub(called_at.elapsed()));
        send(client, &text[split..]);
    }
    for (text, client) in requests.iter().zip(&mut clients) {
        let response = read_message(client).unwrap_or_else(|| panic!("no response: {}", &text[..20]));
        println!("{} after {:?}", response.status(), called_at.elapsed());
        assert!(called_at.elapsed() < EVACUATION_LIMIT, "answered {:?} after the call", called_at.elapsed());
        assert!(
            closes_by(client, called_at + EVACUATION_LIMIT),
            "held {:?} after the call",
            called_at.elapsed()
        );
    }
}

/// After the second call, a connection whose response began before the first one stays open as usual.
#[test]
fn a_connection_whose_response_ends_after_the_balancer_has_rejoined_stays_open() {
    let balancer = start(Duration::ZERO);
    let LongResponse { mut client, mut message } = begin_long_response(&balancer, 30);
    evacuate(&balancer);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(balancer.admin_status("POST", "/api/rejoin"), 200);
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
    read_body(&mut client, &mut message).expect("the response is complete");
    std::thread::sleep(Duration::from_millis(1200));
    let response = exchange(&mut client, &request("look", "other", ""));
    assert_eq!((response.status(), response.header("connection")), (200, None));
    // A second evacuation counts from its own call.
    let called_at = evacuate(&balancer);
    assert!(
        closes_by(&mut client, called_at + Duration::from_millis(1500)),
        "held idle after the second evacuation"
    );
}

/// Guards against a connection that stays idle after a late end of its response until the platform kills the process, in a
/// planned stop and in a hot restart.
#[test]
fn a_connection_whose_long_response_ends_late_does_not_delay_the_exit() {
    for is_replaced in [false, true] {
        let upstream = Peer::new();
        let folder = SharedFolder::new(&format!("late-response-{is_replaced}"));
        let listener = free_listener();
        let address = upstream.address;
        drop(upstream.serve(|_, stream| write_slowly(stream, 30)));
        let setup = || {
            let setup = Setup::with_upstreams(&[address]).deadline_ms(DEADLINE_MS).folder(&folder);
            if is_replaced { setup.inherited_listener(&listener) } else { setup }
        };
        let mut balancer = setup().start();
        let LongResponse { mut client, mut message } = begin_long_response(&balancer, 30);
        let _successor = is_replaced.then(|| setup().start());
        let shutdown = balancer.start_shutdown();
        read_body(&mut client, &mut message).expect("the response is not cut off");
        assert!(
            closes_by(&mut client, shutdown + Duration::from_millis(u64::from(DEADLINE_MS) + 600)),
            "{is_replaced}"
        );
        balancer.assert_exits_cleanly();
        // The platform kills the process 0.7 s after the longest deadline.
        let limit = Duration::from_millis(u64::from(DEADLINE_MS) + 700);
        assert!(shutdown.elapsed() < limit, "{is_replaced}: exits {:?} after SIGTERM", shutdown.elapsed());
    }
}

/// An evacuation through the successor in a hot restart sends away the clients of the predecessor too.
#[test]
fn an_evacuation_during_a_hot_restart_applies_to_the_predecessor() {
    let upstream = Peer::new();
    let folder = SharedFolder::new("evacuated-predecessor");
    let listener = free_listener();
    let address = upstream.address;
    drop(upstream.serve(|_, stream| write_slowly(stream, 30)));
    // So long that the shutdown itself does not close the connection in time.
    let setup = || {
        let setup = Setup::with_upstreams(&[address]).deadline_ms(20_000).folder(&folder);
        setup.inherited_listener(&listener).with_admin()
    };
    let predecessor = setup().start();
    let LongResponse { mut client, mut message } = begin_long_response(&predecessor, 30);
    let mut idle = predecessor.connect();
    assert_eq!(exchange(&mut idle, READINESS_CHECK).status(), 200);
    let successor = setup().start();
    // From then on the predecessor reports that the address accepts clients, also while it shuts down.
    predecessor.wait_for_log("2 processes of this balancer are running");
    predecessor.start_shutdown();
    let called_at = evacuate(&successor);
    assert_eq!(exchange(&mut idle, READINESS_CHECK).status(), 503, "the balancer is evacuated");
    read_body(&mut client, &mut message).expect("the response is not cut off");
    assert!(
        closes_by(&mut client, called_at + Duration::from_millis(3400)),
        "held idle {:?} after the call",
        called_at.elapsed()
    );
}
