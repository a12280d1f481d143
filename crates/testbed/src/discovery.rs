//! A stand-in for discovery: the whole list and the watch of the protocol, for many watchers on one thread, with
//! a count of what it is asked and what it writes.
//!
//! Its processor time is its own: it tells what the protocol makes any discovery do, not what a product needs.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc as orders, watch};
use tokio::task::{AbortHandle, LocalSet, spawn_local};

/// Versions of which the changes are kept: a watch from an older one is answered with the whole list.
pub const KEPT: usize = 1024;
/// How finely traffic is counted over time.
pub const BUCKET: Duration = Duration::from_millis(100);
/// Buckets kept, an hour of them.
const MOST_BUCKETS: usize = 36_000;
/// Most acknowledgements kept until they are taken.
const MOST_SEEN: usize = 1 << 20;
/// The longest that a watch may wait.
const MOST_WAIT: Duration = Duration::from_secs(60);
/// Connections that wait to be accepted: all watchers may come at once.
const BACKLOG: u32 = 4096;
/// Most bytes of a request's head.
const MOST_HEAD: usize = 16 << 10;

/// What discovery says of an upstream's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// It takes calls.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It has left; among changes only.
    Deleted,
}

/// An entry of the list, as the protocol words it.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
    /// The same at every balancer.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub machine_type: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it serves.
    pub lifecycle: Lifecycle,
    /// Its size.
    pub weight: f64,
    /// Its last start in Unix time in milliseconds; 0 means long ago.
    pub started_at_ms: u64,
}

impl Entry {
    /// A serving upstream of the given number: its name, zone (of so many) and cell follow from the number.
    pub fn serving(number: usize, zones: usize, host_port: SocketAddr) -> Entry {
        Entry {
            instance_id: format!("s-{number:08x}"),
            host_port,
            zone: format!("zone-{:02}", number % zones.max(1)),
            machine_type: "m1".to_owned(),
            cell: (number / zones.max(1)) as u32 % 8,
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started_at_ms: 0,
        }
    }

    /// The same with another life.
    pub fn now(&self, lifecycle: Lifecycle) -> Entry {
        Entry { lifecycle, ..self.clone() }
    }
}

/// How discovery behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It answers.
    Up,
    /// Its process is gone: connections are closed and new ones refused.
    Down,
    /// It reads and answers nothing, until it is up again.
    Silent,
    /// Every `one_in`th connection's answers start after `delay`.
    Slow {
        /// 1 for every connection.
        one_in: u64,
        /// How much later.
        delay: Duration,
    },
}

/// A version of the list and when discovery had it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// The version.
    pub version: u64,
    /// When.
    pub at: Instant,
}

/// A watcher's call from a newer version than any before on its connection: it has taken that version over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// The connection's number, from 0 in the order of acceptance.
    pub connection: u64,
    /// The version that it holds.
    pub version: u64,
    /// When the call had come.
    pub at: Instant,
}

/// What passed in a span: the total, or one bucket of [`BUCKET`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Connections accepted.
    pub connections: u64,
    /// Requests read.
    pub calls: u64,
    /// Answers with the whole list.
    pub whole: u64,
    /// Answers with changed entries.
    pub changes: u64,
    /// Answers with none, the wait being over.
    pub empty: u64,
    /// Bytes of requests.
    pub bytes_in: u64,
    /// Bytes of answers, heads included.
    pub bytes_out: u64,
}

impl Traffic {
    /// What passed since an earlier total.
    pub fn since(&self, before: &Traffic) -> Traffic {
        Traffic {
            connections: self.connections - before.connections,
            calls: self.calls - before.calls,
            whole: self.whole - before.whole,
            changes: self.changes - before.changes,
            empty: self.empty - before.empty,
            bytes_in: self.bytes_in - before.bytes_in,
            bytes_out: self.bytes_out - before.bytes_out,
        }
    }
}

/// What has been counted.
#[derive(Clone, Debug)]
pub struct Counted {
    /// All of it.
    pub total: Traffic,
    /// Connections open now.
    pub open: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Processor time of the stand-in's thread.
    pub processor: Duration,
    /// When the first bucket began.
    pub began: Instant,
    /// By [`BUCKET`], from the start; an hour at most.
    pub buckets: Vec<Traffic>,
}

impl Counted {
    /// The buckets from the one in which `from` lies.
    pub fn buckets_from(&self, from: Instant) -> &[Traffic] {
        let first = from.saturating_duration_since(self.began).as_micros() / BUCKET.as_micros();
        self.buckets.get(first as usize..).unwrap_or_default()
    }
}

enum Order {
    Set(Vec<Entry>),
    Change(Vec<Entry>),
    Mode(Mode),
    Break,
    Count,
    Seen,
}

enum Done {
    Told(Told),
    Counted(Box<Counted>),
    Seen(Vec<Seen>),
    Failed(io::Error),
}

/// Discovery on a thread of its own. It ends when dropped.
pub struct Discovery {
    address: SocketAddr,
    orders: Option<orders::UnboundedSender<(Order, mpsc::Sender<Done>)>>,
    thread: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Listens on a free port of 127.0.0.1, with an empty list of version 1.
    pub fn start() -> io::Result<Discovery> {
        Discovery::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// The same at an address.
    pub fn start_at(address: SocketAddr) -> io::Result<Discovery> {
        let (sender, receiver) = orders::unbounded_channel();
        let (listens, listening) = mpsc::channel();
        // All of it on its own thread: its owner may be in a runtime already.
        let serve = move || {
            let begin = || -> io::Result<_> {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
                let listener = runtime.block_on(async { listen(address) })?;
                let address = listener.local_addr()?;
                Ok((runtime, listener, address))
            };
            match begin() {
                Ok((runtime, listener, address)) => {
                    let _ = listens.send(Ok(address));
                    LocalSet::new().block_on(&runtime, run(address, listener, receiver));
                }
                Err(e) => {
                    let _ = listens.send(Err(e));
                }
            }
        };
        let thread = std::thread::Builder::new().name("discovery".to_owned()).spawn(serve)?;
        let address = listening.recv().map_err(io::Error::other)??;
        Ok(Discovery { address, orders: Some(sender), thread: Some(thread) })
    }

    /// Where it listens, also while it is down.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn order(&self, order: Order) -> io::Result<Done> {
        let ended = || io::Error::other("the stand-in discovery has ended");
        let (sender, done) = mpsc::channel();
        let orders = self.orders.as_ref().ok_or_else(ended)?;
        orders.send((order, sender)).map_err(|_| ended())?;
        match done.recv().map_err(|_| ended())? {
            Done::Failed(e) => Err(e),
            done => Ok(done),
        }
    }

    fn told(&self, order: Order) -> io::Result<Told> {
        match self.order(order)? {
            Done::Told(told) => Ok(told),
            _ => Err(io::Error::other("the stand-in discovery answered another order")),
        }
    }

    /// A new list in place of the old one: a new version, told to all watchers as the whole list.
    pub fn set(&self, entries: Vec<Entry>) -> io::Result<Told> {
        self.told(Order::Set(entries))
    }

    /// Changed entries, one new version: told to watchers as changes. A deleted entry leaves the list.
    pub fn change(&self, entries: Vec<Entry>) -> io::Result<Told> {
        self.told(Order::Change(entries))
    }

    /// Behaves so from now on; the time is that of the change of behaviour.
    pub fn mode(&self, mode: Mode) -> io::Result<Told> {
        self.told(Order::Mode(mode))
    }

    /// Closes every connection at once and goes on listening.
    pub fn break_all(&self) -> io::Result<Told> {
        self.told(Order::Break)
    }

    /// What has been counted so far.
    pub fn counted(&self) -> io::Result<Counted> {
        match self.order(Order::Count)? {
            Done::Counted(counted) => Ok(*counted),
            _ => Err(io::Error::other("the stand-in discovery answered another order")),
        }
    }

    /// Who has taken which version over since this was last asked.
    pub fn seen(&self) -> io::Result<Vec<Seen>> {
        match self.order(Order::Seen)? {
            Done::Seen(seen) => Ok(seen),
            _ => Err(io::Error::other("the stand-in discovery answered another order")),
        }
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Where it was down, connections that were closed here still hold the port.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Processor time of the calling thread.
pub fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}

/// The list and its past.
struct Lists {
    version: u64,
    /// The newest entry of each instance, deleted ones as long as a watch may still have to be told of them.
    entries: BTreeMap<String, Entry>,
    /// The instances that each kept version changed, from the version `oldest + 1` on.
    past: VecDeque<Vec<String>>,
    oldest: u64,
    whole: Option<Bytes>,
    /// By the version that is asked from, for the present one. Serialised once, not once a watcher.
    since: HashMap<u64, Bytes>,
}

#[derive(Serialize)]
struct Body<'a> {
    generation: u64,
    reset: bool,
    instances: Vec<&'a Entry>,
}

/// An answer's kind, for the count.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Whole,
    Changes,
    Empty,
}

impl Lists {
    fn new() -> Lists {
        let (entries, past, since) = (BTreeMap::new(), VecDeque::new(), HashMap::new());
        Lists { version: 1, entries, past, oldest: 1, whole: None, since }
    }

    fn set(&mut self, entries: Vec<Entry>) {
        self.version += 1;
        self.entries = entries.into_iter().map(|e| (e.instance_id.clone(), e)).collect();
        (self.oldest, self.whole) = (self.version, None);
        self.past.clear();
        self.since.clear();
    }

    fn change(&mut self, entries: Vec<Entry>) {
        self.version += 1;
        self.whole = None;
        self.since.clear();
        self.past.push_back(entries.iter().map(|e| e.instance_id.clone()).collect());
        self.entries.extend(entries.into_iter().map(|e| (e.instance_id.clone(), e)));
        if self.past.len() > KEPT
            && let Some(forgotten) = self.past.pop_front()
        {
            self.oldest += 1;
            for id in forgotten {
                let deleted = self.entries.get(&id).is_some_and(|e| e.lifecycle == Lifecycle::Deleted);
                if deleted && !self.past.iter().any(|ids| ids.contains(&id)) {
                    self.entries.remove(&id);
                }
            }
        }
    }

    fn body(&self, reset: bool, instances: Vec<&Entry>) -> Bytes {
        let body = Body { generation: self.version, reset, instances };
        // Guards against nothing: strings, numbers and an address always have a form in JSON.
        serde_json::to_vec(&body).map(Bytes::from).unwrap_or_default()
    }

    fn whole(&mut self) -> (Kind, Bytes) {
        if self.whole.is_none() {
            let listed = self.entries.values().filter(|e| e.lifecycle != Lifecycle::Deleted).collect();
            self.whole = Some(self.body(true, listed));
        }
        (Kind::Whole, self.whole.clone().unwrap_or_default())
    }

    /// What a watcher that holds a version is to be told.
    fn since(&mut self, version: u64) -> (Kind, Bytes) {
        if version < self.oldest || version > self.version {
            return self.whole();
        }
        let kind = if version == self.version { Kind::Empty } else { Kind::Changes };
        if !self.since.contains_key(&version) {
            let mut ids: Vec<_> = self.past.iter().skip((version - self.oldest) as usize).flatten().collect();
            ids.sort_unstable();
            ids.dedup();
            let changed = ids.into_iter().filter_map(|id| self.entries.get(id)).collect();
            let body = self.body(false, changed);
            self.since.insert(version, body);
        }
        (kind, self.since.get(&version).cloned().unwrap_or_default())
    }
}

struct Tally {
    total: Traffic,
    open: u64,
    waiting: u64,
    began: Instant,
    buckets: Vec<Traffic>,
    seen: Vec<Seen>,
}

impl Tally {
    fn count(&mut self, add: impl Fn(&mut Traffic)) {
        add(&mut self.total);
        let at = (self.began.elapsed().as_micros() / BUCKET.as_micros()) as usize;
        if at < MOST_BUCKETS {
            if at >= self.buckets.len() {
                self.buckets.resize(at + 1, Traffic::default());
            }
            add(&mut self.buckets[at]);
        }
    }
}

/// What every connection sees.
struct Hub {
    lists: RefCell<Lists>,
    tally: RefCell<Tally>,
    version: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    /// Another number each time that all connections are to end.
    broken: watch::Sender<u64>,
}

impl Hub {
    fn told(&self) -> Done {
        Done::Told(Told { version: self.lists.borrow().version, at: Instant::now() })
    }
}

async fn run(
    address: SocketAddr,
    listener: TcpListener,
    mut orders: orders::UnboundedReceiver<(Order, mpsc::Sender<Done>)>,
) {
    let hub = Rc::new(Hub {
        lists: RefCell::new(Lists::new()),
        tally: RefCell::new(Tally {
            total: Traffic::default(),
            open: 0,
            waiting: 0,
            began: Instant::now(),
            buckets: Vec::new(),
            seen: Vec::new(),
        }),
        version: watch::Sender::new(1),
        mode: watch::Sender::new(Mode::Up),
        broken: watch::Sender::new(0),
    });
    let accept = |listener| spawn_local(accept(hub.clone(), listener)).abort_handle();
    let mut accepting: Option<AbortHandle> = Some(accept(listener));
    while let Some((order, reply)) = orders.recv().await {
        let done = match order {
            Order::Set(entries) => {
                hub.lists.borrow_mut().set(entries);
                let told = hub.told();
                hub.version.send_replace(hub.lists.borrow().version);
                told
            }
            Order::Change(entries) => {
                hub.lists.borrow_mut().change(entries);
                let told = hub.told();
                hub.version.send_replace(hub.lists.borrow().version);
                told
            }
            Order::Break => {
                let told = hub.told();
                hub.broken.send_modify(|n| *n += 1);
                told
            }
            Order::Mode(mode) => {
                let told = hub.told();
                hub.mode.send_replace(mode);
                match (mode, accepting.take()) {
                    (Mode::Down, before) => {
                        if let Some(before) = before {
                            before.abort();
                        }
                        hub.broken.send_modify(|n| *n += 1);
                        told
                    }
                    (_, Some(before)) => {
                        accepting = Some(before);
                        told
                    }
                    (_, None) => match listen(address) {
                        Ok(listener) => {
                            accepting = Some(accept(listener));
                            told
                        }
                        Err(e) => Done::Failed(e),
                    },
                }
            }
            Order::Count => {
                let tally = hub.tally.borrow();
                Done::Counted(Box::new(Counted {
                    total: tally.total,
                    open: tally.open,
                    waiting: tally.waiting,
                    processor: processor_time(),
                    began: tally.began,
                    buckets: tally.buckets.clone(),
                }))
            }
            Order::Seen => Done::Seen(std::mem::take(&mut hub.tally.borrow_mut().seen)),
        };
        let _ = reply.send(done);
    }
}

async fn accept(hub: Rc<Hub>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors: others may close meanwhile.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let hub = hub.clone();
        let number = {
            let mut tally = hub.tally.borrow_mut();
            tally.count(|t| t.connections += 1);
            tally.open += 1;
            tally.total.connections - 1
        };
        let mut broken = hub.broken.subscribe();
        spawn_local(async move {
            tokio::select! {
                // First: what has been broken is told nothing that came after the break.
                biased;
                _ = broken.changed() => {}
                _ = serve(&hub, stream, number) => {}
            }
            hub.tally.borrow_mut().open -= 1;
        });
    }
}

/// What a request asks for.
enum Asked {
    Whole,
    Since(u64, Duration),
    Other,
}

fn asked(target: &str) -> Asked {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path != "/registry/instances" {
        return Asked::Other;
    }
    let value = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(n, _)| *n == name).find_map(|(_, value)| value.parse::<u64>().ok())
    };
    match value("index") {
        None => Asked::Whole,
        Some(index) => {
            let wait = Duration::from_millis(value("wait").unwrap_or(0));
            Asked::Since(index, wait.min(MOST_WAIT))
        }
    }
}

/// The next request; nothing once the peer has closed or says what this can't read.
async fn request(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<(Asked, u64)> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Request::new(&mut headers);
        match head.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => {
                let asked = if head.method == Some("GET") {
                    asked(head.path.unwrap_or_default())
                } else {
                    Asked::Other
                };
                let _ = buffer.split_to(length);
                return Some((asked, length as u64));
            }
            Ok(httparse::Status::Partial) if buffer.len() < MOST_HEAD => {}
            _ => return None,
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Waits for something newer than a version, or until the wait is over; nothing once the peer has closed.
async fn wait(
    hub: &Hub,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    held: u64,
    most: Duration,
) -> Option<()> {
    let mut version = hub.version.subscribe();
    let over = tokio::time::sleep(most);
    tokio::pin!(over);
    loop {
        tokio::select! {
            _ = version.wait_for(|v| *v != held) => return Some(()),
            () = &mut over => return Some(()),
            read = stream.read_buf(buffer) => if read.ok()? == 0 || buffer.len() > MOST_HEAD {
                return None;
            },
        }
    }
}

async fn serve(hub: &Hub, mut stream: TcpStream, number: u64) -> Option<()> {
    let mut buffer = BytesMut::with_capacity(512);
    let mut held = 0;
    loop {
        let (asked, length) = request(&mut stream, &mut buffer).await?;
        hub.tally.borrow_mut().count(|t| {
            t.calls += 1;
            t.bytes_in += length;
        });
        if let Asked::Since(version, most) = asked {
            if version > held {
                held = version;
                let mut tally = hub.tally.borrow_mut();
                if tally.seen.len() < MOST_SEEN {
                    tally.seen.push(Seen { connection: number, version, at: Instant::now() });
                }
            }
            hub.tally.borrow_mut().waiting += 1;
            let waited = Waiting(hub);
            wait(hub, &mut stream, &mut buffer, version, most).await?;
            drop(waited);
        }
        let mut mode = hub.mode.subscribe();
        let mode = *mode.wait_for(|m| *m != Mode::Silent).await.ok()?;
        if let Mode::Slow { one_in, delay } = mode
            && number.is_multiple_of(one_in.max(1))
        {
            tokio::time::sleep(delay).await;
        }
        let (status, (kind, body)) = match asked {
            Asked::Whole => ("200 OK", hub.lists.borrow_mut().whole()),
            Asked::Since(version, _) => ("200 OK", hub.lists.borrow_mut().since(version)),
            Asked::Other => ("404 Not Found", (Kind::Empty, Bytes::new())),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        hub.tally.borrow_mut().count(|t| {
            t.bytes_out += (head.len() + body.len()) as u64;
            match kind {
                Kind::Whole => t.whole += 1,
                Kind::Changes => t.changes += 1,
                Kind::Empty => t.empty += 1,
            }
        });
        write(&mut stream, head.as_bytes(), &body).await.ok()?;
    }
}

struct Waiting<'a>(&'a Hub);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.tally.borrow_mut().waiting -= 1;
    }
}

/// Head and body, in one write where they fit.
async fn write(stream: &mut TcpStream, head: &[u8], body: &[u8]) -> io::Result<()> {
    let written = stream.write_vectored(&[IoSlice::new(head), IoSlice::new(body)]).await?;
    stream.write_all(head.get(written..).unwrap_or_default()).await?;
    stream.write_all(body.get(written.saturating_sub(head.len())..).unwrap_or_default()).await
}
