//! The list of upstreams: discovery's form, the watch and the whole list.

pub mod endpoint;
pub mod registry;

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode, body::Incoming, header::HOST};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};
use zincstand_policy::{ListKind, ServerState};
use zincstand_settings::{micros_from_millis, unit_weight};

use crate::discovery::endpoint::Endpoint;

/// What the agent on the same machine has counts as told, whether it is asked or not: all spans between two looks
/// are parts of the one within which the news of a drain must be heeded. How long a watch waits for news: one that
/// has fallen silent looks like one without news until then.
const WAIT: f64 = 0.4;
/// How much longer, or else how long a call may stay silent: an agent on the same machine has answered by then.
const PATIENCE: f64 = 0.2;
/// Pause after the first failed call, and the longest: it doubles each time.
const AGAIN: f64 = 0.04;
const MOST_PAUSE: f64 = 0.3;
/// Bounds on each. A round costs a call; whatever fails, a change counts as told 6 s after discovery had it and
/// could be reached, so that a call, a pause and the next call together stay under that.
const WAITS: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(1200));
const PATIENCES: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(800));
const AGAINS: (Duration, Duration) = (Duration::from_millis(4), Duration::from_millis(100));
const MOST_PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// All of a call, its wait and its list included, takes no longer: a call that came late is held so long beside
/// the next ones.
const CALL_TIME: Duration = Duration::from_millis(2200);
/// How often the first call at a new address is made again before the module is told.
const TIMES_AGAIN: u32 = 4;
/// Most of a list's text.
const MOST_LIST: usize = 8 << 20;

/// A list as discovery sends it.
#[derive(Deserialize)]
pub struct EndpointList {
    /// Its version.
    pub generation: u64,
    /// It is the whole list, not only what changed.
    #[serde(default)]
    pub reset: bool,
    /// Its entries.
    instances: Vec<Entry>,
}

/// An entry, as far as it can be read: one that cannot takes no others with it.
#[derive(Deserialize)]
#[serde(untagged)]
enum Entry {
    Read(Instance),
    Unread(serde_json::Value),
}

/// An entry as discovery sends it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: String,
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u32,
    lifecycle: Lifecycle,
    #[serde(default = "unit_weight")]
    weight: f64,
    #[serde(default)]
    started_at_ms: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Lifecycle {
    Serving,
    Draining,
    Deleted,
}

impl EndpointList {
    /// The entries for the engine. One that cannot be read is logged; where it names an upstream, nothing new is
    /// to go there: that is all which is safe to make of it.
    pub fn entries(self) -> Vec<Endpoint> {
        let unread = |name: &str, what: &dyn std::fmt::Display| {
            eprintln!("discovery: the entry of {name:?} cannot be read and takes nothing new: {what}");
            Endpoint {
                instance: name.to_owned(),
                address: SocketAddr::from(([0, 0, 0, 0], 0)),
                zone: String::new(),
                kind: String::new(),
                cell: 0,
                state: ServerState::Draining,
                weight: 1.0,
                started: None,
            }
        };
        let entry = |entry: Entry| {
            let i = match entry {
                Entry::Read(i) => i,
                Entry::Unread(value) => {
                    let Some(name) = value.get("instanceId").and_then(|name| name.as_str()) else {
                        eprintln!("discovery: an entry that names no upstream is passed over: {value}");
                        return None;
                    };
                    return Some(unread(name, &value));
                }
            };
            let Ok(address) = i.host_port.parse() else {
                return Some(unread(&i.instance_id, &i.host_port));
            };
            Some(Endpoint {
                address,
                instance: i.instance_id,
                zone: i.zone,
                kind: i.machine_type,
                cell: i.cell,
                state: match i.lifecycle {
                    Lifecycle::Serving => ServerState::Ready,
                    Lifecycle::Draining => ServerState::Draining,
                    Lifecycle::Deleted => ServerState::Removed,
                },
                weight: i.weight,
                started: (i.started_at_ms > 0.0 && i.started_at_ms.is_finite())
                    .then(|| micros_from_millis(i.started_at_ms)),
            })
        };
        self.instances.into_iter().filter_map(entry).collect()
    }
}

/// The spans between two looks at what discovery has to tell.
#[derive(Clone, Copy, Debug)]
struct PollTiming {
    wait: Duration,
    patience: Duration,
    again: Duration,
    most_pause: Duration,
}

impl PollTiming {
    /// Such that the news of a drain is heeded within its grace; under a tenth of a second the bounds hold, which
    /// together are 84 ms: looks that follow each other faster cost more than they tell.
    fn within(drain_grace: Duration) -> PollTiming {
        let part = |part, (least, most)| drain_grace.mul_f64(part).clamp(least, most);
        PollTiming {
            wait: part(WAIT, WAITS),
            patience: part(PATIENCE, PATIENCES),
            again: part(AGAIN, AGAINS),
            most_pause: part(MOST_PAUSE, MOST_PAUSES),
        }
    }
}

/// A call under way: its list, and the connection for the next.
type ListCall = Pin<Box<dyn Future<Output = Result<(EndpointList, DiscoveryConnection), String>>>>;

/// The list of a call that is late. One that fails is dropped, and nothing is heard.
async fn heard_late(late: &mut Option<ListCall>) -> (EndpointList, DiscoveryConnection) {
    if let Some(call) = late {
        if let Ok(heard) = call.await {
            return heard;
        }
        *late = None;
    }
    pending().await
}

/// When the next call begins.
#[derive(Clone, Copy)]
enum Next {
    Now,
    After(Duration),
    /// Once the module watches again.
    IncomingRequest,
}

/// A connection to discovery, kept between calls.
struct DiscoveryConnection {
    sender: SendRequest<Empty<Bytes>>,
    driver: AbortHandle,
}

impl Drop for DiscoveryConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Discovery, as far as this balancer has asked it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// How often it has moved: what an earlier address still answers is no news.
    moves: Cell<u64>,
    /// The version of the list held; none where the whole list is to be asked for first.
    generation: Cell<Option<u64>>,
    /// Changes are to arrive unasked: a watch that failed is begun anew here and not left to the module.
    unasked: bool,
    clocks: PollTiming,
    watch: RefCell<Option<AbortHandle>>,
    /// The watch has failed, and the next call is the module's to choose.
    waits: Cell<bool>,
    asked: Notify,
}

impl Discovery {
    /// Nothing asked yet; `generation` is that of the known list. `unasked` where the module counts on news
    /// without asking for it. Drains must be heeded within `drain_grace` of their news.
    pub fn new(
        address: SocketAddr,
        generation: Option<u64>,
        unasked: bool,
        drain_grace: Duration,
    ) -> Rc<Discovery> {
        let (address, generation) = (Cell::new(address), Cell::new(generation));
        let clocks = PollTiming::within(drain_grace);
        let (moves, watch) = (Cell::new(0), RefCell::default());
        let (waits, asked) = (Cell::new(false), Notify::new());
        Rc::new(Discovery { address, moves, generation, unasked, clocks, watch, waits, asked })
    }

    /// Leaves the present address, its watch and its line: the new one is asked for the whole list at once and
    /// then watched. Guards against versions of another discovery, which say nothing there.
    pub fn change_address(
        self: &Rc<Self>,
        address: SocketAddr,
        tell: impl Fn(ListKind, Vec<Endpoint>) + 'static,
    ) {
        if self.address.replace(address) == address {
            return;
        }
        self.moves.set(self.moves.get() + 1);
        self.generation.set(None);
        self.start(TIMES_AGAIN, tell);
    }

    /// Watches from now on and tells each list. After a failure that is told the next call waits for this, unless
    /// news is to come unasked. A watch under way goes on: whatever it comes to is told.
    pub fn watch(self: &Rc<Self>, tell: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        if self.waits.replace(false) {
            self.asked.notify_one();
        } else if self.watch.borrow().is_none() {
            self.start(0, tell);
        }
    }

    /// A watch whose first call is made again up to `again` times before the module is told.
    fn start(self: &Rc<Self>, again: u32, tell: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        self.waits.set(false);
        let task = spawn_local(self.clone().keep_watch(again, tell));
        if let Some(before) = self.watch.replace(Some(task.abort_handle())) {
            before.abort();
        }
    }

    /// Calls one after the other. Guards against one that is silent, or whose list never ends, without giving up
    /// one that is only slow: the next call begins beside it, and the list that is whole first counts.
    async fn keep_watch(self: Rc<Self>, mut again: u32, tell: impl Fn(ListKind, Vec<Endpoint>)) {
        let PollTiming { wait, patience, again: first_pause, most_pause } = self.clocks;
        let (mut line, mut late, mut next, mut pause) = (None, None, Next::Now, first_pause);
        loop {
            let call = async {
                match next {
                    Next::Now => {}
                    Next::After(pause) => sleep(pause).await,
                    Next::IncomingRequest => self.asked.notified().await,
                }
                let (path, patience) = match self.generation.get() {
                    None => ("/registry/instances".to_owned(), patience),
                    Some(g) => {
                        (format!("/registry/instances?index={g}&wait={}", wait.as_millis()), wait + patience)
                    }
                };
                let mut call: ListCall = Box::pin(self.clone().call(line.take(), path));
                match timeout(patience, &mut call).await {
                    Ok(heard) => heard.map_err(|why| (why, None)),
                    Err(_) => Err(("silence".to_owned(), Some(call))),
                }
            };
            let heard = select! {
                heard = heard_late(&mut late) => Ok(heard),
                heard = call => heard,
            };
            match heard {
                Ok((list, kept)) => {
                    (line, late, next) = (Some(kept), None, Next::Now);
                    self.waits.set(false);
                    // Changes on the way to a list that is older than the one held: which they lead to nobody knows.
                    if !list.reset && self.generation.get().is_some_and(|g| list.generation < g) {
                        eprintln!(
                            "discovery: version {} after a newer one; the whole list is asked for",
                            list.generation
                        );
                        self.generation.set(None);
                        continue;
                    }
                    let whole = list.reset || self.generation.get().is_none();
                    self.generation.set(Some(list.generation));
                    (again, pause) = (0, first_pause);
                    tell(if whole { ListKind::Snapshot } else { ListKind::Delta }, list.entries());
                }
                Err((why, call)) => {
                    eprintln!("discovery: {} does not answer: {why}", self.address.get());
                    // The oldest is kept: it is the nearest to its end.
                    late = late.or(call);
                    if again > 0 || self.unasked {
                        again = again.saturating_sub(1);
                        next = Next::After(pause);
                        pause = (2 * pause).min(most_pause);
                    } else {
                        next = Next::IncomingRequest;
                        self.waits.set(true);
                        tell(ListKind::Failed, Vec::new());
                    }
                }
            }
        }
    }

    /// Asks once for the whole list and tells it.
    pub fn fetch(self: &Rc<Self>, tell: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        let this = self.clone();
        spawn_local(async move {
            let (before, moves) = (this.generation.get(), this.moves.get());
            let called = this.clone().call(None, "/registry/instances".to_owned()).await;
            // Guards against the list of an address that was left in the meantime.
            if this.moves.get() != moves {
                return;
            }
            match called {
                // A watch told something newer in the meantime.
                Ok((list, _))
                    if before != this.generation.get()
                        && this.generation.get().is_some_and(|g| list.generation < g) => {}
                Ok((list, _)) => {
                    this.generation.set(Some(list.generation));
                    tell(ListKind::Snapshot, list.entries());
                }
                Err(why) => {
                    eprintln!("discovery: the list did not come: {why}");
                    tell(ListKind::Failed, Vec::new());
                }
            }
        });
    }

    /// One call, on the connection kept from the last if there is one.
    async fn call(
        self: Rc<Self>,
        line: Option<DiscoveryConnection>,
        path: String,
    ) -> Result<(EndpointList, DiscoveryConnection), String> {
        timeout(CALL_TIME, self.ask(line, &path))
            .await
            .unwrap_or_else(|_| Err("its list does not end".into()))
    }

    async fn ask(
        &self,
        line: Option<DiscoveryConnection>,
        path: &str,
    ) -> Result<(EndpointList, DiscoveryConnection), String> {
        let (response, line) = self.begin(line, path).await?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        let (mut body, mut text) = (Limited::new(response.into_body(), MOST_LIST), BytesMut::new());
        while let Some(frame) = body.frame().await {
            text.extend_from_slice(frame.map_err(|e| e.to_string())?.data_ref().unwrap_or(&Bytes::new()));
        }
        Ok((serde_json::from_slice(&text).map_err(|e| e.to_string())?, line))
    }

    /// Sends a call and waits for the head of its answer.
    async fn begin(
        &self,
        line: Option<DiscoveryConnection>,
        path: &str,
    ) -> Result<(Response<Incoming>, DiscoveryConnection), String> {
        let mut line = match line {
            Some(line) if !line.sender.is_closed() => line,
            _ => self.connect().await?,
        };
        if line.sender.ready().await.is_err() {
            line = self.connect().await?;
        }
        let request = Request::get(path).header(HOST, self.address.get().to_string()).body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        Ok((line.sender.send_request(request).await.map_err(|e| e.to_string())?, line))
    }

    async fn connect(&self) -> Result<DiscoveryConnection, String> {
        let stream = TcpStream::connect(self.address.get()).await.map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|e| e.to_string())?;
        let driver = spawn_local(async move {
            let _ = connection.await;
        });
        Ok(DiscoveryConnection { sender, driver: driver.abort_handle() })
    }
}

#[cfg(test)]
mod tests;
