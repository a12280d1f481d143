//! The start of a process, step by step. The order matters: what can fail comes before clients are served, and
//! what a step reads was made by the steps before it.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use zincstand_policy as policy;
use zincstand_policy::ListKind;
use zincstand_settings::{Names, Setup};

use crate::admin::AdminServer;
use crate::config::Config;
use crate::discovery::{Discovery, EndpointList};
use crate::dispatch::Dispatcher;
use crate::downstream::{Listener, Server};
use crate::error_chain::ErrorChain;
use crate::lifecycle::Lifecycle;
use crate::lifecycle::hot_restart::{ProcessPresence, ProcessPresenceError, SavedState};
use crate::lifecycle::overrides::OverrideStore;
use crate::lifecycle::state_folder;
use crate::log::log_line;
use crate::process::environment_variable;
use crate::process::error::StartError;
use crate::process::listeners::{admin_listener, client_listener, local_address};
use crate::process::reload::Reload;
use crate::process::resource_limits::ResourceBudget;
use crate::process::save_task::SaveTask;
use crate::process::sibling_watch::{SiblingWatch, Siblings};
use crate::process::signals::Signals;
use crate::process::transport::SocketTransport;
use crate::upstream::Upstreams;

/// Starts the balancer on the inherited listener or one of its own, and serves until the process is told to stop.
///
/// # Errors
/// The configuration is rejected, or the process cannot open what it needs to serve.
pub async fn run(inherited: Option<std::net::TcpListener>) -> Result<(), StartError> {
    // Signals come first: a process that does not handle SIGHUP yet is ended by it.
    let signals = Signals::install()?;
    let mut config = Config::read(environment_variable)?;
    let mut zones = Names::default();
    let settings = config.setup.to_policy_settings(&mut zones)?;

    let shares_listener = inherited.is_some();
    let state = StateFolder::open(&config, shares_listener)?;
    let siblings = Siblings::new(state.register_process()?);
    let budget = ResourceBudget::new(&config);
    let limits = budget.limits_of_one(siblings.known_processes());
    let classes = named_classes(&config.setup, &settings);
    let tenants = config.setup.tenants.iter().map(|tenant| tenant.name.clone()).collect();

    let cached_list = config.cached_list.take();
    let generation = cached_list.as_ref().map(|list| list.generation);
    let core = Core::new(&config, settings, &zones, generation, limits.upstream_connections, &state)?;
    core.start(cached_list, state.hot_restart_folder());
    signals.reload.spawn_task(core.reload());

    let listener = client_listener(&config, inherited)?;
    let client_address = local_address(&listener)?;
    let lifecycle = Lifecycle::new(state.overrides.clone());
    let admin = admin_listener(&config)?;
    log_line!("zincstand-proxy {} listens on {client_address}", core.name);
    if let Some(admin) = admin {
        core.serve_operators(admin, &lifecycle)?;
    }

    signals.stop.spawn_task(lifecycle.clone());
    if let Some(folder) = state.hot_restart_folder() {
        core.save_task(folder, &lifecycle).spawn();
    }
    let server = Server::new(core.dispatcher.clone(), classes, tenants, limits.client, lifecycle.clone());
    lifecycle.set_sibling_running(siblings.sibling_running());
    if state.folder.is_some() {
        core.sibling_watch(siblings, budget, &lifecycle, &server).spawn();
    }
    server.serve(Listener { socket: listener, shared: shares_listener }).await;
    Ok(())
}

/// The classes with their names, in the order of their ids.
fn named_classes(setup: &Setup, settings: &policy::Settings) -> Vec<(String, policy::Class)> {
    let names = setup.classes.iter().map(|class| class.name.clone());
    names.zip(settings.classes.iter().cloned()).collect()
}

/// The folder for what outlives this process, and the overrides in it.
struct StateFolder {
    /// None if nothing outlives the process.
    folder: Option<PathBuf>,
    overrides: Rc<OverrideStore>,
    /// Whether other processes may accept from the same listener, so that one can replace another while it serves.
    shares_listener: bool,
}

impl StateFolder {
    /// Opens the folder that `TMPDIR` names, if this process has a use for it.
    fn open(config: &Config, shares_listener: bool) -> Result<StateFolder, StartError> {
        let is_used = shares_listener || config.admin_address.is_some();
        let folder = if is_used { state_folder::from_environment(environment_variable)? } else { None };
        let overrides = Rc::new(OverrideStore::open(folder.as_deref()));
        Ok(StateFolder { folder, overrides, shares_listener })
    }

    /// The folder through which this process and the one that replaces it exchange state; none if none can.
    fn hot_restart_folder(&self) -> Option<&Path> {
        self.folder.as_deref().filter(|_| self.shares_listener)
    }

    /// Makes this process known to the others that share its listener. Where no lock file can be created, as on a full
    /// disk, it serves all the same, and counts no others.
    fn register_process(&self) -> Result<Option<ProcessPresence>, StartError> {
        match self.hot_restart_folder().map(ProcessPresence::enter).transpose() {
            Err(error @ ProcessPresenceError::LockFile { .. }) => {
                log_line!(
                    "hot restart: other processes of this balancer are not seen: {}",
                    ErrorChain(&error)
                );
                Ok(None)
            }
            presence => Ok(presence?),
        }
    }
}

/// What the tasks of the process share.
struct Core {
    /// The balancer's name, for the log.
    name: Rc<str>,
    upstreams: Rc<Upstreams>,
    discovery: Rc<Discovery>,
    dispatcher: Rc<Dispatcher<SocketTransport>>,
    /// Whether the policy expects changes of the endpoint list without polling for them.
    expects_push: bool,
}

impl Core {
    /// Builds the core; `generation` is the version of the cached endpoint list, if there is one.
    fn new(
        config: &Config,
        settings: policy::Settings,
        zones: &Names,
        generation: Option<u64>,
        upstream_connections: usize,
        state: &StateFolder,
    ) -> Result<Core, StartError> {
        let upstreams = Rc::new(Upstreams::new(&settings.limits, upstream_connections));
        spawn_local(upstreams.close_expired());
        let expects_push = settings.discovery == policy::DiscoveryMode::Push;
        let drain_grace = Duration::from_micros(settings.rules.drain_grace);
        let discovery = Discovery::new(config.discovery_address, generation, expects_push, drain_grace);
        let transport = SocketTransport { upstreams: upstreams.clone(), discovery: discovery.clone() };
        let dispatcher = Dispatcher::new(settings, zones, config.seed, state.overrides.clone(), transport)?;
        Ok(Core { name: config.name.as_str().into(), upstreams, discovery, dispatcher, expects_push })
    }

    /// Applies the cached endpoint list, restores the learned state from the process before this one, and starts
    /// the dispatcher. The list comes first: state of endpoints that are not listed is dropped.
    fn start(&self, cached_list: Option<EndpointList>, hot_restart_folder: Option<&Path>) {
        match cached_list {
            Some(list) => self.dispatcher.update_endpoints(ListKind::CachedSnapshot, list.into_endpoints()),
            None => self.dispatcher.start_without_list(),
        }
        if let Some(saved) = hot_restart_folder.and_then(SavedState::load) {
            self.dispatcher.restore(saved);
        }
        // Real discovery pushes nothing: a policy that expects pushes gets them from a watch.
        if self.expects_push {
            let dispatcher = self.dispatcher.clone();
            self.discovery.watch(move |kind, endpoints| dispatcher.update_endpoints(kind, endpoints));
        }
        spawn_local(self.dispatcher.clone().run());
    }

    fn reload(&self) -> Reload {
        Reload {
            name: self.name.clone(),
            dispatcher: self.dispatcher.clone(),
            discovery: self.discovery.clone(),
        }
    }

    /// Spawns the server of operators' calls.
    fn serve_operators(&self, listener: TcpListener, lifecycle: &Rc<Lifecycle>) -> Result<(), StartError> {
        let address = local_address(&listener)?;
        log_line!("zincstand-proxy {} takes operators' calls on {address}", self.name);
        let server = AdminServer::new(self.dispatcher.clone(), lifecycle.clone());
        spawn_local(server.serve(listener));
        Ok(())
    }

    fn save_task(&self, folder: &Path, lifecycle: &Rc<Lifecycle>) -> SaveTask {
        SaveTask {
            name: self.name.clone(),
            folder: folder.to_owned(),
            dispatcher: self.dispatcher.clone(),
            lifecycle: lifecycle.clone(),
        }
    }

    fn sibling_watch(
        &self,
        siblings: Siblings,
        budget: ResourceBudget,
        lifecycle: &Rc<Lifecycle>,
        server: &Rc<Server<SocketTransport>>,
    ) -> SiblingWatch {
        SiblingWatch {
            name: self.name.clone(),
            siblings,
            budget,
            lifecycle: lifecycle.clone(),
            dispatcher: self.dispatcher.clone(),
            upstreams: self.upstreams.clone(),
            server: server.clone(),
        }
    }
}
