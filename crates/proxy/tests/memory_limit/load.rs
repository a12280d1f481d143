//! The loads of crowds, and the measurement of a process under them.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::common::*;

/// The smallest memory limit of the platform, in MB.
pub const MEMORY_MB: usize = 32;
/// The largest limit on descriptors of the platform.
pub const DESCRIPTORS: usize = 1024;
/// Number of clients of a crowd, a little fewer than the balancer has permits for, so that no idle one is evicted.
pub const CROWD_SIZE: usize = 520;
/// How long a crowd stays.
const STAY: Duration = Duration::from_secs(3);
/// Pause between two rounds of writes.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Time after which the memory of a crowd that has left must be free again.
const RELEASE_TIME: Duration = Duration::from_secs(3);
/// How much more than before the crowd may be resident after [`RELEASE_TIME`], and how much may be allocated then, as a share of
/// the memory limit.
const MAX_RETAINED_SHARE: usize = 8;
/// Number of upstreams.
const UPSTREAM_COUNT: usize = 40;
/// How long an upstream works on a request of the crowd.
const CROWD_WORK: Duration = Duration::from_millis(1500);
/// Minimum share of the short requests that must be served during the load of a crowd, in percent.
const MIN_SERVED_PERCENT: usize = 90;
/// Number of header fields of a head with many of them, a little fewer than a head may have.
const FIELD_COUNT: usize = 90;

/// Locked during a test: each takes several cores and over a thousand descriptors, so they run one after the other.
static ONE_CROWD: Mutex<()> = Mutex::new(());

/// Waits until no other test of this program runs a crowd.
pub fn lock_crowd() -> MutexGuard<'static, ()> {
    ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A load by a crowd.
pub struct Load {
    /// The response of the upstreams to a request of the crowd, written after [`CROWD_WORK`] if `works` is set.
    pub respond: fn(&mut TcpStream),
    /// Whether the upstreams take [`CROWD_WORK`] for a request of the crowd.
    pub works: bool,
    /// The parts that each client writes.
    pub parts_of: fn(usize) -> Vec<Vec<u8>>,
}

/// The measurements during the load of a crowd and after its end.
#[derive(Debug)]
struct Measured {
    at_rest_kb: usize,
    peak_kb: usize,
    released_kb: usize,
    others: ShortRequests,
    ends: CrowdEnds,
    /// The balancer's log lines on its memory.
    log: MemoryLog,
}

/// The lines in which a balancer reports its memory.
#[derive(Debug, Default)]
struct MemoryLog {
    /// The report with the most bytes allocated; `None` if memory was never short.
    peak: Option<HeapReport>,
    /// The report after the last shortage.
    recovered: Option<HeapReport>,
}

/// The heap's allocated bytes and the process's resident bytes, as the balancer logged them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeapReport {
    allocated_bytes: usize,
    resident_bytes: usize,
}

impl HeapReport {
    /// Reads the numbers before `bytes allocated` and before `resident`.
    ///
    /// # Panics
    /// The line does not have them.
    fn from_line(line: &str) -> HeapReport {
        let number_before = |text: &str| {
            let (before, _) = line.split_once(text).unwrap_or_else(|| panic!("no{text} in {line}"));
            let word = before.rsplit(' ').next().unwrap_or_default().trim_start_matches('(');
            word.parse().unwrap_or_else(|_| panic!("no number before{text} in {line}"))
        };
        HeapReport {
            allocated_bytes: number_before(" bytes allocated"),
            resident_bytes: number_before(" resident"),
        }
    }
}

impl MemoryLog {
    /// Reads the log. If memory was short, waits until the balancer reports that it is no longer.
    fn read(balancer: &Balancer) -> MemoryLog {
        let mut memory_log = MemoryLog::default();
        loop {
            let line = match balancer.log.try_recv() {
                Ok(line) => line,
                Err(_) if memory_log.is_short() => {
                    balancer.log.recv_timeout(EVENT_TIMEOUT).expect("memory is free again")
                }
                Err(_) => return memory_log,
            };
            memory_log.read_line(&line);
        }
    }

    fn is_short(&self) -> bool {
        self.peak.is_some() && self.recovered.is_none()
    }

    fn read_line(&mut self, line: &str) {
        if line.starts_with("memory: short") {
            self.peak = self.peak.max(Some(HeapReport::from_line(line)));
            self.recovered = None;
        } else if line.starts_with("memory: no longer short") {
            self.recovered = Some(HeapReport::from_line(line));
        }
    }
}

/// Starts upstreams that answer other clients at once and the crowd as the load says.
pub fn start_upstreams(load: &Load) -> Vec<std::net::SocketAddr> {
    let (answer, works) = (load.respond, load.works);
    let start = |_| {
        let upstream = Peer::new();
        let address = upstream.address;
        let requests = upstream.serve(move |message, stream| {
            if message.header("req-id").is_some_and(|id| id.starts_with("other-")) {
                return respond_ok(stream);
            }
            if works {
                std::thread::sleep(CROWD_WORK);
            }
            answer(stream);
        });
        std::thread::spawn(move || for _ in requests {});
        address
    };
    (0..UPSTREAM_COUNT).map(start).collect()
}

/// The short requests of clients outside the crowd.
#[derive(Debug, Default)]
struct ShortRequests {
    sent: usize,
    served: usize,
}

impl ShortRequests {
    /// Sends requests, each on a new connection, until `is_over`.
    fn send_until(is_over: &AtomicBool, address: std::net::SocketAddr) -> ShortRequests {
        let mut requests = ShortRequests::default();
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("other-{}", requests.sent);
            let text = request("look", &id, "Req-Deadline-Ms: 1000\r\n");
            requests.sent += 1;
            requests.served += usize::from(status_of_exchange(address, &text) == Some(200));
            std::thread::sleep(Duration::from_millis(10));
        }
        requests
    }
}

/// Sends a request on a new connection, and returns the status of the response; `None` if none arrives within 2 s.
pub fn status_of_exchange(address: std::net::SocketAddr, text: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut stream).map(|message| message.status())
}

/// Runs a load against a balancer with these limits.
fn measure(load: &Load, memory_mb: usize, descriptors: usize) -> Measured {
    let upstreams = start_upstreams(load);
    let balancer = Setup::with_upstreams(&upstreams).memory_mb(memory_mb).sockets(descriptors).start();
    assert_eq!(balancer.send(&request("look", "other-first", "")).status(), 200);
    let at_rest_kb = balancer.resident_memory_kb();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut crowd = Crowd::connect(&balancer, CROWD_SIZE * descriptors / DESCRIPTORS, load.parts_of);
    let others = {
        let (address, is_over) = (balancer.address, is_over.clone());
        std::thread::spawn(move || ShortRequests::send_until(&is_over, address))
    };
    let start = Instant::now();
    while start.elapsed() < STAY {
        crowd.write_round();
        std::thread::sleep(ROUND_PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    let others = others.join().expect("the other client does not panic");
    let ends = crowd.read_responses();
    drop(crowd);
    std::thread::sleep(RELEASE_TIME);
    Measured {
        at_rest_kb,
        peak_kb: balancer.peak_memory_kb(),
        released_kb: balancer.resident_memory_kb(),
        others,
        ends,
        log: MemoryLog::read(&balancer),
    }
}

/// Runs a load at the smallest memory limit and the largest limit on descriptors. Asserts that the process stays within its
/// limit, releases the memory afterwards and serves other clients.
#[track_caller]
pub fn assert_held_within_limit(load: &Load) {
    assert_held_within(load, MEMORY_MB, DESCRIPTORS);
}

/// Runs a load at these limits, with the same assertions.
#[track_caller]
pub fn assert_held_within(load: &Load, memory_mb: usize, descriptors: usize) {
    let _one_crowd = lock_crowd();
    let measured = measure(load, memory_mb, descriptors);
    println!("{memory_mb} MB, {descriptors} descriptors: {measured:?}");
    let Measured { at_rest_kb, peak_kb, released_kb, others, ends, log } = measured;
    assert!(peak_kb < memory_mb << 10, "the process used {peak_kb} kB, its limit is {memory_mb} MB");
    assert!(
        released_kb < at_rest_kb + (memory_mb << 10) / MAX_RETAINED_SHARE,
        "{released_kb} kB are still resident"
    );
    if let Some(HeapReport { allocated_bytes, .. }) = log.recovered {
        let max_bytes = (memory_mb << 20) / MAX_RETAINED_SHARE;
        assert!(allocated_bytes < max_bytes, "{allocated_bytes} bytes are still allocated");
    }
    assert!(
        others.served * 100 >= others.sent * MIN_SERVED_PERCENT,
        "{} of {} short requests were served",
        others.served,
        others.sent
    );
    assert_eq!(ends.without_answer, 0, "connections ended without an answer: {ends:?}");
}

/// Returns the head of a request of the class `pay` whose body has this length, or is chunked if there is none.
pub fn body_head(number: usize, length: Option<usize>) -> Vec<u8> {
    let framing =
        length.map_or("Transfer-Encoding: chunked".to_owned(), |length| format!("Content-Length: {length}"));
    let text = request("pay", &format!("r-{number}"), "");
    text.replace("Content-Length: 4\r\n\r\nbody", &format!("{framing}\r\n\r\n")).into_bytes()
}

/// Returns header fields that together have about this many bytes.
pub fn many_fields(total_bytes: usize) -> String {
    let value_bytes = (total_bytes / FIELD_COUNT).saturating_sub("x00: \r\n".len());
    let value = "v".repeat(value_bytes);
    let fields: Vec<_> = (0..FIELD_COUNT).map(|number| format!("x{number:02}: {value}\r\n")).collect();
    fields.concat()
}

/// Writes a response that the protocol allows, of 60 KB.
pub fn respond_60_kb(stream: &mut TcpStream) {
    respond(stream, "200 OK", "", &vec![b'x'; 60 << 10]);
}

/// Writes a response with a head of many fields and 60 KB.
pub fn respond_with_long_head(stream: &mut TcpStream) {
    respond(stream, "200 OK", &many_fields(15 << 10), &vec![b'x'; 60 << 10]);
}

/// Writes a response of 4 MB.
pub fn respond_endlessly(stream: &mut TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n");
    let _ = stream.write_all(&vec![b'x'; 4 << 20]);
}

/// Returns what a client of a mixed crowd writes: a slow head, a head of many fields, a body that stops, or input behind an
/// open request.
pub fn mixed_parts(number: usize) -> Vec<Vec<u8>> {
    match number % 4 {
        0 => {
            let head = format!("GET /api HTTP/1.1\r\nHost: b\r\nX-Long: {}", "x".repeat(16_000));
            head.as_bytes().chunks(2_000).map(<[u8]>::to_vec).collect()
        }
        1 => vec![request("pay", &format!("r-{number}"), &many_fields(15 << 10)).into_bytes()],
        2 => vec![[body_head(number, Some(64 << 10)), vec![b'x'; 63 << 10]].concat()],
        _ => vec![[request("pay", &format!("r-{number}"), "").into_bytes(), vec![b'x'; 64 << 10]].concat()],
    }
}

/// Lets a crowd write for this long.
pub fn write_for(crowd: &mut Crowd, time: Duration) {
    let start = Instant::now();
    while start.elapsed() < time {
        crowd.write_round();
        std::thread::sleep(ROUND_PAUSE);
    }
}

/// The load of a mixed crowd.
pub const MIXED_LOAD: Load = Load { respond: respond_60_kb, works: true, parts_of: mixed_parts };
