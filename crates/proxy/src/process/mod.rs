//! One balancer from its start to its end: settings, sockets, signals and the tasks between them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use zincstand_policy as policy;
use zincstand_policy::{ListKind, Micros, ServerId};
use zincstand_settings::Names;

use crate::admin::AdminServer;
use crate::config::Config;
use crate::discovery::Discovery;
use crate::discovery::endpoint::{Endpoint, Target};
use crate::dispatch::{AttemptCompletion, Dispatcher, HealthCheckResult, Transport};
use crate::downstream::{ConnectionLimits, Listener, Server};
use crate::lifecycle::Lifecycle;
use crate::lifecycle::hot_restart::{ProcessPresence, SavedState, inherit_listener};
use crate::lifecycle::overrides::OverrideStore;
use crate::lifecycle::state_folder;
use crate::upstream::{Attempt, UpstreamRequest, UpstreamResponse, Upstreams};

/// Descriptors for the runtime, the signals, the listeners, discovery, the locks, operators' calls and standard
/// streams.
const RESERVED: usize = 40;
/// Part of the other descriptors that callers may hold; upstreams have the rest.
const CALLERS: f64 = 0.55;
/// Part of the memory that the bodies of open requests and their answers may fill. The rest is for what each
/// connection has beside: of 32 MB with 256 descriptors, 8 KB buffers and heads take 5, the program itself 2.
const BODIES: f64 = 0.4;
/// Connections that wait to be accepted.
pub const BACKLOG: u32 = 1024;
/// How often what was learned is kept for a successor.
const BEQUEATH: Duration = Duration::from_millis(250);
/// How often is looked whether another process of this balancer lives, and what operators have set there.
const LOOK: Duration = Duration::from_millis(50);

/// Reads the environment and serves until it is told to stop. The error is one plain line.
pub fn start() -> Result<(), String> {
    // Before anything else is opened, which could get its number.
    let inherited = variable("EDGE_FD").filter(|text| !text.is_empty());
    let inherited = inherited.map(|text| inherit_listener(&text)).transpose();
    let inherited = inherited.map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, run(inherited))
}

/// The sockets that the engine's actions act on.
struct SocketTransport {
    upstreams: Rc<Upstreams>,
    discovery: Rc<Discovery>,
}

impl Transport for SocketTransport {
    type Request = UpstreamRequest;
    type Response = UpstreamResponse;
    type Attempt = Attempt;

    fn send(
        &self,
        to: Target,
        call: Rc<UpstreamRequest>,
        limit: Micros,
        report: AttemptCompletion<UpstreamResponse>,
    ) -> Attempt {
        self.upstreams.send(to, &call, limit, report)
    }

    fn body_consumed(call: &UpstreamRequest) -> bool {
        call.body_consumed()
    }

    fn client_disconnected(call: &UpstreamRequest) -> bool {
        call.client_disconnected()
    }

    fn has_connection(out: &Attempt) -> bool {
        out.has_connection()
    }

    fn abort(&self, out: Attempt) -> bool {
        out.abort()
    }

    fn health_check(&self, target: Target, on_result: impl FnOnce(HealthCheckResult) + 'static) {
        self.upstreams.health_check(target, on_result);
    }

    fn close_idle(&self, server: ServerId) {
        self.upstreams.close_idle(server);
    }

    fn watch(&self, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        self.discovery.watch(on_list);
    }

    fn fetch(&self, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        self.discovery.fetch(on_list);
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Takes over what may change while it runs, which is where discovery is. Guards against a file that is half
/// written or wrong: the running configuration is kept then.
fn reload(engine: &Rc<Dispatcher<SocketTransport>>, discovery: &Rc<Discovery>) {
    match Config::read_again(variable) {
        Ok(config) => {
            eprintln!("zincstand-proxy: configuration read again; discovery is {}", config.discovery);
            let engine = engine.clone();
            discovery.change_address(config.discovery, move |kind, entries| {
                engine.update_endpoints(kind, entries)
            });
        }
        Err(why) => eprintln!("zincstand-proxy: the running configuration is kept: {why}"),
    }
}

/// What one of so many processes of this balancer may take up: connections to upstreams, and the callers' room.
fn limits(config: &Config, processes: usize) -> (usize, ConnectionLimits) {
    let free = (config.sockets / processes).saturating_sub(RESERVED).max(2);
    let places = ((free as f64 * CALLERS) as usize).max(1);
    let bodies = (config.memory as f64 * BODIES) as usize / processes;
    (free - places, ConnectionLimits { connections: places, bodies })
}

/// Listens on an address of this balancer's own.
fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let listener = socket.and_then(|s| {
        s.set_reuseaddr(true)?;
        s.bind(address)?;
        s.listen(BACKLOG)
    });
    listener.map_err(|e| format!("{address}: {e}"))
}

async fn run(inherited: Option<std::net::TcpListener>) -> Result<(), String> {
    // The signals before all else: until it is handled, SIGHUP ends the process.
    let order = |kind| signal(kind).map_err(|e| e.to_string());
    let mut hangup = order(SignalKind::hangup())?;
    let mut terminate = order(SignalKind::terminate())?;
    let mut interrupt = order(SignalKind::interrupt())?;
    let mut config = Config::read(variable)?;
    let mut zones = Names::default();
    let settings = config.setup.to_policy_settings(&mut zones).map_err(|error| error.to_string())?;

    let shared = inherited.is_some();
    let needs_folder = shared || config.management.is_some();
    let folder = if needs_folder { state_folder::from_environment(variable) } else { Ok(None) };
    let folder = folder.map_err(|error| error.to_string())?;
    let store = Rc::new(OverrideStore::open(folder.as_deref()));
    let presence = folder.as_deref().filter(|_| shared).map(ProcessPresence::enter).transpose();
    let presence = presence.map_err(|e| format!("TMPDIR: {e}"))?;
    let processes = move || 1 + presence.as_ref().map_or(0, ProcessPresence::others);
    let mut known_processes = processes();

    let (connections, callers) = limits(&config, known_processes);
    let upstreams = Rc::new(Upstreams::new(&settings.limits, connections));
    spawn_local(upstreams.close_expired());
    let generation = config.known.as_ref().map(|known| known.generation);
    let unasked = settings.discovery == policy::DiscoveryMode::Push;
    let drain_grace = Duration::from_micros(settings.rules.drain_grace);
    let discovery = Discovery::new(config.discovery, generation, unasked, drain_grace);
    let classes: Vec<_> =
        config.setup.classes.iter().map(|c| c.name.clone()).zip(settings.classes.iter().cloned()).collect();
    let tenants = config.setup.tenants.iter().map(|r| r.name.clone()).collect();
    let engine = Dispatcher::new(
        settings,
        &zones,
        config.seed,
        store.clone(),
        SocketTransport { upstreams: upstreams.clone(), discovery: discovery.clone() },
    )
    .map_err(|error| error.to_string())?;
    match config.known.take() {
        Some(known) => engine.update_endpoints(ListKind::CachedSnapshot, known.into_endpoints()),
        None => engine.start_without_list(),
    }
    let heir = folder.clone().filter(|_| shared);
    if let Some(legacy) = heir.as_deref().and_then(SavedState::load) {
        engine.restore(legacy);
    }
    // Real discovery pushes nothing: what the module is to hear unasked is asked for here.
    if unasked {
        let engine = engine.clone();
        discovery.watch(move |kind, entries| engine.update_endpoints(kind, entries));
    }
    spawn_local(engine.clone().run());
    spawn_local({
        let engine = engine.clone();
        async move {
            while hangup.recv().await.is_some() {
                reload(&engine, &discovery);
            }
        }
    });

    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(|e| format!("EDGE_FD: {e}"))?,
        None => listen(config.listen)?,
    };
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let life = Lifecycle::new(store);
    let management = config.management.map(listen).transpose().map_err(|e| format!("EDGE_MANAGEMENT {e}"))?;
    eprintln!("zincstand-proxy {} listens on {address}", config.name);
    if let Some(management) = management {
        let address = management.local_addr().map_err(|e| e.to_string())?;
        eprintln!("zincstand-proxy {} takes operators' calls on {address}", config.name);
        spawn_local(AdminServer::new(engine.clone(), life.clone()).serve(management));
    }

    spawn_local({
        let life = life.clone();
        async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            life.request_shutdown();
        }
    });
    if let Some(folder) = heir {
        let (engine, life) = (engine.clone(), life.clone());
        spawn_local(async move {
            // Once told to stop, its successor knows better.
            while life.accepts_connections() {
                if let Err(e) = engine.saved_state().save(&folder) {
                    eprintln!("handover: what was learned is not kept: {e}");
                }
                sleep(BEQUEATH).await;
            }
        });
    }
    let server = Server::new(engine.clone(), classes, tenants, callers, life.clone());
    life.set_sibling_running(known_processes > 1);
    if folder.is_some() {
        let server = server.clone();
        spawn_local(async move {
            loop {
                sleep(LOOK).await;
                life.apply_overrides();
                engine.apply_overrides();
                let now = processes();
                if now != known_processes {
                    known_processes = now;
                    eprintln!("zincstand-proxy: {now} processes of this balancer live and share its room");
                    let (connections, callers) = limits(&config, now);
                    upstreams.resize(connections);
                    server.resize(&callers);
                    life.set_sibling_running(now > 1);
                }
            }
        });
    }
    server.serve(Listener { socket: listener, shared }).await;
    Ok(())
}
