//! The start of a process, step by step. Steps that can fail come before clients are served, and each step uses only
//! the results of earlier steps.

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use zincstand_policy as policy;
use zincstand_settings::Names;

use crate::admin::AdminServer;
use crate::config::Config;
use crate::downstream::{Listener, Server, ServerResources};
use crate::lifecycle::Lifecycle;
use crate::log::log_line;
use crate::process::core::Core;
use crate::process::environment_variable;
use crate::process::error::StartError;
use crate::process::listeners::{admin_listener, client_listener, local_address};
use crate::process::memory_task::watch_memory;
use crate::process::reload::Reload;
use crate::process::resource_limits::{ResourceBudget, ResourceLimits};
use crate::process::save_task::SaveTask;
use crate::process::shared_state_task::{ProcessCount, SharedStateTask};
use crate::process::signals::Signals;
use crate::process::state_files::StateFiles;
use crate::process::transport::SocketTransport;
use crate::request_ids::{RequestIds, Retention};

/// Starts the balancer on the inherited listener, or on a new one if `inherited` is `None`, and serves until shutdown is
/// complete.
///
/// # Errors
/// The configuration is rejected, or the process cannot open what it needs to serve.
pub async fn run(inherited: Option<std::net::TcpListener>) -> Result<(), StartError> {
    // SIGHUP ends a process that has no handler for it yet, so the handlers come first.
    let signals = Signals::install()?;
    let mut startup = Startup::prepare(inherited.is_some())?;
    let core = startup.start_core()?;
    signals.reload.spawn_task(Reload { core: core.clone() });

    let listener = client_listener(&startup.config, inherited)?;
    let lifecycle = Lifecycle::new(startup.state.overrides().clone());
    let admin_socket = admin_listener(&startup.config)?;
    startup.log_client_address(&listener)?;
    if let Some(admin_socket) = admin_socket {
        serve_admin_api(admin_socket, &core, &lifecycle)?;
    }

    signals.shutdown.spawn_task(lifecycle.clone());
    startup.spawn_save_task(&core, &lifecycle);
    spawn_local(watch_memory(core.clone()));
    let request_ids = startup.request_ids();
    let server = startup.client_server(&core, &lifecycle, &request_ids);
    let shared = startup.state.shares_listener();
    lifecycle.set_other_process_running(startup.process_count.others_running());
    spawn_local(server.clone().shed_when_memory_is_short(core.upstreams.clone()));
    startup.spawn_shared_state_task(core, &lifecycle, &server, request_ids);
    server.serve(Listener { socket: listener, shared }).await;
    Ok(())
}

/// Spawns the server of the admin API and logs its address.
fn serve_admin_api(listener: TcpListener, core: &Core, lifecycle: &Rc<Lifecycle>) -> Result<(), StartError> {
    let admin_address = local_address(&listener)?;
    log_line!("admin: admin API listens on {admin_address}");
    let server = AdminServer::new(core.dispatcher.clone(), lifecycle.clone());
    spawn_local(server.serve(listener));
    Ok(())
}

/// The configuration and this process's share of the resources, as determined at the start.
struct Startup {
    config: Config,
    settings: policy::Settings,
    /// The ids of the zones that the settings name.
    zones: Names,
    state: StateFiles,
    process_count: ProcessCount,
    /// The resources that all processes of the balancer share.
    budget: ResourceBudget,
    /// This process's share of the budget.
    limits: ResourceLimits,
}

impl Startup {
    /// Reads the configuration, registers this process with the other processes of the balancer and determines its share
    /// of the resources.
    fn prepare(shares_listener: bool) -> Result<Startup, StartError> {
        let config = Config::read(environment_variable)?;
        let mut zones = Names::default();
        let settings = config.setup.to_policy_settings(&mut zones)?;
        let state = StateFiles::open(&config, shares_listener)?;
        let process_count = ProcessCount::new(state.register_process()?);
        let budget = ResourceBudget::new(&config);
        let limits = budget.limits_per_process(process_count.running());
        Ok(Startup { config, settings, zones, state, process_count, budget, limits })
    }

    /// Builds the core and starts it with the cached endpoint list and the predecessor's learned state.
    fn start_core(&mut self) -> Result<Rc<Core>, StartError> {
        let settings = self.settings.clone();
        let overrides = self.state.overrides().clone();
        let core = Core::new(&self.config, settings, &self.zones, &self.limits, overrides)?;
        core.start(self.config.cached_list.take(), self.state.hot_restart_folder());
        Ok(core)
    }

    /// Logs the address for clients once all listeners are open. This has to be the first address in the log: a program
    /// that starts the balancer on port 0 reads the port from it.
    fn log_client_address(&self, listener: &TcpListener) -> Result<(), StartError> {
        let name = &self.config.name;
        let client_address = local_address(listener)?;
        log_line!("process: balancer {name} listens on {client_address}");
        Ok(())
    }

    /// Spawns the task that saves the learned state, if a successor can read it.
    fn spawn_save_task(&self, core: &Rc<Core>, lifecycle: &Rc<Lifecycle>) {
        let Some(folder) = self.state.hot_restart_folder() else { return };
        let folder = folder.to_owned();
        SaveTask { folder, core: core.clone(), lifecycle: lifecycle.clone() }.spawn();
    }

    /// Returns the server of the clients' connections.
    fn client_server(
        &self,
        core: &Core,
        lifecycle: &Rc<Lifecycle>,
        request_ids: &Rc<RequestIds>,
    ) -> Rc<Server<SocketTransport>> {
        let setup = &self.config.setup;
        let class_names = setup.classes.iter().map(|class| class.name.clone());
        // The policy's settings list the classes in the order of the setup.
        let classes = class_names.zip(self.settings.classes.iter().cloned()).collect();
        let tenants = setup.tenants.iter().map(|tenant| tenant.name.clone()).collect();
        let resources = ServerResources {
            connections: self.limits.client_connections,
            memory: core.memory.clone(),
            request_ids: request_ids.clone(),
        };
        Server::new(core.dispatcher.clone(), classes, tenants, resources, lifecycle.clone())
    }

    /// Returns the ids of the requests. They are shared with the other processes that accept from the same listener.
    fn request_ids(&self) -> Rc<RequestIds> {
        let retention = Retention::new(&self.settings.classes, self.config.max_memory_bytes);
        let request_ids = RequestIds::new(retention);
        if let (Some(folder), Some(slot)) = (self.state.hot_restart_folder(), self.process_count.slot()) {
            request_ids.share(folder, slot);
            request_ids.set_others_running(self.process_count.others_running());
        }
        request_ids
    }

    /// Spawns the task that polls the shared state of the balancer's processes, if there is a folder for that state.
    fn spawn_shared_state_task(
        self,
        core: Rc<Core>,
        lifecycle: &Rc<Lifecycle>,
        server: &Rc<Server<SocketTransport>>,
        request_ids: Rc<RequestIds>,
    ) {
        if !self.state.is_shared() {
            return;
        }
        let task = SharedStateTask {
            process_count: self.process_count,
            budget: self.budget,
            core,
            lifecycle: lifecycle.clone(),
            server: server.clone(),
            request_ids,
        };
        task.spawn();
    }
}
