//! How long processes that start together take until they are ready: nine in ten within 10 s, all within 30 s, be
//! discovery up, down, silent or slow, with and without a known list.
//!
//! In the release profile it starts a hundred at a time, and in either it prints what it measured:
//! `cargo test --release -p zincstand-proxy --test ready -- --nocapture --test-threads 1`.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use common::*;

/// Processes that start together.
const TOGETHER: usize = if cfg!(debug_assertions) { 20 } else { 100 };
/// A look at readiness follows the one before so soon.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
enum Agent {
    Up,
    Down,
    /// It accepts and says nothing.
    Silent,
    /// Its list comes after a second, in pieces.
    Slow,
}

impl Agent {
    /// Its address; it names one upstream.
    fn start(self) -> SocketAddr {
        if matches!(self, Agent::Down) {
            return nowhere();
        }
        let peer = Peer::new();
        let address = peer.address;
        let text = list(42, true, &[entry("s-0", nowhere(), "SERVING")]);
        let _calls = peer.serve(move |call, stream| {
            // A watch waits for news, which never comes.
            if matches!(self, Agent::Silent) || call.first_line().contains("index=") {
                return;
            }
            if let Agent::Up = self {
                return answer(stream, "200 OK", "", text.as_bytes());
            }
            std::thread::sleep(Duration::from_secs(1));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            for piece in [head.as_bytes(), text.as_bytes()].concat().chunks(32) {
                if stream.write_all(piece).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        });
        address
    }
}

/// A process, and how long it took from its start to its readiness; nothing if that is longer than it may.
fn ready(agent: SocketAddr, known: bool, together: &Barrier) -> (Balancer, Option<Duration>) {
    let known = if known { vec![entry("s-0", nowhere(), "SERVING")] } else { Vec::new() };
    let mut setup = Setup { known, discovery: Some(agent), ..Setup::knowing(&[]) };
    (setup.unasked, setup.drain_grace_ms) = (true, 2500);
    together.wait();
    let start = Instant::now();
    let balancer = setup.start();
    let ready = || balancer.ask(READY).status() == 200;
    let mut took = ready().then(|| start.elapsed());
    while took.is_none() && start.elapsed() < LONG {
        std::thread::sleep(LOOK);
        took = ready().then(|| start.elapsed());
    }
    (balancer, took)
}

fn together(agent: Agent, known: bool) {
    let address = agent.start();
    let start = Arc::new(Barrier::new(TOGETHER));
    let one = |_| {
        let start = start.clone();
        std::thread::spawn(move || ready(address, known, &start))
    };
    let started: Vec<_> = (0..TOGETHER).map(one).collect();
    // All are joined before any trouble is told: each process is ended with what its thread returns.
    let measured: Vec<_> = started.into_iter().map(std::thread::JoinHandle::join).collect();
    let measured: Vec<_> = measured.into_iter().map(|measured| measured.expect("it was measured")).collect();
    let mut took: Vec<_> = measured.iter().map(|(_, took)| *took).collect();
    took.sort_by_key(|took| took.unwrap_or(Duration::MAX));
    let late = took.iter().filter(|took| took.is_none()).count();
    let at = |part: usize| took[(TOGETHER * part).div_ceil(100) - 1].unwrap_or(Duration::MAX);
    let list = if known { "an old list" } else { "no list" };
    let named = format!("{TOGETHER} together, discovery {agent:?}, {list}");
    let seconds = |part| at(part).as_secs_f64().min(999.0);
    println!(
        "{named}: median {:.2} s, 90th {:.2} s, worst {:.2} s, {late} not ready after 30 s",
        seconds(50),
        seconds(90),
        seconds(100)
    );
    assert_eq!(late, 0, "{named}: not ready after 30 s");
    assert!(at(90) <= Duration::from_secs(10), "{named}: nine in ten take {:?}", at(90));
}

#[test]
fn with_an_old_list_they_are_ready_whatever_discovery_does() {
    for agent in [Agent::Up, Agent::Down, Agent::Silent, Agent::Slow] {
        together(agent, true);
    }
}

#[test]
fn without_a_list_they_are_ready_whatever_discovery_does() {
    for agent in [Agent::Up, Agent::Down, Agent::Silent, Agent::Slow] {
        together(agent, false);
    }
}
