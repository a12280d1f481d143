//! The admin API: operator overrides, evacuation, and requests that are invalid or unfinished.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;

/// Starts a balancer with the admin API.
fn start_with_admin(upstreams: &[SocketAddr]) -> Balancer {
    Setup::with_upstreams(upstreams).with_admin().start()
}

#[test]
fn an_excluded_upstream_receives_nothing_until_it_is_included_again() {
    let first = RespondingUpstream::start();
    let second = RespondingUpstream::start();
    let folder = SharedFolder::new("out");
    let balancer =
        Setup::with_upstreams(&[first.address, second.address]).with_admin().folder(&folder).start();
    balancer.serve_requests(0..20);
    assert!(first.take_request_count() > 0);
    assert!(second.take_request_count() > 0);
    // A single inclusion ends any number of exclusions.
    assert_eq!(balancer.admin_status("POST", "/api/exclude/s-0"), 200);
    assert_eq!(balancer.admin_status("POST", "/api/exclude/s-0"), 200);
    balancer.serve_requests(20..40);
    assert_eq!((first.take_request_count(), second.take_request_count()), (0, 20));
    // With every upstream excluded, requests are rejected at once.
    assert_eq!(balancer.admin_status("POST", "/api/exclude/s-1"), 200);
    let start = Instant::now();
    assert_eq!(balancer.send(&request("pay", "r-40", "")).status(), 503);
    assert!(start.elapsed() < Duration::from_secs(5), "the request was queued until its deadline of 20 s");
    assert_eq!(balancer.admin_status("POST", "/api/include/s-0"), 200);
    balancer.serve_requests(41..45);
    assert_eq!((first.take_request_count(), second.take_request_count()), (4, 0));
}

#[test]
fn invalid_admin_requests_change_nothing() {
    let upstream = RespondingUpstream::start();
    let balancer = start_with_admin(&[upstream.address]);
    for (method, path, status) in [
        ("GET", "/api/exclude/s-0", 405),
        ("POST", "/api/exclude/", 400),
        ("POST", "/api/exclude/s-%f", 400),
        ("POST", "/api/exclude/s-9", 404),
        ("POST", "/api/include/s-9", 404),
        ("POST", "/api/drain", 404),
        ("POST", "/api/ready", 405),
        ("GET", "/api/ready", 200),
        // The upstream was not excluded: nothing changes, and it does not warm up again.
        ("POST", "/api/include/s-0", 200),
    ] {
        assert_eq!(balancer.admin_status(method, path), status, "{method} {path}");
    }
    let mut stream = balancer.connect_admin();
    assert_eq!(exchange(&mut stream, "POST api/exclude/s-0\r\n\r\n").status(), 400);
    let mut stream = balancer.connect_admin();
    let long = format!(
        "POST /api/exclude/s-0 HTTP/1.1\r\nHost: b\r\nContent-Length: 90000\r\n\r\n{}",
        "x".repeat(8000)
    );
    assert_eq!(exchange(&mut stream, &long).status(), 413);
    balancer.serve_requests(0..3);
    assert_eq!(upstream.take_request_count(), 3);
}

#[test]
fn unfinished_admin_requests_delay_no_other_request() {
    let balancer = start_with_admin(&[closed_address()]);
    let mut unfinished: Vec<_> = (0..40).map(|_| balancer.connect_admin()).collect();
    for (number, stream) in unfinished.iter_mut().enumerate() {
        // Some of the connections may have been closed already.
        let _ = stream.write_all(&b"POST /api/evacuate HTTP/1.1\r\nHost"[..number % 30]);
    }
    let start = Instant::now();
    assert_eq!(balancer.admin_status("GET", "/api/ready"), 200);
    assert!(start.elapsed() < Duration::from_secs(3), "the check waited for the unfinished requests");
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
}

#[test]
fn an_evacuated_balancer_closes_connections_until_it_rejoins() {
    let upstream = RespondingUpstream::start();
    let balancer = start_with_admin(&[upstream.address]);
    let mut used = balancer.connect();
    let mut idle = balancer.connect();
    for stream in [&mut used, &mut idle] {
        assert_eq!(exchange(stream, READINESS_CHECK).header("connection"), None);
    }
    // It is not an error to end an evacuation that never began, and a second request to evacuate has no effect.
    assert_eq!(balancer.admin_status("POST", "/api/rejoin"), 200);
    assert_eq!(balancer.admin_status("POST", "/api/evacuate"), 200);
    assert_eq!(balancer.admin_status("POST", "/api/evacuate"), 200);
    let start = Instant::now();
    assert_eq!(balancer.send(READINESS_CHECK).status(), 503);
    let response = exchange(&mut used, &request("pay", "r-1", ""));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(peer_closed(&mut used) && peer_closed(&mut idle));
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "the connections stayed open in spite of the evacuation"
    );
    assert_eq!(balancer.admin_status("GET", "/api/ready"), 200);
    assert_eq!(balancer.admin_status("POST", "/api/rejoin"), 200);
    let mut rejoined = balancer.connect();
    assert_eq!(exchange(&mut rejoined, READINESS_CHECK).status(), 200);
    let response = exchange(&mut rejoined, &request("pay", "r-2", ""));
    assert_eq!((response.status(), response.header("connection")), (200, None));
}

#[test]
fn an_evacuated_balancer_shuts_down_too() {
    let mut balancer = start_with_admin(&[closed_address()]);
    assert_eq!(balancer.admin_status("POST", "/api/evacuate"), 200);
    balancer.terminate();
    balancer.assert_exits_cleanly();
}

#[test]
fn an_invalid_descriptor_or_address_ends_the_start_with_one_line() {
    for (fd, reason) in
        [("seven", "not a descriptor"), ("99", "not an open socket"), ("1", "not an open socket")]
    {
        let output = run_until_exit(Some(&valid_config()), &[("EDGE_FD", fd)]);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{fd}");
        assert!(text.contains("EDGE_FD") && text.contains(reason) && text.lines().count() == 1, "{text}");
    }
    let taken = free_listener();
    let address = taken.local_addr().expect("the local address is known").to_string();
    for (value, reason) in [("here", "not an address"), (&address[..], "in use")] {
        let output = run_until_exit(Some(&valid_config()), &[("EDGE_MANAGEMENT", value)]);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{value}");
        assert!(
            text.contains("EDGE_MANAGEMENT") && text.contains(reason) && text.lines().count() == 1,
            "{text}"
        );
    }
}
