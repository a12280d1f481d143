//! The time until processes that start together are ready: nine in ten within 10 s and all within 30 s, with discovery
//! up, down, silent or slow, and with and without a cached list.
//!
//! In the release profile a hundred processes start at the same time. The tests print what they measure:
//! `cargo test --release -p zincstand-proxy --test ready -- --nocapture --test-threads 1`.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::*;

/// Number of processes that start together.
const PROCESSES: usize = if cfg!(debug_assertions) { 20 } else { 100 };
/// Pause between two polls of readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How discovery responds.
#[derive(Clone, Copy, Debug)]
enum DiscoveryState {
    /// With a list, at once.
    Up,
    /// Nothing listens on its address.
    Down,
    /// It accepts connections and never responds.
    Silent,
    /// With a list, after a second and in small pieces.
    Slow,
}

impl DiscoveryState {
    const ALL: [DiscoveryState; 4] =
        [DiscoveryState::Up, DiscoveryState::Down, DiscoveryState::Silent, DiscoveryState::Slow];

    /// Starts discovery with one upstream in its list and returns its address.
    fn start(self) -> SocketAddr {
        if matches!(self, DiscoveryState::Down) {
            return closed_address();
        }
        let peer = Peer::new();
        let address = peer.address;
        let text = endpoint_list(42, true, &[endpoint("s-0", closed_address(), "SERVING")]);
        let _requests = peer.serve(move |request, stream| {
            // A watch waits for a change, which never occurs.
            if matches!(self, DiscoveryState::Silent) || request.first_line().contains("index=") {
                return;
            }
            if matches!(self, DiscoveryState::Up) {
                respond(stream, "200 OK", "", text.as_bytes());
            } else {
                respond_slowly(stream, &text);
            }
        });
        address
    }
}

/// Responds after a second, in small pieces, until the peer disconnects.
fn respond_slowly(stream: &mut TcpStream, text: &str) {
    std::thread::sleep(Duration::from_secs(1));
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
    for piece in [head.as_bytes(), text.as_bytes()].concat().chunks(32) {
        if stream.write_all(piece).is_err() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A started process and how long it took to become ready.
struct MeasuredStart {
    /// Keeps the process running until all are measured.
    _balancer: Balancer,
    /// Time from the start to readiness; `None` if the process was not ready in time.
    time_to_ready: Option<Duration>,
}

/// Starts a process at the same time as the others at the barrier and polls it until it is ready.
fn start_and_measure(discovery: SocketAddr, has_cached_list: bool, start_barrier: &Barrier) -> MeasuredStart {
    let endpoints =
        if has_cached_list { vec![endpoint("s-0", closed_address(), "SERVING")] } else { Vec::new() };
    let setup = Setup::with_upstreams(&[])
        .cached_endpoints(endpoints)
        .watched_discovery(discovery)
        .drain_grace_ms(2500);
    start_barrier.wait();
    let start = Instant::now();
    let balancer = setup.start();
    let is_ready = || balancer.send(READINESS_CHECK).status() == 200;
    let mut time_to_ready = is_ready().then(|| start.elapsed());
    while time_to_ready.is_none() && start.elapsed() < EVENT_TIMEOUT {
        std::thread::sleep(POLL_INTERVAL);
        time_to_ready = is_ready().then(|| start.elapsed());
    }
    MeasuredStart { _balancer: balancer, time_to_ready }
}

/// Starts all processes at once and returns their times to readiness in ascending order; `None` comes last.
fn measure_starts(discovery: SocketAddr, has_cached_list: bool) -> Vec<Option<Duration>> {
    let start_barrier = Arc::new(Barrier::new(PROCESSES));
    let start_one = |_| {
        let start_barrier = start_barrier.clone();
        std::thread::spawn(move || start_and_measure(discovery, has_cached_list, &start_barrier))
    };
    let threads: Vec<_> = (0..PROCESSES).map(start_one).collect();
    // All threads are joined before any failure is reported, so that no process outlives the test.
    let joined: Vec<_> = threads.into_iter().map(JoinHandle::join).collect();
    let measured: Vec<_> =
        joined.into_iter().map(|measured| measured.expect("the thread did not panic")).collect();
    let mut times: Vec<_> = measured.iter().map(|measured| measured.time_to_ready).collect();
    times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
    times
}

/// Checks the bounds on the times to readiness, and prints the times.
fn check_start_times(discovery: DiscoveryState, has_cached_list: bool) {
    let times = measure_starts(discovery.start(), has_cached_list);
    let not_ready = times.iter().filter(|time| time.is_none()).count();
    let percentile = |percent: usize| times[(PROCESSES * percent).div_ceil(100) - 1].unwrap_or(Duration::MAX);
    let list = if has_cached_list { "a cached list" } else { "no list" };
    let label = format!("{PROCESSES} together, discovery {discovery:?}, {list}");
    let seconds = |percent| percentile(percent).as_secs_f64().min(999.0);
    println!(
        "{label}: median {:.2} s, 90th {:.2} s, worst {:.2} s, {not_ready} not ready after 30 s",
        seconds(50),
        seconds(90),
        seconds(100)
    );
    assert_eq!(not_ready, 0, "{label}: not ready after 30 s");
    assert!(
        percentile(90) <= Duration::from_secs(10),
        "{label}: the 90th percentile is {:?}",
        percentile(90)
    );
}

#[test]
fn processes_with_a_cached_list_become_ready_whatever_discovery_does() {
    for discovery in DiscoveryState::ALL {
        check_start_times(discovery, true);
    }
}

#[test]
fn processes_without_a_list_become_ready_whatever_discovery_does() {
    for discovery in DiscoveryState::ALL {
        check_start_times(discovery, false);
    }
}
