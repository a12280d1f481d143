//! Callers in an open loop: each call has a time at which it is to be sent, and its latency counts from there, so
//! that a call that had to wait for a connection does not pass for a quick one.

use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::CallerError;
use super::http::{CallerConnection, ReceivedResponse, read_response, request};

/// This long before a call's time the sender spins instead of sleeping: a sleep ends some 60 us late.
const SPIN_TIME: Duration = Duration::from_micros(150);
/// From the start of a run to its first call.
const LEAD_TIME: Duration = Duration::from_millis(5);
/// How long responses are waited for after the last call's time.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Between two checks whether the last responses have come.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The longest latency that is recorded as it is, a minute in nanoseconds; longer ones count as this.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
/// Significant decimal digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;
/// Bytes of a reader thread's stack; there is one thread for each connection.
const READER_STACK: usize = 128 * 1024;

/// Who is called, and over how many connections.
#[derive(Clone, Debug)]
pub struct Target {
    /// The addresses; connections are spread over them evenly.
    pub addresses: Vec<SocketAddr>,
    /// The number of connections, which are reused.
    pub connections: usize,
}

/// The result of the calls to one target.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Calls whose time came.
    pub calls: u64,
    /// Of calls with status 200, from the intended time to the last byte of the response, in nanoseconds.
    pub latency: Histogram<u64>,
    /// The number of responses by status.
    pub responses: BTreeMap<u16, u64>,
    /// Calls whose connection broke, or that had no response in the end.
    pub lost: u64,
    /// Connections that had to be made again.
    pub reconnects: u64,
}

impl Outcome {
    fn new() -> Outcome {
        // The bounds are constants and valid.
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_NS, LATENCY_DIGITS);
        let latency = latency.expect("valid bounds of the histogram");
        Outcome { calls: 0, latency, responses: BTreeMap::new(), lost: 0, reconnects: 0 }
    }

    /// The number of responses with another status than 200, and of lost calls.
    pub fn failed(&self) -> u64 {
        let others = self.responses.iter().filter(|(status, _)| **status != 200);
        self.lost + others.map(|(_, count)| count).sum::<u64>()
    }

    /// A quantile, from 0 to 1, of the latency in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// When the calls are to be sent, to several targets in turn at the same rate each.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Calls a second to each target.
    pub rate: f64,
    /// The number of targets.
    pub targets: usize,
}

/// One call of a [`Schedule`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledCall {
    /// The target's index.
    pub target: usize,
    /// Its intended time after the start.
    pub after: Duration,
}

impl Schedule {
    /// A call by its number, from 0; whatever became of the calls before.
    pub fn call(&self, number: u64) -> ScheduledCall {
        let target = (number % self.targets as u64) as usize;
        let after = Duration::from_secs_f64(number as f64 / (self.rate * self.targets as f64));
        ScheduledCall { target, after }
    }
}

/// Calls the targets in turn for `time`, `rate` times a second each, and returns the result for each target. The
/// `name` begins the ids of the calls: it must differ between two runs at the same time.
///
/// # Errors
/// A target cannot be connected to, or a thread cannot be started.
pub fn open_loop(
    name: &str,
    targets: &[Target],
    rate: f64,
    time: Duration,
) -> Result<Vec<Outcome>, CallerError> {
    let mut loads: Vec<Arc<TargetLoad>> = Vec::new();
    let mut readers: Vec<JoinHandle<()>> = Vec::new();
    for (index, target) in targets.iter().enumerate() {
        loads.push(TargetLoad::start(format!("{name}-{index}"), target, &mut readers)?);
    }
    send_on_schedule(&loads, Schedule { rate, targets: targets.len() }, time);
    wait_for_last_responses(&loads);
    for load in &loads {
        load.close();
    }
    for reader in readers {
        let _ = reader.join();
    }
    Ok(loads.iter().map(|load| load.lock().outcome.clone()).collect())
}

/// The calls to one target, shared by the sender and a reader for each connection.
struct TargetLoad {
    name: String,
    state: Mutex<LoadState>,
}

struct LoadState {
    /// Connections without a call, the one that has been idle longest first.
    idle: VecDeque<usize>,
    /// The intended times of calls that wait for a connection.
    waiting: VecDeque<Instant>,
    connections: Vec<CallSlot>,
    calls_sent: u64,
    is_over: bool,
    outcome: Outcome,
}

/// A connection, and the call that is on it.
struct CallSlot {
    writer: TcpStream,
    /// The intended time of the call; none while the connection is idle.
    intended: Option<Instant>,
}

impl LoadState {
    fn send(&mut self, connection: usize, intended: Instant, name: &str) {
        self.calls_sent += 1;
        let request = request(name, self.calls_sent);
        let slot = &mut self.connections[connection];
        slot.intended = Some(intended);
        // If the connection is broken, its reader notices.
        let _ = slot.writer.write_all(request.as_bytes());
    }

    /// The connection has become free: it carries the next waiting call or is idle.
    fn connection_freed(&mut self, connection: usize, name: &str) {
        match self.waiting.pop_front() {
            Some(intended) => self.send(connection, intended, name),
            None => self.idle.push_back(connection),
        }
    }

    /// Records a response, or that none came; returns whether the connection can be used again.
    fn record(&mut self, connection: usize, response: Option<ReceivedResponse>, now: Instant) -> bool {
        let Some(intended) = self.connections[connection].intended.take() else { return false };
        let Some(response) = response else {
            self.outcome.lost += 1;
            return false;
        };
        if response.status == 200 {
            let latency = now.saturating_duration_since(intended).as_nanos() as u64;
            self.outcome.latency.saturating_record(latency.max(1));
        }
        *self.outcome.responses.entry(response.status).or_default() += 1;
        !response.closes_connection
    }

    fn has_open_calls(&self) -> bool {
        !self.waiting.is_empty() || self.connections.iter().any(|slot| slot.intended.is_some())
    }
}

impl TargetLoad {
    /// Connects to a target and starts a reader for each connection.
    fn start(
        name: String,
        target: &Target,
        readers: &mut Vec<JoinHandle<()>>,
    ) -> Result<Arc<TargetLoad>, CallerError> {
        let connect =
            |index: usize| CallerConnection::connect(target.addresses[index % target.addresses.len()]);
        let connections = (0..target.connections).map(connect).collect::<Result<Vec<_>, _>>()?;
        let mut streams = Vec::new();
        let mut slots = Vec::new();
        for CallerConnection { reader, writer } in connections {
            streams.push(reader);
            slots.push(CallSlot { writer, intended: None });
        }
        let state = LoadState {
            idle: (0..target.connections).collect(),
            waiting: VecDeque::new(),
            connections: slots,
            calls_sent: 0,
            is_over: false,
            outcome: Outcome::new(),
        };
        let load = Arc::new(TargetLoad { name, state: Mutex::new(state) });
        for (connection, stream) in streams.into_iter().enumerate() {
            let load = load.clone();
            let reader = std::thread::Builder::new()
                .stack_size(READER_STACK)
                .spawn(move || load.read_responses(connection, stream));
            readers.push(reader.map_err(CallerError::Thread)?);
        }
        Ok(load)
    }

    fn lock(&self) -> MutexGuard<'_, LoadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads responses until the run is over; a connection that ends is made again.
    fn read_responses(&self, connection: usize, mut stream: TcpStream) {
        let mut buffer = Vec::with_capacity(1024);
        loop {
            let response = read_response(&mut stream, &mut buffer);
            let now = Instant::now();
            let mut state = self.lock();
            let is_reusable = state.record(connection, response, now);
            if state.is_over {
                return;
            }
            if !is_reusable {
                state.outcome.reconnects += 1;
                state.idle.retain(|idle| *idle != connection);
                let Ok(peer) = stream.peer_addr() else { return };
                let Ok(fresh) = CallerConnection::connect(peer) else { return };
                stream = fresh.reader;
                state.connections[connection].writer = fresh.writer;
                buffer.clear();
            }
            state.connection_freed(connection, &self.name);
        }
    }

    /// Sends a call whose time has come, or leaves it to the next connection that becomes free.
    fn call(&self, intended: Instant) {
        let mut state = self.lock();
        state.outcome.calls += 1;
        match state.idle.pop_front() {
            Some(connection) => state.send(connection, intended, &self.name),
            None => state.waiting.push_back(intended),
        }
    }

    /// Ends the run: calls that still wait are lost, and the readers find their connections closed.
    fn close(&self) {
        let mut state = self.lock();
        state.is_over = true;
        state.outcome.lost += state.waiting.len() as u64;
        for slot in &state.connections {
            let _ = slot.writer.shutdown(Shutdown::Both);
        }
    }
}

/// Makes each call at its time.
fn send_on_schedule(loads: &[Arc<TargetLoad>], schedule: Schedule, time: Duration) {
    let start = Instant::now() + LEAD_TIME;
    for number in 0.. {
        let call = schedule.call(number);
        if call.after >= time {
            return;
        }
        let intended = start + call.after;
        wait_until(intended);
        loads[call.target].call(intended);
    }
}

/// Sleeps for the most of the time, and spins for the rest of it.
fn wait_until(time: Instant) {
    loop {
        let left = time.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        match left.checked_sub(SPIN_TIME) {
            Some(sleep) if !sleep.is_zero() => std::thread::sleep(sleep),
            _ => std::hint::spin_loop(),
        }
    }
}

/// Waits until every call has its response, within bounds.
fn wait_for_last_responses(loads: &[Arc<TargetLoad>]) {
    let end = Instant::now() + LAST_RESPONSE_TIMEOUT;
    while loads.iter().any(|load| load.lock().has_open_calls()) && Instant::now() < end {
        std::thread::sleep(POLL_INTERVAL);
    }
}
