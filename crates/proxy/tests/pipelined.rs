//! Requests that wait behind another one: they are answered as soon as it is their turn, and their time counts from the
//! moment in which their last byte came.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::*;

/// What a request told its upstream of its time may be this much over what its client has left.
const DEADLINE_SLACK_MS: u128 = 150;

fn told_ms(message: &Message) -> u128 {
    message.header("req-deadline-ms").and_then(|text| text.parse().ok()).expect("a deadline")
}

#[test]
fn requests_that_come_together_are_answered_one_after_the_other_at_once() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let requests = upstream.serve(|_, stream| ok(stream));
    let mut client = balancer.connect();
    let mut together = String::new();
    for id in 0..10 {
        let class = ["look", "pull", "look", "pay"][id % 4];
        let whole = request(class, &format!("r-{id}"), "");
        // One that is rejected unread ends nothing.
        together += &if id % 4 == 2 { whole.replace("Req-Kind: look", "Req-Kind: other") } else { whole };
    }
    let start = Instant::now();
    client.write_all(together.as_bytes()).expect("it reads");
    let statuses: Vec<_> = (0..10).map(|_| read(&mut client).expect("an answer").status()).collect();
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    assert_eq!(statuses, [200, 200, 400, 200, 200, 200, 400, 200, 200, 200]);
    assert_eq!(requests.try_iter().count(), 8);
}

/// Sends two requests together to a balancer whose upstream holds the first; the deadline of the second.
fn behind_another(deadline_ms: u64, hold: Duration) -> (Balancer, Peer, TcpStream) {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let mut client = balancer.connect();
    let deadline = format!("Req-Deadline-Ms: {deadline_ms}\r\n");
    let both = request("pay", "r-1", "") + &request("pay", "r-2", &deadline);
    client.write_all(both.as_bytes()).expect("it reads");
    let mut first = upstream.accept();
    read(&mut first).expect("an attempt");
    std::thread::sleep(hold);
    answer(&mut first, "200 OK", "Connection: close\r\n", b"done");
    assert_eq!(read(&mut client).expect("an answer").status(), 200);
    (balancer, upstream, client)
}

#[test]
fn a_request_behind_another_tells_its_upstream_what_its_client_has_left() {
    let sent = Instant::now();
    let (_balancer, upstream, mut client) = behind_another(5000, Duration::from_millis(600));
    let mut second = upstream.accept();
    let told = told_ms(&read(&mut second).expect("an attempt"));
    let left = 5000 - sent.elapsed().as_millis();
    assert!(told <= left + DEADLINE_SLACK_MS, "told {told}, left {left}");
    ok(&mut second);
    assert_eq!(read(&mut client).expect("an answer").status(), 200);
}

#[test]
fn a_request_whose_time_ran_out_behind_another_is_answered_and_not_forwarded() {
    let (_balancer, upstream, mut client) = behind_another(300, Duration::from_millis(600));
    let answered = read(&mut client).expect("an answer").status();
    assert!([503, 504].contains(&answered), "{answered}");
    assert!(upstream.quiet());
}

#[test]
fn a_request_that_waited_for_a_permit_tells_its_upstream_what_its_client_has_left() {
    let upstream = Peer::new();
    // One permit for clients, and one connection to an upstream.
    let balancer = Setup { sockets: 42, ..Setup::knowing(&[upstream.address]) }.start();
    let mut holder = balancer.connect();
    holder.write_all(request("pay", "r-1", "").as_bytes()).expect("it reads");
    let mut first = upstream.accept();
    read(&mut first).expect("an attempt");
    let mut client = balancer.connect();
    let sent = Instant::now();
    client.write_all(request("pay", "r-2", "Req-Deadline-Ms: 5000\r\n").as_bytes()).expect("it reads");
    std::thread::sleep(Duration::from_millis(220));
    answer(&mut first, "200 OK", "Connection: close\r\n", b"done");
    assert_eq!(read(&mut holder).expect("an answer").status(), 200);
    let mut second = upstream.accept();
    let told = told_ms(&read(&mut second).expect("an attempt"));
    // What the client has left, with the margin that the proxy keeps for the way back.
    let left = 5000 - sent.elapsed().as_millis();
    assert!(told <= left, "told {told}, left {left}");
}
