//! Clients that leave while memory is short and their input stays in the kernel.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::load::*;

/// Time within which the end of a client must be noticed. The upstream never responds, and the deadline is 20 s.
const NOTICE_TIME: Duration = Duration::from_secs(1);

#[test]
fn a_client_that_leaves_while_memory_is_short_is_noticed_behind_its_unread_input() {
    let _one_crowd = lock_crowd();
    let upstream = Peer::new();
    // 1 MB is less than the process needs for itself, so a few requests make memory short.
    let balancer = Setup::with_upstreams(&[upstream.address; 40]).memory_mb(1).start();
    let bodies = |number| vec![[body_head(number, Some(64 << 10)), vec![b'x'; 63 << 10]].concat()];
    let mut crowd = Crowd::connect(&balancer, 14, bodies);
    crowd.write_round();
    balancer.wait_for_log("memory is short");
    let text = request("pay", "r-leaves", "");
    let mut client = balancer.connect();
    send(&mut client, &text);
    let _attempts = accept_until(&upstream, "r-leaves");
    send(&mut client, &"x".repeat(32 << 10));
    std::thread::sleep(Duration::from_millis(100));
    let left_at = Instant::now();
    drop(client);
    balancer.wait_for_log("dropped, its client has disconnected (id r-leaves");
    assert!(left_at.elapsed() < NOTICE_TIME, "the client's end was noticed after {:?}", left_at.elapsed());
}

/// Accepts connections up to that of the attempt with this request id, and returns them in the order of their arrival. The
/// earlier ones carry the bodies of the crowd.
fn accept_until(upstream: &Peer, id: &str) -> Vec<TcpStream> {
    let mut attempts = Vec::new();
    loop {
        let mut attempt = upstream.accept();
        let head = read_head(&mut attempt).expect("an attempt arrives");
        attempts.push(attempt);
        if head.header("req-id") == Some(id) {
            return attempts;
        }
    }
}
