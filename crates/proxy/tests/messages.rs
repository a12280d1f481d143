//! Complete responses as they are on the wire: status line, headers without the date, and body. Scripts of operators and
//! clients match these texts, so a change to any of them is a change of the interface.

mod common;

use std::io::Write;

use common::*;

/// Returns a response as text, without its `date` header.
fn without_date(response: &Message) -> String {
    let lines = response.head.split_inclusive("\r\n").filter(|line| !line.starts_with("date:"));
    lines.collect::<String>() + &String::from_utf8_lossy(&response.body)
}

/// Returns a response of the admin API: one line of plain text, after which hyper closes the connection. `allow` is
/// empty or a header line.
fn admin_response(status: &str, allow: &str, text: &str) -> String {
    let length = text.len() + 1;
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: text/plain\r\n{allow}connection: close\r\ncontent-length: {length}\r\n\r\n{text}\n"
    )
}

/// Returns a response that the balancer itself gives to a client; each line of `headers` ends with CRLF.
fn client_response(status: &str, headers: &str, text: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{text}", text.len())
}

/// Starts a balancer with the admin API that knows one endpoint.
fn start_with_admin() -> Balancer {
    Setup::with_upstreams(&[closed_address()]).with_admin().start()
}

/// Sends bytes to the admin API and returns the response without its date.
fn admin_exchange(balancer: &Balancer, request: &str) -> String {
    let mut stream = balancer.connect_admin();
    let response = exchange(&mut stream, request);
    assert!(peer_closed(&mut stream), "the admin API takes one request per connection: {request}");
    without_date(&response)
}

/// Sends an admin request without a body and returns the response without its date.
fn admin_request(balancer: &Balancer, method: &str, path: &str) -> String {
    admin_exchange(balancer, &format!("{method} {path} HTTP/1.1\r\nHost: b\r\n\r\n"))
}

#[test]
fn each_admin_request_gets_the_exact_response() {
    let balancer = start_with_admin();
    for (method, path, text) in [
        ("GET", "/api/ready", "ready"),
        ("POST", "/api/exclude/s-0", "s-0 is out"),
        ("POST", "/api/exclude/s-0", "s-0 is out"),
        ("POST", "/api/include/s-0", "s-0 is in use"),
        ("POST", "/api/include/s-0", "s-0 is in use"),
        ("POST", "/api/exclude/%73%2d0", "s-0 is out"),
        ("POST", "/api/evacuate", "clients are sent away"),
        ("GET", "/api/ready", "ready"),
        ("POST", "/api/evacuate", "clients are sent away"),
        ("POST", "/api/rejoin", "clients are taken"),
        ("POST", "/api/rejoin", "clients are taken"),
    ] {
        let expected = admin_response("200 OK", "", text);
        assert_eq!(admin_request(&balancer, method, path), expected, "{method} {path}");
    }
}

#[test]
fn each_rejected_admin_request_gets_the_exact_response() {
    let balancer = start_with_admin();
    let long_name = format!("/api/exclude/{}", "s".repeat(257));
    let get = "allow: GET\r\n";
    let post = "allow: POST\r\n";
    for (method, path, status, allow, text) in [
        ("POST", "/api/exclude/s-9", "404 Not Found", "", "no list has named s-9"),
        ("POST", "/api/include/a%2fb", "404 Not Found", "", "no list has named a/b"),
        ("POST", "/api/drain", "404 Not Found", "", "no such path"),
        ("GET", "/", "404 Not Found", "", "no such path"),
        ("POST", "/api/ready", "405 Method Not Allowed", get, "another method"),
        ("GET", "/api/exclude/s-0", "405 Method Not Allowed", post, "another method"),
        ("DELETE", "/api/include/s-0", "405 Method Not Allowed", post, "another method"),
        ("GET", "/api/evacuate?now", "405 Method Not Allowed", post, "another method"),
        ("PUT", "/api/rejoin", "405 Method Not Allowed", post, "another method"),
        ("GET", "/api/ready?now", "400 Bad Request", "", "a call has no query"),
        ("POST", "/api/exclude/s-0?", "400 Bad Request", "", "a call has no query"),
        ("POST", "/api/exclude/", "400 Bad Request", "", "no upstream's name"),
        ("GET", "/api/include/%zz", "400 Bad Request", "", "no upstream's name"),
        ("POST", &long_name, "400 Bad Request", "", "no upstream's name"),
    ] {
        let expected = admin_response(status, allow, text);
        assert_eq!(admin_request(&balancer, method, path), expected, "{method} {path}");
    }
}

#[test]
fn admin_requests_with_a_body_get_the_exact_response() {
    let balancer = start_with_admin();
    let mut stream = balancer.connect_admin();
    let long = "POST /api/exclude/s-0 HTTP/1.1\r\nHost: b\r\nContent-Length: 90000\r\n\r\n";
    let too_long = exchange(&mut stream, &format!("{long}{}", "x".repeat(8000)));
    let expected = admin_response("413 Payload Too Large", "", "a call has no body");
    assert_eq!(without_date(&too_long), expected);
    // A body within the limit is read and ignored.
    let short = "POST /api/rejoin HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\n\r\nbody";
    assert_eq!(admin_exchange(&balancer, short), admin_response("200 OK", "", "clients are taken"));
}

#[test]
fn an_admin_request_that_cannot_be_parsed_gets_the_exact_response() {
    let balancer = start_with_admin();
    let mut stream = balancer.connect_admin();
    let response = exchange(&mut stream, "POST api/exclude/s-0\r\n\r\n");
    let expected = "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(without_date(&response), expected);
}

#[test]
fn an_admin_head_request_is_answered_without_the_text() {
    let balancer = start_with_admin();
    let mut stream = balancer.connect_admin();
    send(&mut stream, "HEAD /api/ready HTTP/1.1\r\nHost: b\r\n\r\n");
    let head = without_date(&read_head(&mut stream).expect("a response head arrives"));
    // The length is that of the text that is left out.
    let expected = admin_response("405 Method Not Allowed", "allow: GET\r\n", "another method");
    assert_eq!(head, expected.replace("another method\n", ""));
}

#[test]
fn an_override_that_cannot_be_written_gets_the_exact_response() {
    let folder = SharedFolder::new("unwritable");
    let balancer = Setup::with_upstreams(&[closed_address()]).with_admin().folder(&folder).start();
    std::fs::remove_dir_all(&folder.path).expect("the folder is removed");
    let text = "not kept: No such file or directory (os error 2)";
    let expected = admin_response("500 Internal Server Error", "", text);
    for path in ["/api/exclude/s-0", "/api/include/s-0", "/api/evacuate", "/api/rejoin"] {
        assert_eq!(admin_request(&balancer, "POST", path), expected, "{path}");
    }
}

#[test]
fn a_balancer_without_an_endpoint_list_answers_that_it_is_not_ready() {
    // Accepts connections and never responds, so that no list arrives.
    let discovery = Peer::new();
    let balancer = Setup::with_upstreams(&[]).with_admin().polled_discovery(discovery.address).start();
    let expected = admin_response("503 Service Unavailable", "", "not ready");
    assert_eq!(admin_request(&balancer, "GET", "/api/ready"), expected);
    let expected = client_response("503 Service Unavailable", "", "not ready");
    assert_eq!(without_date(&balancer.send(READINESS_CHECK)), expected);
}

const REQUEST_ID: &str = "Req-Id: r-1\r\n";
const CLASS_LOOK: &str = "Req-Kind: look\r\n";
const CLASS_PAY: &str = "Req-Kind: pay\r\n";
const IDEMPOTENCY_KEY: &str = "Idempotency-Key: k\r\n";

/// Sends a request with these header lines and returns the response without its date.
fn send_headers(balancer: &Balancer, line: &str, headers: &[&str], body: &str) -> String {
    let request = format!("{line} HTTP/1.1\r\nHost: b\r\n{}\r\n{body}", headers.concat());
    without_date(&balancer.send(&request))
}

#[test]
fn readiness_and_routing_errors_get_the_exact_response() {
    let balancer = Setup::with_upstreams(&[closed_address()]).start();
    for (line, headers, status, text) in [
        ("GET /health/ready", &[][..], "200 OK", "ready"),
        ("GET /nothing", &[], "404 Not Found", "no such path"),
        ("GET /api/", &[], "404 Not Found", "no such path"),
        ("DELETE /api", &[REQUEST_ID, CLASS_LOOK], "405 Method Not Allowed", "GET or POST"),
    ] {
        let response = send_headers(&balancer, line, headers, "");
        assert_eq!(response, client_response(status, "", text), "{line} {headers:?}");
    }
}

#[test]
fn invalid_headers_get_the_exact_response() {
    let balancer = Setup::with_upstreams(&[closed_address()]).start();
    let class_mismatch = "method or Idempotency-Key do not fit the class";
    let duplicate = "a header that may stand once stands twice";
    let not_a_number = "Req-Deadline-Ms is no number";
    for (line, headers, text) in [
        ("GET /api", &[REQUEST_ID][..], "no Req-Kind"),
        ("GET /api", &[REQUEST_ID, "Req-Kind: other\r\n"], "unknown Req-Kind"),
        ("GET /api", &[CLASS_LOOK], "no Req-Id"),
        ("GET /api", &[CLASS_LOOK, "Req-Id:\r\n"], "no Req-Id"),
        ("POST /api", &[REQUEST_ID, CLASS_LOOK], class_mismatch),
        ("GET /api", &[REQUEST_ID, CLASS_LOOK, IDEMPOTENCY_KEY], class_mismatch),
        ("GET /api", &[REQUEST_ID, CLASS_PAY], class_mismatch),
        ("POST /api", &[REQUEST_ID, CLASS_PAY, IDEMPOTENCY_KEY], class_mismatch),
        ("POST /api", &[REQUEST_ID, "Req-Kind: pull\r\n"], class_mismatch),
        ("GET /api", &[REQUEST_ID, REQUEST_ID, CLASS_LOOK], duplicate),
        ("GET /api", &[REQUEST_ID, CLASS_LOOK, "Req-Cost: 1\r\n", "Req-Cost: 1\r\n"], duplicate),
        ("GET /api", &[REQUEST_ID, CLASS_LOOK, "Req-Deadline-Ms: soon\r\n"], not_a_number),
        ("GET /api", &[REQUEST_ID, CLASS_LOOK, "Req-Deadline-Ms: -1\r\n"], not_a_number),
    ] {
        let response = send_headers(&balancer, line, headers, "");
        assert_eq!(response, client_response("400 Bad Request", "", text), "{line} {headers:?}");
    }
}

#[test]
fn bodies_that_are_not_accepted_get_the_exact_response() {
    let balancer = Setup::with_upstreams(&[closed_address()]).start();
    // The connection is closed: bytes that follow an unread body cannot be parsed as the next request.
    let close = "connection: close\r\n";
    let unexpected_body =
        send_headers(&balancer, "GET /api", &[REQUEST_ID, CLASS_LOOK, "Content-Length: 4\r\n"], "body");
    let expected = client_response("400 Bad Request", close, "a body that does not fit the class");
    assert_eq!(unexpected_body, expected);
    let too_long =
        send_headers(&balancer, "POST /api", &[REQUEST_ID, CLASS_PAY, "Content-Length: 33554433\r\n"], "");
    assert_eq!(too_long, client_response("413 Payload Too Large", close, "over 32 MiB"));
}

#[test]
fn unparsable_requests_get_the_exact_response() {
    let balancer = Setup::with_upstreams(&[closed_address()]).start();
    let long = format!("GET /api HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(100_000));
    for (request, status) in [
        ("what?\r\n\r\n", "400 Bad Request"),
        ("GET /api HTTP/1.1\r\nno colon\r\n\r\n", "400 Bad Request"),
        (&long, "431 Request Header Fields Too Large"),
    ] {
        let mut client = balancer.connect();
        // The balancer may close the connection before all of the request is written.
        let _ = client.write_all(request.as_bytes());
        let response = read_message(&mut client).expect("a response arrives");
        let expected = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(without_date(&response), expected, "{}", &request[..20.min(request.len())]);
    }
}

#[test]
fn a_request_id_that_is_in_flight_gets_the_exact_response() {
    let single_upstream = SingleUpstream::start();
    let _first = single_upstream.start_request(&request("pay", "r-1", ""));
    let expected = client_response("400 Bad Request", "connection: close\r\n", "this Req-Id is open");
    assert_eq!(without_date(&single_upstream.balancer.send(&request("pay", "r-1", ""))), expected);
}

#[test]
fn a_body_with_broken_framing_gets_the_exact_response() {
    let balancer = Setup::with_upstreams(&[closed_address()]).start();
    let head =
        "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: r-1\r\nReq-Kind: pay\r\nTransfer-Encoding: chunked\r\n";
    let response = balancer.send(&format!("{head}\r\nzz\r\n"));
    let expected = client_response("400 Bad Request", "connection: close\r\n", "broken body");
    assert_eq!(without_date(&response), expected);
}

#[test]
fn rejected_failed_and_timed_out_requests_get_the_exact_response() {
    // Nothing listens on the address of the upstream: the attempt never ran, so the client may retry it.
    let balancer = Setup::with_upstreams(&[closed_address()]).start();
    let rejected = balancer.send(&request("pay", "r-1", "Req-Deadline-Ms: 900\r\n"));
    let expected = client_response("503 Service Unavailable", "", "refused");
    assert_eq!(without_date(&rejected), expected);

    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).start();
    let _requests = upstream.serve(|message, stream| {
        if message.header("req-id") == Some("r-fails") {
            respond(stream, "500 Error", "", b"");
        }
    });
    let failed = balancer.send(&request("pay", "r-fails", ""));
    assert_eq!(without_date(&failed), client_response("502 Bad Gateway", "", "upstream failed"));
    let late = balancer.send(&request("pay", "r-late", "Req-Deadline-Ms: 500\r\n"));
    assert_eq!(without_date(&late), client_response("504 Gateway Timeout", "", "out of time"));
}

#[test]
fn a_forwarded_response_keeps_its_end_to_end_headers_and_body() {
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).start();
    let _requests = upstream.serve(|_, stream| {
        let headers = "X-Other: 2\r\nSrv-Load: 0.5\r\nConnection: x-hop\r\nX-Hop: 1\r\n";
        respond(stream, "200 OK", headers, b"done");
    });
    let forwarded = balancer.send(&request("pay", "r-1", ""));
    assert_eq!(without_date(&forwarded), client_response("200 OK", "x-other: 2\r\n", "done"));
}

#[test]
fn a_balancer_without_free_permits_gives_the_exact_response() {
    // 46 descriptors leave 3 permits for clients.
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address]).sockets(46).start();
    let _in_flight = balancer.start_requests(&upstream, 3);
    let rejected = balancer.send(&request("pay", "r-9", ""));
    let expected = client_response("503 Service Unavailable", "connection: close\r\n", "no place");
    assert_eq!(without_date(&rejected), expected);
}

#[test]
fn a_balancer_without_memory_for_bodies_gives_the_exact_response() {
    // 1 MB is less than the process needs for itself. It then has memory for fewer than 21 bodies of the largest buffered size.
    let upstream = Peer::new();
    let balancer = Setup::with_upstreams(&[upstream.address; 4]).memory_mb(1).start();
    let mut clients: Vec<_> = (0..21).map(|_| balancer.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        send(client, &large_request(&format!("r-{number}")));
    }
    let rejected = read_message(&mut clients[20]).expect("a response arrives");
    let expected =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 7\r\n\r\nno room";
    assert_eq!(without_date(&rejected), expected);
}
