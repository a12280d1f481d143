//! Start, graceful shutdown and restart after a kill.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::*;

#[test]
fn an_invalid_configuration_ends_the_start_with_one_line() {
    let valid = valid_config();
    for (config, variables, reason) in [
        (None, &[][..], "EDGE_CONFIG is not set"),
        (None, &[("EDGE_CONFIG", "/nowhere/at/all")][..], "/nowhere/at/all"),
        (Some("{".to_owned()), &[][..], "EDGE_CONFIG"),
        (Some("{}".to_owned()), &[][..], "settings"),
        (Some(valid.clone()), &[("EDGE_LISTEN", "here")][..], "EDGE_LISTEN"),
        (Some(valid.clone()), &[("EDGE_DISCOVERY", "localhost:80")][..], "EDGE_DISCOVERY"),
        (Some(valid.replace("8c1f30d27a5be964", "dice")), &[][..], "seed"),
        (
            Some(valid.replace("\"MostTries\":4", "\"MostTries\":0")),
            &[][..],
            "Limits.MostTries is 0, but must be 1 or more",
        ),
    ] {
        let output = run_until_exit(config.as_deref(), variables);
        let text = String::from_utf8_lossy(&output.stderr);
        let status = output.status;
        assert!(!status.success() && status.code().is_some(), "{reason}: {status:?}");
        assert!(text.contains(reason) && text.lines().count() == 1, "{reason}: {text}");
    }
}

#[test]
fn a_balancer_is_ready_once_it_has_an_endpoint_list() {
    let discovery = Peer::new();
    let balancer = Setup::with_upstreams(&[]).polled_discovery(discovery.address).start();
    let mut watch = discovery.accept();
    read_poll(&mut watch);
    assert_eq!(balancer.send(READINESS_CHECK).status(), 503);
    let upstream = Peer::new();
    send_snapshot(&mut watch, 1, &[endpoint("s-1", upstream.address, "SERVING")]);
    read_poll(&mut watch);
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
    // A cached list is enough.
    assert_eq!(Setup::with_upstreams(&[upstream.address]).start().send(READINESS_CHECK).status(), 200);
}

/// Requests that clients sent just after the start of a shutdown.
struct LateRequests {
    /// Response to a readiness check.
    readiness: Option<Message>,
    /// A new connection, a reused one and an unused one, each with a request.
    clients: [Option<TcpStream>; 3],
}

/// Sends requests just after the start of a shutdown, when all connections are still open and new ones are accepted:
/// clients may not have switched to another balancer yet.
fn send_late_requests(balancer: &Balancer, mut reused: TcpStream, unused: TcpStream) -> LateRequests {
    let send_request = |mut client: TcpStream, id: &str| {
        client.write_all(request("pay", id, "").as_bytes()).ok()?;
        Some(client)
    };
    let new = TcpStream::connect(balancer.address).ok().and_then(|client| {
        client.set_read_timeout(Some(EVENT_TIMEOUT)).ok()?;
        send_request(client, "r-4")
    });
    let written = reused.write_all(READINESS_CHECK.as_bytes());
    let readiness = written.ok().and_then(|()| read_message(&mut reused));
    let clients = [new, send_request(reused, "r-2"), send_request(unused, "r-3")];
    LateRequests { readiness, clients }
}

/// Asserts that a client receives a successful response and that its connection is closed after it.
#[track_caller]
fn assert_last_response(client: &mut TcpStream) {
    assert_eq!(read_message(client).expect("a response arrives").status(), 200);
    assert!(peer_closed(client), "the connection stays open although no more requests are accepted");
}

#[test]
fn a_graceful_shutdown_answers_requests_in_flight_and_new_ones() {
    assert_in_time(|| {
        let upstream = Peer::new();
        let mut balancer = Setup::with_upstreams(&[upstream.address]).start();
        let mut reused = balancer.connect();
        assert_eq!(exchange(&mut reused, READINESS_CHECK).status(), 200);
        let unused = balancer.connect();
        let mut in_flight = RequestInFlight::start(balancer.connect(), &upstream, &request("pay", "r-1", ""));

        let shutdown = balancer.start_shutdown();
        let late = send_late_requests(&balancer, reused, unused);
        if shutdown.elapsed() > Duration::from_millis(600) {
            return false;
        }
        assert_eq!(late.readiness.expect("a response arrives").status(), 503);
        for _ in &late.clients {
            let mut upstream = upstream.accept();
            read_message(&mut upstream).expect("an attempt arrives");
            respond_ok(&mut upstream);
        }
        for client in late.clients {
            assert_last_response(&mut client.expect("the connection is established"));
        }
        // The request in flight keeps the process running after its listener is closed.
        balancer.wait_for_closed_listener();
        let status = balancer.process.try_wait().expect("the exit status is read");
        assert!(status.is_none(), "the process exited with a request in flight");
        respond_ok(&mut in_flight.upstream);
        let response = read_message(&mut in_flight.client).expect("a response arrives");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
        balancer.assert_exits_cleanly();
        true
    });
}

#[test]
fn a_request_accepted_late_in_a_shutdown_is_answered_before_the_platform_kills_the_process() {
    assert_in_time(|| {
        let upstream = Peer::new();
        let mut balancer = Setup::with_upstreams(&[upstream.address]).start();
        let mut client = balancer.connect();
        assert_eq!(exchange(&mut client, READINESS_CHECK).status(), 200);
        let shutdown = balancer.start_shutdown();
        std::thread::sleep(Duration::from_millis(800));
        let written = client.write_all(request("pay", "r-1", "").as_bytes());
        if shutdown.elapsed() > Duration::from_millis(1100) {
            return false;
        }
        written.expect("the bytes are written");
        let mut upstream = upstream.accept();
        read_message(&mut upstream).expect("an attempt arrives");
        assert_eq!(read_message(&mut client).expect("a response arrives").status(), 504);
        balancer.assert_exits_cleanly();
        // The deadline of the class is 20 s.
        assert!(
            shutdown.elapsed() < Duration::from_secs(15),
            "the process exited after the platform would have killed it"
        );
        true
    });
}

/// Time from the shutdown signal to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);

/// Sends a request of which the last bytes follow 0.9 s after the shutdown signal, to an upstream that does not respond.
/// Asserts that the client gets a response before SIGKILL. Returns whether the last bytes were sent in time.
fn last_byte_in_shutdown_is_answered(length: usize) -> bool {
    let SingleUpstream { upstream, mut balancer, mut client } = SingleUpstream::start();
    let (head_length, late_length) = (length - length / 10, length / 10);
    let head = request("pay", "r-1", "")
        .replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {length}\r\n\r\n"));
    send(&mut client, &(head + &"x".repeat(head_length)));
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
    let shutdown = balancer.start_shutdown();
    std::thread::sleep(Duration::from_millis(900));
    send(&mut client, &"x".repeat(late_length));
    if shutdown.elapsed() > Duration::from_millis(1200) {
        return false;
    }
    let _hanging = upstream.accept();
    assert_eq!(read_message(&mut client).expect("a response arrives").status(), 504);
    assert!(shutdown.elapsed() < KILL_DELAY, "answered {:?} after the signal", shutdown.elapsed());
    balancer.assert_exits_cleanly();
    true
}

// Guards against losing slow uploads at a planned restart: their time is limited when their last byte arrives.
#[test]
fn an_upload_that_ends_late_in_a_shutdown_is_answered_before_the_platform_kills_the_process() {
    assert_in_time(|| last_byte_in_shutdown_is_answered(110_000));
}

// Guards against the same loss of requests whose body is short enough to be buffered.
#[test]
fn a_short_body_that_ends_late_in_a_shutdown_is_answered_before_the_platform_kills_the_process() {
    assert_in_time(|| last_byte_in_shutdown_is_answered(10_000));
}

#[test]
fn a_killed_balancer_restarts_at_the_same_address() {
    let upstream = Peer::new();
    // An IP address that no other test uses, so that no other test takes the port before the restart.
    let setup = Setup::with_upstreams(&[upstream.address]).listen("127.0.0.9:0".to_owned());
    let mut balancer = setup.start();
    let mut in_flight = RequestInFlight::start(balancer.connect(), &upstream, &request("pay", "r-1", ""));
    balancer.process.kill().expect("the process is killed");
    balancer.process.wait().expect("the exit status is read");
    assert!(peer_closed(&mut in_flight.client) && peer_closed(&mut in_flight.upstream));
    let restarted = Setup::with_upstreams(&[upstream.address]).listen(balancer.address.to_string()).start();
    let _requests = upstream.serve_ok();
    assert_eq!(restarted.send(&request("pay", "r-2", "")).status(), 200);
}

#[test]
fn an_unfinished_request_does_not_delay_the_shutdown() {
    let mut balancer = Setup::with_upstreams(&[closed_address()]).start();
    let mut unfinished = balancer.connect();
    send(&mut unfinished, "GET /api HTTP/1.1\r\nHost:");
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
    balancer.terminate();
    let response = read_message(&mut unfinished).expect("a response arrives");
    assert_eq!((response.status(), peer_closed(&mut unfinished)), (408, true));
    balancer.assert_exits_cleanly();
}

#[test]
fn requests_accepted_before_the_listener_closed_are_answered() {
    let upstream = Peer::new();
    let mut balancer = Setup::with_upstreams(&[upstream.address]).start();
    let _requests = upstream.serve_ok();
    // A reused connection, an unused one, one with an unfinished head, and new ones.
    let mut reused = balancer.connect();
    assert_eq!(exchange(&mut reused, READINESS_CHECK).status(), 200);
    let unused = balancer.connect();
    let mut unfinished = balancer.connect();
    let unfinished_request = request("pay", "r-half", "");
    let (first, rest) = unfinished_request.split_at(40);
    send(&mut unfinished, first);
    assert_eq!(balancer.send(READINESS_CHECK).status(), 200);
    let shutdown = balancer.start_shutdown();
    let mut clients = vec![reused, unused];
    balancer.while_suspended_until_listener_closes(shutdown, || {
        clients.extend((0..5).map(|_| balancer.connect()));
        for (number, client) in clients.iter_mut().enumerate() {
            send(client, &request("pay", &format!("r-{number}"), ""));
        }
    });
    clients.iter_mut().for_each(assert_last_response);
    send(&mut unfinished, rest);
    assert_eq!(read_message(&mut unfinished).expect("a response arrives").status(), 200);
    balancer.assert_exits_cleanly();
}

#[test]
fn short_deadlines_do_not_shorten_the_time_in_which_connections_are_accepted() {
    // New connections are accepted for 0.4 s after the start of the shutdown.
    assert_in_time(|| {
        let upstream = Peer::new();
        let mut balancer = Setup::with_upstreams(&[upstream.address]).deadline_ms(200).start();
        let _requests = upstream.serve_ok();
        let shutdown = balancer.start_shutdown();
        std::thread::sleep(Duration::from_millis(400));
        let client = TcpStream::connect(balancer.address);
        if shutdown.elapsed() > Duration::from_millis(480) {
            return false;
        }
        let mut client = client.expect("the balancer still listens");
        assert_eq!(exchange(&mut client, &request("pay", "r-1", "")).status(), 200);
        balancer.assert_exits_cleanly();
        true
    });
}

#[test]
fn an_idle_connection_is_not_closed_once_a_request_has_arrived() {
    // An idle connection is closed after two seconds. The process is suspended for longer than that, and the
    // request arrives in that time.
    let upstream = RespondingUpstream::start();
    let balancer = Setup::with_upstreams(&[upstream.address]).start();
    let mut client = balancer.connect();
    assert_eq!(exchange(&mut client, READINESS_CHECK).status(), 200);
    balancer.while_suspended(|| {
        send(&mut client, &request("pay", "r-1", ""));
        std::thread::sleep(Duration::from_millis(2100));
    });
    assert_eq!(read_message(&mut client).expect("a response arrives").status(), 200);
}

#[test]
fn streamed_requests_and_responses_complete_during_a_shutdown() {
    let SingleUpstream { upstream, mut balancer, client: mut uploader } = SingleUpstream::start();
    let body = vec![7; 200_000];
    let (first, rest) = body.split_at(120_000);
    let head =
        "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: r-up\r\nReq-Kind: pay\r\nContent-Length: 200000\r\n\r\n";
    uploader.write_all(&[head.as_bytes(), first].concat()).expect("the bytes are written");
    let mut upload = upstream.accept();
    let mut uploaded = read_head(&mut upload).expect("an attempt arrives");

    let mut downloader = balancer.connect();
    send(&mut downloader, &request("pay", "r-down", ""));
    let mut download = upstream.accept();
    assert_eq!(read_message(&mut download).expect("an attempt arrives").header("req-id"), Some("r-down"));
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
    download.write_all(&[head.as_bytes(), first].concat()).expect("the bytes are written");
    let mut downloaded = read_head(&mut downloader).expect("a response arrives");

    balancer.start_shutdown();
    balancer.wait_for_closed_listener();
    download.write_all(rest).expect("the bytes are written");
    read_body(&mut downloader, &mut downloaded).expect("the rest of the response arrives");
    assert_eq!((downloaded.status(), downloaded.body == body), (200, true));
    uploader.write_all(rest).expect("the bytes are written");
    read_body(&mut upload, &mut uploaded).expect("the rest of the request arrives");
    assert!(uploaded.body == body);
    RequestInFlight { client: uploader, upstream: upload }.complete();
    balancer.assert_exits_cleanly();
}

#[test]
fn connections_that_wait_for_a_permit_are_answered_during_a_shutdown() {
    // 46 descriptors leave 3 permits for clients, and requests in flight hold them until the end of the test.
    let upstream = Peer::new();
    let mut balancer = Setup::with_upstreams(&[upstream.address]).sockets(46).deadline_ms(30_000).start();
    let mut in_flight = balancer.start_requests(&upstream, 3);
    let mut waiting = Vec::new();
    let shutdown = balancer.start_shutdown();
    balancer.while_suspended_until_listener_closes(shutdown, || {
        for id in 3..12 {
            let mut client = balancer.connect();
            send(&mut client, &request("pay", &format!("r-{id}"), ""));
            waiting.push(client);
        }
    });
    for client in &mut waiting {
        let response = read_message(client).expect("a response arrives");
        // Rejected because no permit is free, before the request reaches the policy.
        assert_eq!((response.status(), &response.body[..]), (503, &b"no place"[..]));
    }
    in_flight.iter_mut().for_each(RequestInFlight::complete);
    balancer.assert_exits_cleanly();
    assert!(upstream.has_no_new_connection(), "a rejected request was forwarded");
}
