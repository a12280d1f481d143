//! Attempts on upstreams: what is forwarded, which outcome is retried, and which connection carries an attempt.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::*;

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    let body: Vec<u8> = (0..65_536_u32).map(|index| (index % 251) as u8).collect();
    let head = format!(
        "POST /api?key=a%20b&x=1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r-1\r\nReq-Kind: pull\r\n\
         Req-Deadline-Ms: 9000\r\nIdempotency-Key: k-1\r\nConnection: x-hop\r\nX-Hop: 1\r\nX-Other: 2\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    client.write_all(&[head.as_bytes(), &body].concat()).expect("the balancer reads");
    let mut stream = upstream.accept();
    let received = read_message(&mut stream).expect("a request arrives");
    assert_eq!(received.first_line(), "POST /api?key=a%20b&x=1 HTTP/1.1");
    assert!(received.body == body, "the body differs");
    for (name, value) in [("req-id", "r-1"), ("idempotency-key", "k-1"), ("x-other", "2"), ("x-hop", "")] {
        assert_eq!(received.header(name).unwrap_or_default(), value, "{name}");
    }
    assert!(received.deadline_ms() <= 9_000, "more than the client waits");
    respond(&mut stream, "200 OK", "Content-Type: x/y\r\n", &body);
    let response = read_message(&mut client).expect("a response arrives");
    assert_eq!((response.status(), response.header("content-type")), (200, Some("x/y")));
    assert!(response.body == body, "the body of the response differs");
}

#[test]
fn a_request_that_is_not_idempotent_and_reached_no_upstream_may_be_rejected() {
    let balancer = Setup::with_upstreams(&[closed_address()]).start();
    assert_eq!(balancer.send(&request("pay", "r-1", "Req-Deadline-Ms: 900\r\n")).status(), 503);
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_after_an_upstream_rejected_it() {
    for status in ["503 Busy", "504 Over"] {
        let fixture = SingleUpstream::start();
        let mut in_flight = fixture.start_request(&request("pay", "r-1", ""));
        respond(&mut in_flight.upstream, status, "Srv-Declined: 1\r\n", b"");
        // The response was read to its end, so the connection is reused.
        read_message(&mut in_flight.upstream).expect("a second attempt arrives");
        in_flight.complete();
    }
}

#[test]
fn a_request_that_is_not_idempotent_and_may_have_run_fails_after_one_attempt() {
    let cases: [(&str, Option<&str>); 13] = [
        ("reset", None),
        ("error", Some("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")),
        (
            "503 without the header that marks a rejection",
            Some("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        ),
        ("truncated response", Some("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")),
        ("not HTTP", Some("what?\r\n\r\n")),
        (
            "rejected, but truncated",
            Some("HTTP/1.1 503 B\r\nSrv-Declined: 1\r\nContent-Length: 9\r\n\r\nhalf"),
        ),
        ("two lengths", Some("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 6\r\n\r\nabcdef")),
        ("negative length", Some("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nab")),
        ("bad chunks", Some("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n")),
        ("bad line", Some("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nab")),
        ("bad status", Some("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nab")),
        ("body of 3 GB", Some("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab")),
        ("other protocol", Some("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")),
    ];
    for (case, response) in cases {
        let upstream = Peer::new();
        let balancer = Setup::with_upstreams(&[upstream.address]).start();
        let requests = upstream.serve(move |_, stream| {
            let _ = stream.write_all(response.unwrap_or_default().as_bytes());
            if response.is_none_or(|text| !text.contains("Length: 0")) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        let failed = balancer.send(&request("pay", "r-1", ""));
        assert!(matches!(failed.status(), 502 | 504), "{case}: {}", failed.status());
        assert_eq!(balancer.send(&request("pay", "r-2", "")).status(), failed.status());
        let ids: Vec<_> =
            requests.try_iter().map(|request| request.header("req-id").map(str::to_owned)).collect();
        assert_eq!(ids, [Some("r-1".to_owned()), Some("r-2".to_owned())], "{case}");
    }
}

#[test]
fn an_idempotent_request_that_failed_is_retried() {
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    send(&mut client, &request("look", "r-1", ""));
    drop(read_message(&mut upstream.accept()));
    let mut stream = upstream.accept();
    assert_eq!(read_message(&mut stream).expect("a retry arrives").header("req-id"), Some("r-1"));
    respond_ok(&mut stream);
    assert_eq!(read_message(&mut client).expect("a response arrives").body, b"done");
}

#[test]
fn an_attempt_that_times_out_fails_and_closes_its_connection() {
    let fixture = SingleUpstream::start();
    let in_flight = fixture.start_request(&request("pay", "r-1", "Req-Deadline-Ms: 1500\r\n"));
    let RequestInFlight { mut client, upstream: mut stream } = in_flight;
    assert_eq!(read_message(&mut client).expect("a response arrives").status(), 504);
    assert!(peer_closed(&mut stream), "the connection stays open");
    // The client's connection stays open.
    send(&mut client, &request("pay", "r-2", ""));
    let mut stream = fixture.upstream.accept();
    assert_eq!(read_message(&mut stream).expect("an attempt arrives").header("req-id"), Some("r-2"));
    respond_ok(&mut stream);
    assert_eq!(read_message(&mut client).expect("a response arrives").status(), 200);
    assert!(fixture.upstream.has_no_new_connection());
}

#[test]
fn nothing_is_forwarded_for_a_client_that_disconnected() {
    let fixture = SingleUpstream::start();
    let RequestInFlight { client, upstream: mut stream } = fixture.start_request(&request("look", "r-1", ""));
    drop(client);
    // The response shows that the balancer has seen the disconnect, which came first. So the error below must not lead
    // to a retry.
    assert_eq!(fixture.balancer.send(READINESS_CHECK).status(), 200);
    std::thread::sleep(Duration::from_millis(100));
    respond(&mut stream, "500 Error", "", b"");
    let mut other = fixture.balancer.connect();
    std::thread::sleep(Duration::from_millis(100));
    send(&mut other, &request("look", "r-2", ""));
    assert_eq!(read_message(&mut stream).expect("the next request arrives").header("req-id"), Some("r-2"));
    respond_ok(&mut stream);
    assert_eq!(read_message(&mut other).expect("a response arrives").status(), 200);
    assert!(fixture.upstream.has_no_new_connection());
}

#[test]
fn a_connection_is_reused_and_closed_when_idle() {
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).idle_close_ms(4000).start();
    let mut in_flight = RequestInFlight::start(balancer.connect(), &upstream, &request("pay", "r-1", ""));
    for id in ["r-2", "r-3"] {
        in_flight.complete();
        send(&mut in_flight.client, &request("pay", id, ""));
        read_message(&mut in_flight.upstream).expect("an attempt arrives");
    }
    in_flight.complete();
    assert!(upstream.has_no_new_connection(), "a second connection");
    assert!(peer_closed(&mut in_flight.upstream), "an idle connection is left for the upstream to close");
}

#[test]
fn a_connection_that_the_upstream_closed_is_not_reused() {
    for close_header in ["", "Connection: close\r\n"] {
        let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
        for id in ["r-1", "r-2", "r-3"] {
            send(&mut client, &request("pay", id, ""));
            let mut stream = upstream.accept();
            assert_eq!(read_message(&mut stream).expect("an attempt arrives").header("req-id"), Some(id));
            respond(&mut stream, "200 OK", close_header, b"done");
            // The connection closes just before or just after the client receives its response. The next request must
            // not be lost on it.
            drop(stream);
            assert_eq!(read_message(&mut client).expect("a response arrives").status(), 200);
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn a_response_without_end_fails() {
    for head in ["HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"] {
        let fixture = SingleUpstream::start();
        let RequestInFlight { mut client, upstream: mut stream } =
            fixture.start_request(&request("pay", "r-1", ""));
        send(&mut stream, head);
        let line = format!("X-Pad: {}\r\n", "p".repeat(1000));
        while stream.write_all(line.as_bytes()).is_ok() {}
        assert_eq!(read_message(&mut client).expect("a response arrives").status(), 502);
    }
}

#[test]
fn bytes_after_a_response_are_never_taken_for_the_next_response() {
    let response_copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse";
    for (surplus, is_sent_later) in
        [(response_copy, false), (response_copy, true), ("noise", false), ("noise", true), ("\r\n", false)]
    {
        let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
        for id in ["r-1", "r-2", "r-3"] {
            send(&mut client, &request("pay", id, ""));
            // Each request takes a new connection, because the previous one cannot be reused.
            let mut stream = upstream.accept();
            assert_eq!(read_message(&mut stream).expect("an attempt arrives").header("req-id"), Some(id));
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
            if is_sent_later {
                send(&mut stream, &response);
                send(&mut stream, surplus);
            } else {
                send(&mut stream, &(response + surplus));
            }
            let forwarded = read_message(&mut client).expect("a response arrives");
            assert_eq!((forwarded.status(), &forwarded.body[..]), (200, id.as_bytes()), "{surplus:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn informational_responses_are_skipped() {
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).start();
    let _requests = upstream.serve(|_, stream| {
        let informational = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        // The load report of the final response cannot be parsed and is ignored.
        let final_response = "HTTP/1.1 200 OK\r\nSrv-Load: {\"%%=NaN\r\nContent-Length: 4\r\n\r\ndone";
        let _ = stream.write_all((informational.to_owned() + final_response).as_bytes());
    });
    let mut client = balancer.connect();
    for id in ["r-1", "r-2"] {
        assert_eq!(exchange(&mut client, &request("pay", id, "")).body, b"done");
    }
}

#[test]
fn the_most_recently_used_connection_is_preferred() {
    let fixture = SingleUpstream::start();
    let [mut first, mut second] = ["r-1", "r-2"].map(|id| fixture.start_request(&request("pay", id, "")));
    second.complete();
    first.complete();
    send(&mut second.client, &request("pay", "r-3", ""));
    assert_eq!(read_message(&mut first.upstream).expect("an attempt arrives").header("req-id"), Some("r-3"));
}

/// Number of responses with which the upstream of [`close_reused_connections`] announces that it closes the connection.
const ANNOUNCED_CLOSES: usize = 7;
/// Number of responses that the upstream of [`close_reused_connections`] sends with a delay.
const DELAYED_RESPONSES: usize = 8;

/// Accepts connections forever and closes each at its second request. The first responses announce that their
/// connection closes.
fn close_reused_connections(upstream: &Peer) {
    let requests = Arc::new(AtomicUsize::new(0));
    loop {
        let mut stream = upstream.accept();
        let requests = requests.clone();
        std::thread::spawn(move || {
            read_message(&mut stream).expect("a request arrives");
            let number = requests.fetch_add(1, Ordering::SeqCst);
            // The delay is long compared with the time in which a reused connection fails. A retry, whose response is
            // not delayed, ends well within the median latency.
            std::thread::sleep(Duration::from_millis(if number < DELAYED_RESPONSES { 300 } else { 0 }));
            let headers = if number < ANNOUNCED_CLOSES { "Connection: close\r\n" } else { "" };
            respond(&mut stream, "200 OK", headers, b"done");
            let _ = read_message(&mut stream);
        });
    }
}

#[test]
fn a_request_that_is_not_idempotent_avoids_idle_connections_of_an_age_that_failed() {
    let SingleUpstream { upstream, balancer: _balancer, mut client } = SingleUpstream::start();
    std::thread::spawn(move || close_reused_connections(&upstream));
    for id in 0..8 {
        assert_eq!(exchange(&mut client, &request("look", &format!("r-{id}"), "")).status(), 200);
    }
    std::thread::sleep(Duration::from_millis(20));
    // The request reuses the connection, fails with it, and is retried.
    assert_eq!(exchange(&mut client, &request("look", "r-8", "")).status(), 200);
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(exchange(&mut client, &request("pay", "r-9", "")).status(), 200);
}
