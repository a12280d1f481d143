//! Callers in an open loop: each call has a time at which it is to be sent, and its latency counts from there, so
//! that a call that had to wait for a connection is not told as a quick one.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hdrhistogram::Histogram;

/// Before a call's time the sender stops sleeping: a sleep ends some 60 us late.
const AWAKE: Duration = Duration::from_micros(150);
/// After the last call's time, answers are waited for so long.
const LAST: Duration = Duration::from_secs(2);
/// Latencies up to a minute, three figures, in nanoseconds.
const LONGEST: u64 = 60_000_000_000;
/// Enough for a reader.
const STACK: usize = 128 * 1024;

/// Who is called, and over how many connections.
#[derive(Clone, Debug)]
pub struct Target {
    /// Connections are spread over them evenly.
    pub addresses: Vec<SocketAddr>,
    /// Kept connections.
    pub connections: usize,
}

/// What came of the calls to one target.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Calls whose time came.
    pub calls: u64,
    /// Of calls answered 200, from the time that was meant to the last byte, in nanoseconds.
    pub latency: Histogram<u64>,
    /// Answers by status.
    pub answers: BTreeMap<u16, u64>,
    /// Calls whose connection broke, or that were not answered in the end.
    pub lost: u64,
    /// Connections made anew.
    pub reconnects: u64,
}

impl Outcome {
    fn new() -> Result<Outcome> {
        let latency = Histogram::new_with_bounds(1, LONGEST, 3)?;
        Ok(Outcome { calls: 0, latency, answers: BTreeMap::new(), lost: 0, reconnects: 0 })
    }

    /// Answers other than 200, and lost calls.
    pub fn failed(&self) -> u64 {
        self.lost + self.answers.iter().filter(|(status, _)| **status != 200).map(|(_, n)| n).sum::<u64>()
    }

    /// A quantile of the latency in microseconds.
    pub fn quantile_us(&self, q: f64) -> f64 {
        self.latency.value_at_quantile(q) as f64 / 1000.0
    }
}

/// When the calls are to be sent, to several targets in turn at the same rate each.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// Calls a second to each target.
    pub rate: f64,
    /// Targets.
    pub targets: usize,
}

impl Schedule {
    /// The target of a call by its number, and its time after the start; whatever became of calls before.
    pub fn call(&self, number: u64) -> (usize, Duration) {
        let target = (number % self.targets as u64) as usize;
        (target, Duration::from_secs_f64(number as f64 / (self.rate * self.targets as f64)))
    }
}

struct State {
    /// Connections that carry nothing, the one that has rested longest first.
    idle: VecDeque<usize>,
    /// Times of calls that found no connection.
    waiting: VecDeque<Instant>,
    /// By connection: to write to, and the time of the call that is on it.
    connections: Vec<(TcpStream, Option<Instant>)>,
    number: u64,
    over: bool,
    outcome: Outcome,
}

impl State {
    fn send(&mut self, connection: usize, intended: Instant, name: &str) {
        self.number += 1;
        let request = request(name, self.number);
        let (stream, call) = &mut self.connections[connection];
        *call = Some(intended);
        // A broken one is seen by its reader.
        let _ = stream.write_all(request.as_bytes());
    }

    /// The connection has nothing on it now.
    fn rest(&mut self, connection: usize, name: &str) {
        match self.waiting.pop_front() {
            Some(intended) => self.send(connection, intended, name),
            None => self.idle.push_back(connection),
        }
    }
}

struct Line {
    name: String,
    state: Mutex<State>,
}

impl Line {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads answers until the end; a connection that ends is made anew.
    fn read(&self, connection: usize, mut stream: TcpStream) {
        let mut held = Vec::with_capacity(1024);
        loop {
            let answer = answer(&mut stream, &mut held);
            let now = Instant::now();
            let mut state = self.lock();
            let call = state.connections[connection].1.take();
            let keep = match (&answer, call) {
                (Some((status, last)), Some(intended)) => {
                    if *status == 200 {
                        let took = now.saturating_duration_since(intended).as_nanos() as u64;
                        state.outcome.latency.saturating_record(took.max(1));
                    }
                    *state.outcome.answers.entry(*status).or_default() += 1;
                    !last
                }
                (None, Some(_)) => {
                    state.outcome.lost += 1;
                    false
                }
                _ => false,
            };
            if state.over {
                return;
            }
            if !keep {
                state.outcome.reconnects += 1;
                state.idle.retain(|c| *c != connection);
                let Ok(peer) = stream.peer_addr() else { return };
                let Ok((reader, writer)) = connect(peer) else { return };
                (stream, state.connections[connection].0) = (reader, writer);
                held.clear();
            }
            state.rest(connection, &self.name);
        }
    }
}

fn connect(address: SocketAddr) -> std::io::Result<(TcpStream, TcpStream)> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    Ok((stream.try_clone()?, stream))
}

/// An answer's status, and whether it is its connection's last; nothing where it did not come.
fn answer(stream: &mut TcpStream, held: &mut Vec<u8>) -> Option<(u16, bool)> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        if let httparse::Status::Complete(head) = response.parse(held).ok()? {
            let value = |name: &str| {
                response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
            };
            let length =
                value("content-length").and_then(|v| std::str::from_utf8(v).ok()?.parse::<usize>().ok());
            let last = value("connection").is_some_and(|v| v.eq_ignore_ascii_case(b"close"));
            let (status, whole) = (response.code?, head + length?);
            if held.len() >= whole {
                held.drain(..whole);
                return Some((status, last));
            }
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => held.extend_from_slice(&bytes[..n]),
            _ => return None,
        }
    }
}

/// Calls the targets in turn for so long, `rate` times a second each, and tells what came of it, by target. The
/// `name` begins the ids of the calls: two at the same time must differ.
///
/// # Errors
/// A target cannot be connected to, or a thread is missing.
pub fn open_loop(name: &str, targets: &[Target], rate: f64, time: Duration) -> Result<Vec<Outcome>> {
    let mut lines: Vec<Arc<Line>> = Vec::new();
    let mut readers: Vec<JoinHandle<()>> = Vec::new();
    for (t, target) in targets.iter().enumerate() {
        let streams = (0..target.connections)
            .map(|c| connect(target.addresses[c % target.addresses.len()]))
            .collect::<std::io::Result<Vec<_>>>()
            .context("a caller's connection")?;
        let (read, write): (Vec<_>, Vec<_>) = streams.into_iter().unzip();
        let state = State {
            idle: (0..target.connections).collect(),
            waiting: VecDeque::new(),
            connections: write.into_iter().map(|stream| (stream, None)).collect(),
            number: 0,
            over: false,
            outcome: Outcome::new()?,
        };
        let line = Arc::new(Line { name: format!("{name}-{t}"), state: Mutex::new(state) });
        for (c, stream) in read.into_iter().enumerate() {
            let line = line.clone();
            let reader = std::thread::Builder::new().stack_size(STACK).spawn(move || line.read(c, stream));
            readers.push(reader.context("a caller's thread")?);
        }
        lines.push(line);
    }
    send(&lines, Schedule { rate, targets: targets.len() }, time);
    finish(&lines);
    let mut outcomes = Vec::new();
    for line in &lines {
        let mut state = line.lock();
        state.over = true;
        // Those that are still on their way have had their time.
        state.outcome.lost += state.waiting.len() as u64;
        for (stream, _) in &state.connections {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
    for reader in readers {
        let _ = reader.join();
    }
    for line in &lines {
        outcomes.push(line.lock().outcome.clone());
    }
    Ok(outcomes)
}

/// Sends each call at its time, or leaves it to the next connection that is free.
fn send(lines: &[Arc<Line>], schedule: Schedule, time: Duration) {
    let start = Instant::now() + Duration::from_millis(5);
    for number in 0.. {
        let (target, after) = schedule.call(number);
        if after >= time {
            return;
        }
        let intended = start + after;
        loop {
            let left = intended.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            } else if left > AWAKE {
                std::thread::sleep(left - AWAKE);
            } else {
                std::hint::spin_loop();
            }
        }
        let line = &lines[target];
        let mut state = line.lock();
        state.outcome.calls += 1;
        match state.idle.pop_front() {
            Some(connection) => state.send(connection, intended, &line.name),
            None => state.waiting.push_back(intended),
        }
    }
}

/// Waits for the last answers.
fn finish(lines: &[Arc<Line>]) {
    let end = Instant::now() + LAST;
    let open = |line: &Arc<Line>| {
        let state = line.lock();
        !state.waiting.is_empty() || state.connections.iter().any(|(_, call)| call.is_some())
    };
    while lines.iter().any(open) && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Connections that stay open while what they cost is looked at.
pub struct Held(Vec<TcpStream>);

impl Held {
    /// So many connections.
    ///
    /// # Errors
    /// One cannot be made.
    pub fn connect(address: SocketAddr, number: usize) -> Result<Held> {
        let streams = (0..number).map(|_| connect(address).map(|(stream, _)| stream));
        Ok(Held(streams.collect::<std::io::Result<_>>().context("a caller's connection")?))
    }

    /// Sends a call on each.
    ///
    /// # Errors
    /// One has been closed.
    pub fn send(&mut self) -> Result<()> {
        for (number, stream) in self.0.iter_mut().enumerate() {
            stream.write_all(request("held", number as u64).as_bytes()).context("a caller's connection")?;
        }
        Ok(())
    }

    /// Waits for the answers, and tells their statuses.
    ///
    /// # Errors
    /// One does not come within `time` of the one before.
    pub fn receive(&mut self, time: Duration) -> Result<Vec<u16>> {
        let one = |stream: &mut TcpStream| {
            stream.set_read_timeout(Some(time))?;
            Ok(answer(stream, &mut Vec::new()).context("a caller's answer does not come")?.0)
        };
        self.0.iter_mut().map(one).collect()
    }
}

/// A call that may be repeated.
fn request(name: &str, number: u64) -> String {
    format!(
        "GET /api?key=k HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {name}-{number}\r\nReq-Kind: look\r\n\r\n"
    )
}
