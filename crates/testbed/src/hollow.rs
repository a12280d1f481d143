//! Hollow balancers: the real discovery code and the real module in the real engine, many in one process, with no
//! calls to carry. What discovery tells them reaches the module as in a process of their own.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc;
use std::sync::{Arc, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::sync::mpsc as orders;
use tokio::task::{LocalSet, spawn_local};
use zincstand_policy::{ListKind, Micros, ServerId, ServerState, Settings};
use zincstand_proxy::discovery::Discovery;
use zincstand_proxy::discovery::endpoint::{Endpoint, Target};
use zincstand_proxy::dispatch::transport::Transport;
use zincstand_proxy::dispatch::{AttemptCompletion, Dispatcher};
use zincstand_settings::{Names, Setup};

use crate::discovery::thread_processor_time;

/// How one balancer in so many is slow: its thread stands still for a part of the time, as one whose core has other
/// work does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slow {
    /// One balancer in so many.
    pub one_in: u32,
    /// How long it stands still at a time.
    pub stall: Duration,
    /// How often.
    pub every: Duration,
}

/// How the balancers learn of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateMode {
    /// The module counts on being told; the watch is begun at the start and again after each failure.
    Push,
    /// The module asks for its watch, spread over a part of `AskWithinMs`.
    Poll,
}

/// How balancers are made.
#[derive(Clone, Debug)]
pub struct Options {
    /// How many.
    pub balancers: u32,
    /// On so many threads; slow ones have one of their own.
    pub threads: u32,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// How they learn of changes.
    pub learning: UpdateMode,
    /// `DrainGraceMs` of their settings, from which the discovery code derives its waits.
    pub drain_grace: Duration,
    /// `AskWithinMs` of their settings.
    pub ask_within: Duration,
    /// Zones that the settings name.
    pub zones: u32,
    /// Some of them are slow while [`Crowd::stall`] says so.
    pub slow: Option<Slow>,
    /// Decides all that is drawn.
    pub seed: u64,
}

/// The settings of one balancer among so many, as the object that a real one finds in its configuration.
pub fn setup(options: &Options) -> serde_json::Value {
    let zones: Vec<_> = (0..options.zones.max(1)).map(|zone| format!("zone-{zone:02}")).collect();
    let class = |name: &str, effect: &str, deadline: f64| {
        json!({"Name": name, "Effect": effect, "Group": "all", "DedupWindowMs": 10_000.0, "TargetMs": deadline / 3.0,
            "DeadlineMs": deadline, "LateWorth": 0.2, "Streaming": false, "Value": 1.0})
    };
    let discovery = match options.learning {
        UpdateMode::Push => "automatic",
        UpdateMode::Poll => "subscribe",
    };
    json!({
        "Areas": zones, "Zone": zones[0], "Balancers": options.balancers, "Me": 0, "Discovery": discovery,
        "Categories": [
            class("read", "retryable", 2_000.0), class("order", "dedup", 3_000.0), class("pay", "fragile", 3_000.0),
        ],
        "GranularityMs": 1.0,
        "Limits": {"Cancel": true, "ConnectTimeoutMs": 100.0, "IdleCloseMs": 30_000.0, "MaxOpen": 20_000,
            "MaxRetryAfterMs": 3_000.0, "MostTries": 4, "RetryAfter": true},
        "Rules": {"AskWithinMs": options.ask_within.as_secs_f64() * 1e3, "ColdFrom": 0.3,
            "DrainGraceMs": options.drain_grace.as_secs_f64() * 1e3, "OverloadFactor": 4.0, "TipAfterMs": 1_500.0,
            "WarmAfterMs": 8_800.0},
    })
}

/// A list has reached a balancer's module: from this moment it acts on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reached {
    /// The balancer's number, from 0.
    pub balancer: u32,
    /// What kind of list.
    pub kind: ListKind,
    /// Entries in it.
    pub entries: usize,
    /// It holds the entry that [`Crowd::mark`] named last.
    pub marked: bool,
    /// When the module had taken it over.
    pub at: Instant,
}

type Mark = Arc<RwLock<Option<(String, ServerState)>>>;

enum Order {
    Processor(mpsc::Sender<Duration>),
}

struct Worker {
    orders: Option<orders::UnboundedSender<Order>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What the balancers' discovery code says of its troubles is thrown away until this is dropped: thousands would
/// say the same at once.
pub struct Hush(OwnedFd);

impl Hush {
    /// Standard error goes nowhere from now on.
    ///
    /// # Errors
    /// No descriptor is left.
    pub fn begin() -> io::Result<Hush> {
        let before = rustix::io::dup(io::stderr())?;
        rustix::stdio::dup2_stderr(File::options().write(true).open("/dev/null")?)?;
        Ok(Hush(before))
    }
}

impl Drop for Hush {
    fn drop(&mut self) {
        let _ = rustix::stdio::dup2_stderr(&self.0);
    }
}

/// Raises this process's limit of descriptors as far as it may, if fewer than needed are allowed.
///
/// # Errors
/// The hard limit is lower than what is needed; the error says so.
pub fn descriptors(needed: u64) -> io::Result<()> {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_none_or(|current| current >= needed) {
        return Ok(());
    }
    if limit.maximum.is_some_and(|maximum| maximum < needed) {
        let why =
            format!("{needed} descriptors are needed and the hard limit is lower: ask for fewer balancers");
        return Err(io::Error::other(why));
    }
    Ok(setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum })?)
}

/// Hollow balancers at work. They end when dropped.
pub struct Crowd {
    workers: Vec<Worker>,
    reached: mpsc::Receiver<Reached>,
    mark: Mark,
    slow: Option<Slow>,
    stalling: Arc<AtomicBool>,
}

impl Crowd {
    /// Starts them; each asks for its list at once, or as soon as its module does.
    ///
    /// # Errors
    /// Settings that make no sense, or no thread.
    pub fn start(options: &Options) -> io::Result<Crowd> {
        let (mut names, text) = (Names::default(), setup(options));
        let setup: Setup = serde_json::from_value(text).map_err(io::Error::other)?;
        let settings = setup.to_policy_settings(&mut names).map_err(io::Error::other)?;
        let (names, mark) = (Arc::new(names), Mark::default());
        let stalling = Arc::new(AtomicBool::new(false));
        let (sender, reached) = mpsc::channel();
        let is_slow = |n: u32| options.slow.is_some_and(|slow| n.is_multiple_of(slow.one_in.max(1)));
        let threads = options.threads.max(1);
        let share = |thread: u32| -> Vec<u32> {
            (0..options.balancers).filter(|n| !is_slow(*n) && n % threads == thread).collect()
        };
        let mut shares: Vec<_> = (0..threads).map(|thread| (share(thread), None)).collect();
        if let Some(slow) = options.slow {
            shares.push(((0..options.balancers).filter(|n| is_slow(*n)).collect(), Some(slow)));
        }
        let mut workers = Vec::new();
        for (numbers, slow) in shares {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let (order, orders) = orders::unbounded_channel();
            let group = Group {
                numbers,
                slow,
                settings: settings.clone(),
                names: names.clone(),
                options: options.clone(),
                reached: sender.clone(),
                mark: mark.clone(),
                stalling: stalling.clone(),
            };
            let serve = move || LocalSet::new().block_on(&runtime, group.run(orders));
            let thread = std::thread::Builder::new().name("hollow".to_owned()).spawn(serve)?;
            workers.push(Worker { orders: Some(order), thread: Some(thread) });
        }
        Ok(Crowd { workers, reached, mark, slow: options.slow, stalling })
    }

    /// Whether the slow ones are slow from now on; at first they are not.
    pub fn stall(&self, stall: bool) {
        self.stalling.store(stall, Relaxed);
    }

    /// Lists that hold this entry are marked from now on.
    pub fn mark(&self, instance: &str, state: ServerState) {
        if let Ok(mut mark) = self.mark.write() {
            *mark = Some((instance.to_owned(), state));
        }
    }

    /// What has reached the balancers since this was last asked; returns at once.
    pub fn reached(&self) -> impl Iterator<Item = Reached> + '_ {
        self.reached.try_iter()
    }

    /// The next list that reaches a balancer, within a time.
    pub fn next(&self, within: Duration) -> Option<Reached> {
        self.reached.recv_timeout(within).ok()
    }

    /// Whether a balancer is one of the slow ones.
    pub fn is_slow(&self, balancer: u32) -> bool {
        self.slow.is_some_and(|slow| balancer.is_multiple_of(slow.one_in.max(1)))
    }

    /// Processor time that all balancers have taken up together.
    pub fn processor(&self) -> Duration {
        let ask = |worker: &Worker| {
            let (sender, time) = mpsc::channel();
            worker.orders.as_ref()?.send(Order::Processor(sender)).ok()?;
            Some(time)
        };
        let asked: Vec<_> = self.workers.iter().filter_map(ask).collect();
        asked.iter().filter_map(|time| time.recv().ok()).sum()
    }
}

/// The balancers of one thread.
struct Group {
    numbers: Vec<u32>,
    slow: Option<Slow>,
    settings: Settings,
    names: Arc<Names>,
    options: Options,
    reached: mpsc::Sender<Reached>,
    mark: Mark,
    stalling: Arc<AtomicBool>,
}

impl Group {
    async fn run(self, mut orders: orders::UnboundedReceiver<Order>) {
        for &number in &self.numbers {
            if let Err(why) = self.start(number) {
                eprintln!("hollow balancer {number}: {why}");
            }
            // The first ones already go on while the last ones are made.
            tokio::task::yield_now().await;
        }
        if let Some(slow) = self.slow {
            let stalling = self.stalling.clone();
            spawn_local(async move {
                loop {
                    if stalling.load(Relaxed) {
                        // On purpose: nothing else on this thread goes on meanwhile.
                        std::thread::sleep(slow.stall);
                    }
                    tokio::time::sleep(slow.every.saturating_sub(slow.stall)).await;
                }
            });
        }
        while let Some(Order::Processor(reply)) = orders.recv().await {
            let _ = reply.send(thread_processor_time());
        }
    }

    fn start(&self, number: u32) -> Result<(), String> {
        let mut settings = self.settings.clone();
        settings.balancer_index = number;
        settings.zone = number % self.options.zones.max(1);
        let unasked = self.options.learning == UpdateMode::Push;
        let discovery = Discovery::new(self.options.discovery, None, unasked, self.options.drain_grace);
        let tell = Tell { number, reached: self.reached.clone(), mark: self.mark.clone() };
        let wire = Hollow { discovery: discovery.clone(), tell: Rc::new(tell) };
        let told = wire.clone();
        let seed = self.options.seed.wrapping_add(u64::from(number));
        let engine = Dispatcher::new(settings, &self.names, seed, Rc::default(), wire)?;
        engine.start_without_list();
        if unasked {
            told.watch(&engine);
        }
        spawn_local(engine.run());
        Ok(())
    }
}

/// Tells the rig what has reached the module.
struct Tell {
    number: u32,
    reached: mpsc::Sender<Reached>,
    mark: Mark,
}

impl Tell {
    /// Hands a list to the engine, as the balancer does, and keeps when that was done.
    fn list(&self, engine: &Rc<Dispatcher<Hollow>>, kind: ListKind, listed: Vec<Endpoint>) {
        let mark = self.mark.read().map(|mark| mark.clone()).unwrap_or_default();
        let marked =
            mark.is_some_and(|(name, state)| listed.iter().any(|l| l.instance == name && l.state == state));
        let entries = listed.len();
        engine.update_endpoints(kind, listed);
        let reached = Reached { balancer: self.number, kind, entries, marked, at: Instant::now() };
        let _ = self.reached.send(reached);
    }
}

/// The wire of a balancer that nobody calls: discovery is real, upstreams are never asked.
#[derive(Clone)]
struct Hollow {
    discovery: Rc<Discovery>,
    tell: Rc<Tell>,
}

impl Transport for Hollow {
    type Request = ();
    type Response = ();
    type Attempt = ();

    fn send(&self, _: Target, _: Rc<()>, _: Micros, _: AttemptCompletion<Self>) {
        // A report that is dropped counts as a reset; nothing is ever asked for, so none comes here.
    }

    fn body_consumed((): &()) -> bool {
        false
    }

    fn client_disconnected((): &()) -> bool {
        false
    }

    fn has_connection((): &()) -> bool {
        false
    }

    fn abort(&self, (): ()) -> bool {
        false
    }

    fn health_check(&self, _: &Rc<Dispatcher<Self>>, _: Target) {}

    fn close_idle(&self, _: ServerId) {}

    fn watch(&self, engine: &Rc<Dispatcher<Self>>) {
        let (engine, tell) = (engine.clone(), self.tell.clone());
        self.discovery.watch(move |kind, listed| tell.list(&engine, kind, listed));
    }

    fn fetch(&self, engine: &Rc<Dispatcher<Self>>) {
        let (engine, tell) = (engine.clone(), self.tell.clone());
        self.discovery.fetch(move |kind, listed| tell.list(&engine, kind, listed));
    }
}
