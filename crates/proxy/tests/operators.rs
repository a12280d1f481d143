//! Operators' calls at the second address, and the replacement of the process.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use common::*;

/// The second address, on a free port.
const ADMIN_ADDRESS: Option<&str> = Some("127.0.0.1:0");

/// An upstream that responds at once and reports the requests that it received.
fn upstream() -> (SocketAddr, Receiver<Message>) {
    let peer = Peer::new();
    (peer.address, peer.serve(|_, stream| ok(stream)))
}

fn managed(upstreams: &[SocketAddr]) -> Setup {
    Setup { management: ADMIN_ADDRESS, ..Setup::knowing(upstreams) }
}

/// Sends requests one after the other, each on a connection of its own; all must be served.
fn send_requests(balancer: &Balancer, ids: std::ops::Range<u32>) {
    for id in ids {
        assert_eq!(balancer.ask(&request("pay", &format!("r-{id}"), "")).status(), 200);
    }
}

#[test]
fn an_excluded_upstream_receives_nothing_until_it_is_included_again() {
    let (first, to_first) = upstream();
    let (second, to_second) = upstream();
    let folder = Folder::new("out");
    let balancer = Setup { folder: Some(folder.0.clone()), ..managed(&[first, second]) }.start();
    send_requests(&balancer, 0..20);
    assert!(to_first.try_iter().count() > 0);
    assert!(to_second.try_iter().count() > 0);
    // One inclusion ends any number of exclusions.
    assert_eq!(balancer.call("POST", "/api/exclude/s-0"), 200);
    assert_eq!(balancer.call("POST", "/api/exclude/s-0"), 200);
    send_requests(&balancer, 20..40);
    assert_eq!((to_first.try_iter().count(), to_second.try_iter().count()), (0, 20));
    // With every upstream excluded, requests are rejected at once.
    assert_eq!(balancer.call("POST", "/api/exclude/s-1"), 200);
    let start = Instant::now();
    assert_eq!(balancer.ask(&request("pay", "r-40", "")).status(), 503);
    assert!(start.elapsed() < Duration::from_secs(5), "queued for its 20 s");
    assert_eq!(balancer.call("POST", "/api/include/s-0"), 200);
    send_requests(&balancer, 41..45);
    assert_eq!((to_first.try_iter().count(), to_second.try_iter().count()), (4, 0));
}

#[test]
fn invalid_calls_change_nothing() {
    let (address, received) = upstream();
    let balancer = managed(&[address]).start();
    for (method, path, status) in [
        ("GET", "/api/exclude/s-0", 405),
        ("POST", "/api/exclude/", 400),
        ("POST", "/api/exclude/s-%f", 400),
        ("POST", "/api/exclude/s-9", 404),
        ("POST", "/api/include/s-9", 404),
        ("POST", "/api/drain", 404),
        ("POST", "/api/ready", 405),
        ("GET", "/api/ready", 200),
        // Included without having been excluded: nothing changes, and it does not warm up anew.
        ("POST", "/api/include/s-0", 200),
    ] {
        assert_eq!(balancer.call(method, path), status, "{method} {path}");
    }
    let mut stream = balancer.connect_operator();
    assert_eq!(exchange(&mut stream, "POST api/exclude/s-0\r\n\r\n").status(), 400);
    let mut stream = balancer.connect_operator();
    let long = format!(
        "POST /api/exclude/s-0 HTTP/1.1\r\nHost: b\r\nContent-Length: 90000\r\n\r\n{}",
        "x".repeat(8000)
    );
    assert_eq!(exchange(&mut stream, &long).status(), 413);
    send_requests(&balancer, 0..3);
    assert_eq!(received.try_iter().count(), 3);
}

#[test]
fn unfinished_calls_delay_no_other_call() {
    let balancer = managed(&[nowhere()]).start();
    let mut unfinished: Vec<_> = (0..40).map(|_| balancer.connect_operator()).collect();
    for (number, stream) in unfinished.iter_mut().enumerate() {
        // Some of them may have been closed already.
        let _ = stream.write_all(&b"POST /api/evacuate HTTP/1.1\r\nHost"[..number % 30]);
    }
    let start = Instant::now();
    assert_eq!(balancer.call("GET", "/api/ready"), 200);
    assert!(start.elapsed() < Duration::from_secs(3), "it waited for the unfinished calls");
    assert_eq!(balancer.ask(READY).status(), 200);
}

#[test]
fn an_evacuated_balancer_closes_connections_until_it_rejoins() {
    let (address, _requests) = upstream();
    let balancer = managed(&[address]).start();
    let mut used = balancer.connect();
    let mut idle = balancer.connect();
    for stream in [&mut used, &mut idle] {
        assert_eq!(exchange(stream, READY).header("connection"), None);
    }
    // Ending an evacuation that never began is no error; two calls begin one evacuation.
    assert_eq!(balancer.call("POST", "/api/rejoin"), 200);
    assert_eq!(balancer.call("POST", "/api/evacuate"), 200);
    assert_eq!(balancer.call("POST", "/api/evacuate"), 200);
    let start = Instant::now();
    assert_eq!(balancer.ask(READY).status(), 503);
    let served = exchange(&mut used, &request("pay", "r-1", ""));
    assert_eq!((served.status(), served.header("connection")), (200, Some("close")));
    assert!(closed(&mut used) && closed(&mut idle));
    assert!(start.elapsed() < Duration::from_secs(10), "kept open in spite of the evacuation");
    assert_eq!(balancer.call("GET", "/api/ready"), 200);
    assert_eq!(balancer.call("POST", "/api/rejoin"), 200);
    let mut again = balancer.connect();
    assert_eq!(exchange(&mut again, READY).status(), 200);
    let served = exchange(&mut again, &request("pay", "r-2", ""));
    assert_eq!((served.status(), served.header("connection")), (200, None));
}

#[test]
fn an_evacuated_balancer_shuts_down_too() {
    let mut balancer = managed(&[nowhere()]).start();
    assert_eq!(balancer.call("POST", "/api/evacuate"), 200);
    balancer.terminate();
    assert!(balancer.child.wait().expect("it ends").success());
}

#[test]
fn a_hot_restart_goes_unnoticed_by_clients() {
    let (first, to_first) = upstream();
    let (second, to_second) = upstream();
    let (third, to_third) = upstream();
    let folder = Folder::new("replaced");
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let start = || {
        let folder = Some(folder.0.clone());
        let inherited_listener = Some(socket.try_clone().expect("a descriptor"));
        Setup { folder, inherited_listener, ..managed(&[first, second, third]) }.start()
    };
    let mut old = start();
    assert_eq!(old.address, socket.local_addr().expect("an address"));
    assert_eq!(old.call("POST", "/api/exclude/s-0"), 200);
    for round in 0..3 {
        // While there is one process, a connection is surely its own.
        let mut kept = old.connect();
        assert_eq!(exchange(&mut kept, READY).status(), 200);
        let new = start();
        assert_eq!(new.call("GET", "/api/ready"), 200);
        old.logged("2 processes");
        send_requests(&new, 20 * round..20 * round + 10);
        to_third.try_iter().for_each(drop);
        // A call to one process holds for the other as soon as it is answered.
        assert_eq!(new.call("POST", "/api/exclude/s-2"), 200);
        for id in 20 * round + 10..20 * round + 20 {
            assert_eq!(exchange(&mut kept, &request("pay", &format!("r-{id}"), "")).status(), 200);
        }
        assert_eq!((to_first.try_iter().count(), to_third.try_iter().count()), (0, 0));
        assert!(to_second.try_iter().count() >= 10);
        assert_eq!(new.call("POST", "/api/include/s-2"), 200);

        old.terminate();
        old.logged("shutdown requested");
        assert_eq!(old.call("GET", "/api/ready"), 503);
        // Its connections stay open until their next response, and the address is ready all the while.
        let ready = exchange(&mut kept, READY);
        assert_eq!((ready.status(), ready.header("connection")), (200, Some("close")));
        assert!(closed(&mut kept));
        assert!(old.child.wait().expect("it ends").success());
        new.logged("1 processes");
        old = new;
    }
}

#[test]
fn a_successor_that_dies_harms_nothing_and_a_reload_changes_no_override() {
    let (first, to_first) = upstream();
    let (second, _to_second) = upstream();
    let folder = Folder::new("died");
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let setup = || {
        let folder = Some(folder.0.clone());
        let inherited_listener = Some(socket.try_clone().expect("a descriptor"));
        Setup { folder, inherited_listener, ..managed(&[first, second]) }
    };
    let old = setup().start();
    assert_eq!(old.call("POST", "/api/exclude/s-0"), 200);
    let mut new = setup().start();
    old.logged("2 processes");
    new.child.kill().expect("it is killed");
    old.logged("1 processes");
    old.reload(&setup().config());
    old.logged("configuration read again");
    send_requests(&old, 0..10);
    assert_eq!(to_first.try_iter().count(), 0);
    assert_eq!(old.call("GET", "/api/ready"), 200);
}

#[test]
fn an_invalid_descriptor_or_address_ends_the_start_with_one_line() {
    for (fd, why) in [("seven", "no descriptor"), ("99", "no open socket"), ("1", "no open socket")] {
        let ended = start_on(Some(&good_config()), &[("EDGE_FD", fd)]);
        let text = String::from_utf8_lossy(&ended.stderr);
        assert!(!ended.status.success(), "{fd}");
        assert!(text.contains("EDGE_FD") && text.contains(why) && text.lines().count() == 1, "{text}");
    }
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    for (value, why) in [("here", "no address"), (&address[..], "in use")] {
        let ended = start_on(Some(&good_config()), &[("EDGE_MANAGEMENT", value)]);
        let text = String::from_utf8_lossy(&ended.stderr);
        assert!(!ended.status.success(), "{value}");
        assert!(
            text.contains("EDGE_MANAGEMENT") && text.contains(why) && text.lines().count() == 1,
            "{text}"
        );
    }
}
