//! Slow transfers of lawful speed while memory is short.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::load::*;

/// Number of bytes that a slow client of lawful speed sends or reads at a time, every 250 ms: 48 kB a second.
const SLOW_STEP_BYTES: usize = 12_000;
/// Time between two steps of a slow client.
const SLOW_STEP_PAUSE: Duration = Duration::from_millis(250);
/// Number of steps of a slow client, in 7 s.
const SLOW_STEPS: usize = 28;

/// Request id of the slow upload.
const UPLOAD_ID: &str = "r-9000";

/// The steps of a slow client. A step that comes late does not delay the ones after it: the client would be slower than is
/// lawful.
struct SlowSteps {
    next: Instant,
    left: usize,
}

impl SlowSteps {
    fn begin() -> SlowSteps {
        SlowSteps { next: Instant::now(), left: SLOW_STEPS }
    }

    /// Waits until the next step is due; false after the last one.
    fn wait_for_next(&mut self) -> bool {
        if self.left == 0 {
            return false;
        }
        std::thread::sleep(self.next.saturating_duration_since(Instant::now()));
        self.next += SLOW_STEP_PAUSE;
        self.left -= 1;
        true
    }
}

/// Uploads a body at the lowest lawful speed until it is complete or the connection fails, and returns the status of the
/// response.
fn upload_slowly(mut client: TcpStream) -> Option<u16> {
    let head = body_head(9_000, Some(SLOW_STEPS * SLOW_STEP_BYTES));
    let mut is_open = client.write_all(&head).is_ok();
    let mut steps = SlowSteps::begin();
    while is_open && steps.wait_for_next() {
        is_open = client.write_all(&vec![b'x'; SLOW_STEP_BYTES]).is_ok();
    }
    read_message(&mut client).map(|message| message.status())
}

/// Reads a long response at the lowest lawful speed. Returns whether its connection stays open for all steps.
fn read_slowly(mut client: TcpStream) -> bool {
    send(&mut client, &request("look", "r-slow-reader", ""));
    let mut buffer = vec![0; SLOW_STEP_BYTES];
    let mut steps = SlowSteps::begin();
    while steps.wait_for_next() {
        if client.read_exact(&mut buffer).is_err() {
            return false;
        }
    }
    true
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
    let upload_status = upload.join().expect("the client does not panic");
    let is_download_open = download.join().expect("the client does not panic");
    let lines: Vec<_> = balancer.log.try_iter().collect();
    let upload_lines: Vec<_> = lines.iter().filter(|line| line.contains(UPLOAD_ID)).collect();
    assert_eq!(upload_status, Some(200), "lines of the upload: {upload_lines:#?}");
    assert!(is_download_open, "the response was cut off");
    assert!(lines.iter().any(|line| line.starts_with("memory: short")), "memory was never short");
}
