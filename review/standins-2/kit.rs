//! Stand-ins that the cases of this review share: platform, discovery, upstreams and clients, on loopback sockets.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}

/// A small generator of numbers; each case gives it a fixed seed.
pub struct Numbers(u64);

impl Numbers {
    pub fn new(seed: u64) -> Numbers {
        Numbers(seed.wrapping_mul(2) + 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// From 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Writes `record.txt`: one line for each thing that was sent, answered or run, with the time in milliseconds.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64() * 1000.0;
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:10.1} {text}");
        }
    }

    pub fn elapsed_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }
}

/// What a case is given: its folder, the root of the repository and whether the disruption happens.
pub struct Case {
    pub root: PathBuf,
    pub trouble: bool,
    pub temp: PathBuf,
    pub record: Arc<Record>,
    balancers: Mutex<Vec<Child>>,
    helpers: Mutex<Vec<Child>>,
}

impl Case {
    pub fn open(number: u32) -> Arc<Case> {
        let root = PathBuf::from(std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".into()));
        let folder = root.join("review").join(number.to_string());
        let temp = std::env::temp_dir().join(format!("review-{number}-{}", std::process::id()));
        std::fs::create_dir_all(&temp).expect("the temporary folder is created");
        let file = File::create(folder.join("record.txt")).expect("record.txt is created");
        let record = Arc::new(Record { started: Instant::now(), file: Mutex::new(file) });
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("case {number}, disruption {}", if trouble { "on" } else { "off" }));
        Arc::new(Case { root, trouble, temp, record, balancers: Mutex::default(), helpers: Mutex::default() })
    }

    /// Starts a balancer by the `run` of the deploy file, with the environment of the deployment page.
    pub fn start_balancer(&self, name: &str, config: &Config) -> SocketAddr {
        self.start_managed_balancer(name, config, None)
    }

    /// The same, with a second address for operators.
    pub fn start_managed_balancer(
        &self,
        name: &str,
        config: &Config,
        management: Option<SocketAddr>,
    ) -> SocketAddr {
        let listen = free_address();
        let folder = self.temp.join(name);
        std::fs::create_dir_all(folder.join("tmp")).expect("the folder is created");
        let file = folder.join("config.json");
        std::fs::write(&file, config.json(name, listen)).expect("the configuration is written");
        let log = File::create(folder.join("log.txt")).expect("the log is created");
        let mut command = Command::new("/bin/sh");
        // SAFETY: `prctl` may be called between fork and exec. It touches no memory.
        unsafe { command.pre_exec(end_with_parent) };
        if let Some(management) = management {
            command.env("EDGE_MANAGEMENT", management.to_string());
        }
        let child = command
            .args(["-c", &run_command(&self.root)])
            .current_dir(&self.root)
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", listen.to_string())
            .env("EDGE_DISCOVERY", config.discovery.to_string())
            .env("EDGE_CONFIG", &file)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.record
                    .line(&format!("platform: {name} started, process {}, clients at {listen}", child.id()));
                self.balancers.lock().unwrap().push(child);
            }
            Err(error) => self.end(COULD_NOT_RUN, &format!("the balancer does not start: {error}")),
        }
        listen
    }

    /// Waits for the balancer's 200 to `GET /health/ready`, at most 30 s.
    pub fn wait_ready(&self, address: SocketAddr) {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(30) {
            if let Ok(mut client) = Client::connect(address) {
                let head = "GET /health/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n";
                if let Answer::Whole { status: 200, .. } =
                    client.exchange(head.as_bytes(), Duration::from_secs(1))
                {
                    self.record.line(&format!("platform: {address} is ready"));
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.end(COULD_NOT_RUN, "a balancer was not ready within 30 s");
    }

    /// Starts this program once more, as a further stand-in that ends with the case.
    pub fn start_helper(&self, arguments: &[&str]) {
        let mut command = Command::new(std::env::current_exe().expect("the program is known"));
        // SAFETY: as in `start_managed_balancer`.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).spawn();
        self.helpers.lock().unwrap().push(child.expect("the helper starts"));
    }

    /// Whether all balancers still run.
    pub fn balancers_run(&self) -> bool {
        self.balancers.lock().unwrap().iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends all balancers, writes the verdict and exits.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        for child in self.helpers.lock().unwrap().iter_mut().chain(self.balancers.lock().unwrap().iter_mut())
        {
            let _ = child.kill();
            let _ = child.wait();
        }
        let word = match code {
            HELD => "HELD",
            BROKEN => "BROKEN",
            _ => "COULD NOT RUN",
        };
        self.record.line(&format!("verdict: {word}: {verdict}"));
        println!("{word}: {verdict}");
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.temp);
        }
        std::process::exit(code)
    }
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Lets the kernel kill the process that calls this when the thread that started it ends, so that a case which is killed
/// leaves no balancer behind.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the arguments have the types that this option takes.
    if unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// The value of `run` in the deploy file.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file is read");
    let line = text.lines().find(|line| line.starts_with("run")).expect("the deploy file has `run`");
    line.split('"').nth(1).expect("`run` is a text").to_owned()
}

/// An address with a free port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port is free")
}

/// The configuration of a balancer.
pub struct Config {
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
    pub seed: u64,
    /// How many descriptors the balancer may hold.
    pub sockets: usize,
}

impl Config {
    fn json(&self, name: &str, listen: SocketAddr) -> String {
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.discovery, self.seed, self.sockets, self.known, self.settings
        )
    }
}

/// The figures of the rule on cold upstreams.
#[derive(Clone, Copy)]
pub struct SlowStart {
    pub factor: f64,
    pub cold_from: f64,
    pub window_ms: f64,
    pub warm_ms: f64,
}

/// The figures that the wire page shows.
pub const SLOW_START: SlowStart =
    SlowStart { factor: 4.0, cold_from: 0.3, window_ms: 1500.0, warm_ms: 8800.0 };

/// Settings like those of the wire page, for one tier, two zones and three classes: `view` may be repeated, `post` carries a
/// key, `pay` must not be repeated.
pub struct Settings {
    pub balancers: usize,
    pub me: usize,
    pub mode: &'static str,
    pub deadline_ms: u32,
    pub rules: SlowStart,
}

impl Settings {
    pub fn json(&self) -> String {
        let Settings { balancers, me, mode, deadline_ms, rules } = self;
        let SlowStart { factor, cold_from, window_ms, warm_ms } = rules;
        let class = |name: &str, effect: &str, group: &str| {
            format!(
                "{{\"DeadlineMs\":{deadline_ms}.0,\"DedupWindowMs\":10000.0,\"Effect\":\"{effect}\",\"Group\":\"{group}\",\
                 \"LateWorth\":0.3,\"Name\":\"{name}\",\"Streaming\":false,\"TargetMs\":750.0,\"Value\":2.0}}"
            )
        };
        let classes = [
            class("view", "retryable", "all"),
            class("post", "dedup", "all"),
            class("pay", "fragile", "all"),
        ];
        format!(
            "{{\"Areas\":[\"a\"],\"Balancers\":{balancers},\"Categories\":[{}],\"ClientHabits\":{{\"MarksRetry\":true}},\
             \"Discovery\":\"{mode}\",\"Extra\":{{\"PassesDeadline\":true}},\"Family\":\"chain\",\
             \"Goal\":{{\"Whole\":0.45,\"WorstClass\":0.3,\"WorstTenant\":0.1,\"WorstWindow\":0.15}},\"GranularityMs\":5.0,\
             \"Kinds\":[\"std\"],\"Limits\":{{\"Cancel\":true,\"ConnectTimeoutMs\":100.0,\"CpuUsPerRequest\":0.0,\
             \"CpuUsPerS\":15000,\"IdleCloseMs\":30000.0,\"MaxOpen\":20000,\"MaxRetryAfterMs\":3000.0,\"MaxStreams\":1,\
             \"MostTries\":6,\"Peers\":false,\"Probing\":false,\"RetryAfter\":true,\"SecondCopies\":false}},\"Me\":{me},\
             \"OverShareWorth\":0.1,\"Realms\":[{{\"Name\":\"acme\",\"QuotaRps\":500.0,\"Share\":1.0}}],\
             \"Rules\":{{\"AskWithinMs\":10000.0,\"ColdFrom\":{cold_from:.2},\"DrainGraceMs\":2500.0,\"GraceToAnswerMs\":20.0,\
             \"OverloadFactor\":{factor:.1},\"TipAfterMs\":{window_ms:.1},\"WarmAfterMs\":{warm_ms:.1}}},\"Stage\":0,\
             \"Stats\":{{\"Fields\":[],\"How\":\"none\"}},\"Tariffs\":{{\"Connection\":0.0,\"CrossZone\":0.07,\"Discovery\":0.0,\
             \"Handshake\":0.0,\"LateFail\":0.036,\"Moves\":0.0,\"Origin\":0.0,\"Peer\":0.0,\"Probe\":0.01,\"Waste\":0.3}},\
             \"Tiers\":[\"front\"],\"Weights\":\"none\",\"WorthBy\":\"request\",\"Zone\":\"a\"}}",
            classes.join(",")
        )
    }
}

/// One upstream in the list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub lifecycle: &'static str,
    pub started_at_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"std\",\"cell\":1,\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            self.id, self.address, self.lifecycle, self.started_at_ms
        )
    }
}

pub fn list_json(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
}

struct DiscoveryState {
    generation: u64,
    entries: Vec<Entry>,
    /// The version with which each entry last changed.
    changed: Vec<u64>,
    /// How long each answer takes beyond the wait.
    delay: Duration,
}

/// Discovery. It answers the whole list, and watches with the entries that have changed.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<DiscoveryState>,
    changes: Condvar,
    record: Arc<Record>,
    /// When the list that was last written completely had which version.
    pub last_told: AtomicU64,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, entries: Vec<Entry>) -> Arc<Discovery> {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let changed = vec![1; entries.len()];
        let state = DiscoveryState { generation: 1, entries, changed, delay: Duration::ZERO };
        let discovery = Arc::new(Discovery {
            address: socket.local_addr().expect("the address is known"),
            state: Mutex::new(state),
            changes: Condvar::new(),
            record: record.clone(),
            last_told: AtomicU64::new(0),
        });
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        discovery
    }

    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.generation, true, &state.entries)
    }

    pub fn set_delay(&self, delay: Duration) {
        self.record.line(&format!("discovery: each answer takes {delay:?} from now on"));
        self.state.lock().unwrap().delay = delay;
    }

    /// Changes one entry, which makes a new version.
    pub fn change(&self, index: usize, change: impl FnOnce(&mut Entry)) {
        let mut state = self.state.lock().unwrap();
        state.generation += 1;
        change(&mut state.entries[index]);
        state.changed[index] = state.generation;
        let (generation, entry) = (state.generation, &state.entries[index]);
        self.record.line(&format!(
            "discovery: version {generation}: {} is {}, started at {}",
            entry.id, entry.lifecycle, entry.started_at_ms
        ));
        self.changes.notify_all();
    }

    /// Adds an entry, which makes a new version.
    pub fn add(&self, entry: Entry) {
        let mut state = self.state.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        self.record.line(&format!("discovery: version {generation}: {} is added", entry.id));
        state.entries.push(entry);
        state.changed.push(generation);
        self.changes.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(request) = reader.message(true)? {
            let target = request.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let parameter = |name: &str| {
                let (_, query) = target.split_once('?')?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let asked = Instant::now();
            let text = match parameter("index") {
                None => self.list(),
                Some(index) => {
                    self.watch(index, Duration::from_millis(parameter("wait").unwrap_or(0).min(60_000)))
                }
            };
            let delay = self.state.lock().unwrap().delay;
            thread::sleep(delay.saturating_sub(asked.elapsed()));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if let Err(error) = stream.write_all((head + &text).as_bytes()) {
                self.record.line(&format!("discovery: answer to {target} not written: {error}"));
                return Err(error);
            }
            let generation = text[14..].split(',').next().unwrap_or("?").to_owned();
            self.last_told.store(generation.parse().unwrap_or(0), Ordering::Relaxed);
            self.record.line(&format!(
                "discovery: {target} answered with version {generation} after {} ms",
                asked.elapsed().as_millis()
            ));
        }
        Ok(())
    }

    fn watch(&self, index: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        while state.generation <= index && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changes.wait_timeout(state, left).unwrap().0;
        }
        let changed: Vec<Entry> = state
            .entries
            .iter()
            .zip(&state.changed)
            .filter(|(_, changed)| **changed > index)
            .map(|(entry, _)| entry.clone())
            .collect();
        list_json(state.generation, false, &changed)
    }
}

/// One message: its first line, its header lines and its body.
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads messages from a socket.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads one message, `None` at the end of input before its first byte or within it. `is_request` is whether a message
    /// without framing has no body.
    pub fn message(&mut self, is_request: bool) -> io::Result<Option<Message>> {
        let Some(first_line) = self.line()? else { return Ok(None) };
        let mut headers = HashMap::new();
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let chunked =
            headers.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        let length = headers.get("content-length").and_then(|length| length.parse::<usize>().ok());
        let mut body = Vec::new();
        if chunked {
            loop {
                let Some(size) = self.line()? else { return Ok(None) };
                let size =
                    usize::from_str_radix(size.split(';').next().unwrap_or("0").trim(), 16).unwrap_or(0);
                if !self.take(size + 2, &mut body)? {
                    return Ok(None);
                }
                body.truncate(body.len() - 2);
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = length {
            if !self.take(length, &mut body)? {
                return Ok(None);
            }
        } else if !is_request {
            while self.fill()? > 0 {}
            body.append(&mut self.buffer);
        }
        Ok(Some(Message { first_line, headers, body }))
    }

    fn take(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Ok(false);
            }
        }
        body.extend(self.buffer.drain(..count));
        Ok(true)
    }
}

/// The list of upstreams that all serve and started long ago.
pub fn serving(upstreams: &[Upstream]) -> Vec<Entry> {
    let entry = |(index, upstream): (usize, &Upstream)| Entry {
        id: format!("s-{index}"),
        address: upstream.address,
        lifecycle: "SERVING",
        started_at_ms: 0,
    };
    upstreams.iter().enumerate().map(entry).collect()
}

/// What an upstream does with a request. It gets the connection to write to; `false` closes the connection.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// An upstream.
pub struct Upstream {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Upstream {
    pub fn start(handler: Handler) -> Upstream {
        Upstream::start_at("127.0.0.1:0".parse().unwrap(), handler).expect("a port is free")
    }

    pub fn start_at(address: SocketAddr, handler: Handler) -> io::Result<Upstream> {
        let socket = TcpListener::bind(address)?;
        let address = socket.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_stopped, open) = (stopped.clone(), streams.clone());
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || drop(serve_upstream(stream, &handler)));
            }
        });
        Ok(Upstream { address, stopped, streams })
    }

    /// Ends the process that this upstream stands for: its connections end and new ones are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_upstream(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.message(true)? {
        if !handler(&request, &mut writer)? {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
    Ok(())
}

pub fn answer_200(writer: &mut TcpStream, body: &str) -> io::Result<()> {
    writer.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

pub fn answer_declined(writer: &mut TcpStream) -> io::Result<()> {
    writer.write_all(b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
}

/// What a client gets.
#[derive(Debug)]
pub enum Answer {
    Whole {
        status: u16,
        body: Vec<u8>,
        close: bool,
    },
    /// The connection ended or broke before a whole answer.
    Broken,
    /// Nothing whole within the time.
    Late,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: Reader,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Client { reader: Reader::new(stream.try_clone()?), stream })
    }

    /// Waits until the balancer ends this connection.
    pub fn wait_for_end(&mut self, time: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(time.max(Duration::from_millis(1))))?;
        match self.stream.read(&mut [0; 64]) {
            Ok(0) => Ok(()),
            Ok(_) => Err(io::ErrorKind::InvalidData.into()),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(error)
            }
            Err(_) => Ok(()),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request and waits for its whole answer until `end`, however its bytes are spread.
    pub fn exchange_until(&mut self, request: &[u8], end: Instant) -> Answer {
        let Ok(stream) = self.stream.try_clone() else { return Answer::Broken };
        let (done, is_done) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (finished, timed_out) = (done.clone(), is_done.clone());
        let timer = thread::spawn(move || {
            while !finished.load(Ordering::Relaxed) && Instant::now() < end {
                thread::park_timeout(end.saturating_duration_since(Instant::now()));
            }
            if !finished.load(Ordering::Relaxed) {
                timed_out.store(true, Ordering::Relaxed);
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        let answer = self.exchange(request, Duration::from_secs(60));
        done.store(true, Ordering::Relaxed);
        timer.thread().unpark();
        let _ = timer.join();
        if is_done.load(Ordering::Relaxed) {
            Answer::Late
        } else {
            answer
        }
    }

    pub fn exchange(&mut self, request: &[u8], time: Duration) -> Answer {
        if self.stream.write_all(request).is_err() {
            return Answer::Broken;
        }
        self.answer(time)
    }

    pub fn answer(&mut self, time: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(time));
        match self.reader.message(false) {
            Ok(Some(message)) => Answer::Whole {
                status: message
                    .first_line
                    .split(' ')
                    .nth(1)
                    .and_then(|status| status.parse().ok())
                    .unwrap_or(0),
                close: message.header("connection").eq_ignore_ascii_case("close"),
                body: message.body,
            },
            Ok(None) => Answer::Broken,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Answer::Late
            }
            Err(_) => Answer::Broken,
        }
    }
}

/// A request of a class that may be repeated.
pub fn view(id: &str, deadline_ms: u32) -> Vec<u8> {
    format!(
        "GET /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: view\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
    .into_bytes()
}
