//! Slow transfers of lawful speed while memory is short.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::common::*;
use crate::load::*;

/// Number of bytes that a slow client of lawful speed sends or reads at a time, every 250 ms: 48 kB a second.
const SLOW_STEP_BYTES: usize = 12_000;
/// Time between two steps of a slow client.
const SLOW_STEP_PAUSE: Duration = Duration::from_millis(250);
/// Number of steps of a slow client, in 7 s.
const SLOW_STEPS: usize = 28;

/// Uploads a body at the lowest lawful speed, and returns the status of the response.
fn upload_slowly(mut client: TcpStream) -> Option<u16> {
    client.write_all(&body_head(9_000, Some(SLOW_STEPS * SLOW_STEP_BYTES))).ok()?;
    for _ in 0..SLOW_STEPS {
        client.write_all(&vec![b'x'; SLOW_STEP_BYTES]).ok()?;
        std::thread::sleep(SLOW_STEP_PAUSE);
    }
    read_message(&mut client).map(|message| message.status())
}

/// Reads a long response at the lowest lawful speed. Returns whether its connection stays open for all steps.
fn read_slowly(mut client: TcpStream) -> bool {
    send(&mut client, &request("look", "r-slow-reader", ""));
    let mut buffer = vec![0; SLOW_STEP_BYTES];
    (0..SLOW_STEPS).all(|_| {
        std::thread::sleep(SLOW_STEP_PAUSE);
        client.read_exact(&mut buffer).is_ok()
    })
}

#[test]
fn slow_transfers_of_lawful_speed_beside_crowds_that_stop_are_not_cut() {
    let _one_crowd = lock_crowd();
    let load = Load { respond: respond_endlessly, works: false, parts_of: mixed_parts };
    let upstreams = start_upstreams(&load);
    let balancer = Setup::with_upstreams(&upstreams).memory_mb(MEMORY_MB).sockets(DESCRIPTORS).start();
    let upload = {
        let client = balancer.connect();
        std::thread::spawn(move || upload_slowly(client))
    };
    let download = {
        let client = balancer.connect();
        std::thread::spawn(move || read_slowly(client))
    };
    for _ in 0..3 {
        let mut crowd = Crowd::connect(&balancer, CROWD_SIZE / 2, |number| {
            vec![[body_head(number, Some(64 << 10)), vec![b'x'; 63 << 10]].concat()]
        });
        write_for(&mut crowd, Duration::from_secs(2));
    }
    assert_eq!(upload.join().expect("the client does not panic"), Some(200));
    assert!(download.join().expect("the client does not panic"), "the response was cut off");
    let lines: Vec<_> = balancer.log.try_iter().collect();
    assert!(lines.iter().any(|line| line.starts_with("memory: short")), "memory was never short");
}
