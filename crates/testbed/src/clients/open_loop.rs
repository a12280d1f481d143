//! Open-loop load: each request has an intended time, independent of the responses to earlier requests. Latency counts
//! from the intended time, so it includes the time that a request waits for a free connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::target_load::{StartedLoad, TargetLoad};
use super::{ClientError, Outcome};

/// How long before a request's intended time the sender spins instead of sleeping, since a sleep ends about 60 us late.
const SPIN_TIME: Duration = Duration::from_micros(150);
/// Time from the start of a run to its first request.
const LEAD_TIME: Duration = Duration::from_millis(5);
/// How long to wait for responses after the last request.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two checks whether the last responses have arrived.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A target of requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// The addresses, over which the connections are spread evenly.
    pub addresses: Vec<SocketAddr>,
    /// The number of connections, which requests reuse.
    pub connections: usize,
}

/// The intended times of requests to several targets in turn, at the same rate to each.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Requests per second to each target.
    pub rate: f64,
    /// The number of targets.
    pub targets: usize,
}

/// One request of a [`Schedule`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledRequest {
    /// The index of the target.
    pub target: usize,
    /// The intended time, counted from the start of the run.
    pub offset: Duration,
}

impl Schedule {
    /// Returns the request with this number, counted from 0. It does not depend on the responses to earlier requests.
    pub fn request(&self, number: u64) -> ScheduledRequest {
        let target = (number % self.targets as u64) as usize;
        let offset = Duration::from_secs_f64(number as f64 / (self.rate * self.targets as f64));
        ScheduledRequest { target, offset }
    }
}

/// Sends requests to the targets in turn for `duration`, at `rate` requests per second to each, and returns the outcome
/// for each target. The request ids begin with `name`, which must differ between concurrent runs.
///
/// # Errors
///
/// A [`ClientError`] if a target cannot be connected to or a thread cannot be started.
pub fn run_open_loop(
    name: &str,
    targets: &[Target],
    rate: f64,
    duration: Duration,
) -> Result<Vec<Outcome>, ClientError> {
    let mut loads = Vec::new();
    let mut readers = Vec::new();
    for (index, target) in targets.iter().enumerate() {
        let started: StartedLoad = TargetLoad::start(format!("{name}-{index}"), target)?;
        loads.push(started.load);
        readers.extend(started.readers);
    }
    send_on_schedule(&loads, Schedule { rate, targets: targets.len() }, duration);
    wait_for_last_responses(&loads);
    for load in &loads {
        load.close();
    }
    for reader in readers {
        let _ = reader.join();
    }
    Ok(loads.iter().map(|load| load.outcome()).collect())
}

/// Sends each request at its intended time.
fn send_on_schedule(loads: &[Arc<TargetLoad>], schedule: Schedule, duration: Duration) {
    let start = Instant::now() + LEAD_TIME;
    for number in 0.. {
        let request = schedule.request(number);
        if request.offset >= duration {
            return;
        }
        let intended = start + request.offset;
        wait_until(intended);
        loads[request.target].send_or_queue(intended);
    }
}

/// Sleeps until shortly before a time, and spins until it is reached.
fn wait_until(time: Instant) {
    loop {
        let left = time.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        match left.checked_sub(SPIN_TIME) {
            Some(sleep_time) if !sleep_time.is_zero() => std::thread::sleep(sleep_time),
            _ => std::hint::spin_loop(),
        }
    }
}

/// Waits until all requests have their responses, but at most [`LAST_RESPONSE_TIMEOUT`].
fn wait_for_last_responses(loads: &[Arc<TargetLoad>]) {
    let end = Instant::now() + LAST_RESPONSE_TIMEOUT;
    while loads.iter().any(|load| load.has_open_requests()) && Instant::now() < end {
        std::thread::sleep(POLL_INTERVAL);
    }
}
