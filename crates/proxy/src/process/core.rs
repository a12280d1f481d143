//! The core of the process: the dispatcher with its connections to upstreams and its client of discovery.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use zincstand_policy as policy;
use zincstand_policy::ListKind;
use zincstand_settings::Names;

use crate::config::Config;
use crate::discovery::{Discovery, EndpointList};
use crate::dispatch::Dispatcher;
use crate::lifecycle::hot_restart::SavedState;
use crate::lifecycle::overrides::OverrideStore;
use crate::memory::MemoryBudget;
use crate::process::error::StartError;
use crate::process::resource_limits::ResourceLimits;
use crate::process::transport::SocketTransport;
use crate::upstream::Upstreams;

/// The dispatcher with the connections that it uses. The tasks of the process share one core.
pub struct Core {
    /// The memory of the process.
    pub memory: Rc<MemoryBudget>,
    /// The connections to upstreams.
    pub upstreams: Rc<Upstreams>,
    /// The client of discovery.
    pub discovery: Rc<Discovery>,
    /// The owner of the policy and of the active requests.
    pub dispatcher: Rc<Dispatcher<SocketTransport>>,
    /// Whether the policy expects changes of the endpoint list without polling for them.
    expects_push: bool,
}

impl Core {
    /// Builds the core from the configuration and the policy's settings. `zones` holds the zone ids that the settings
    /// use; `limits` are the resources of this process.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub fn new(
        config: &Config,
        settings: policy::Settings,
        zones: &Names,
        limits: &ResourceLimits,
        overrides: Rc<OverrideStore>,
    ) -> Result<Rc<Core>, StartError> {
        let memory = MemoryBudget::new(limits.memory_bytes);
        let upstreams =
            Rc::new(Upstreams::new(&settings.limits, limits.upstream_connections, memory.clone()));
        spawn_local(upstreams.close_expired());
        let expects_push = settings.discovery == policy::DiscoveryMode::Push;
        let drain_grace = Duration::from_micros(settings.rules.drain_grace);
        let generation = config.cached_list.as_ref().map(|list| list.generation);
        let discovery = Discovery::new(config.discovery_address, generation, expects_push, drain_grace);
        let transport = SocketTransport { upstreams: upstreams.clone(), discovery: discovery.clone() };
        let dispatcher = Dispatcher::new(settings, zones, config.seed, overrides, transport)?;
        Ok(Rc::new(Core { memory, upstreams, discovery, dispatcher, expects_push }))
    }

    /// Applies the cached endpoint list, restores the predecessor's learned state, and starts the dispatcher.
    /// The list is applied first, because the state of endpoints that are not listed is dropped.
    pub fn start(&self, cached_list: Option<EndpointList>, hot_restart_folder: Option<&Path>) {
        match cached_list {
            Some(list) => self.dispatcher.update_endpoints(ListKind::CachedSnapshot, list.into_endpoints()),
            None => self.dispatcher.start_without_list(),
        }
        if let Some(saved) = hot_restart_folder.and_then(SavedState::load) {
            self.dispatcher.restore(saved);
        }
        if self.expects_push {
            self.watch_in_place_of_push();
        }
        spawn_local(self.dispatcher.clone().run_timers());
    }

    /// Starts the watch for a policy that expects discovery to push changes. Discovery pushes nothing by itself, so the watch
    /// passes the changes on instead.
    fn watch_in_place_of_push(&self) {
        self.discovery.watch(self.dispatcher.list_handler());
    }
}
