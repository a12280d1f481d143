//! Changes to the endpoints: lists from discovery and operator overrides.

use std::rc::Rc;

use zincstand_policy::{Event, ListKind, Micros, Outcome, ServerEntry};

use crate::discovery::endpoint::Endpoint;
use crate::discovery::registry::RegistryUpdate;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::transport::Transport;
use crate::lifecycle::overrides::{OperatorOverrides, OverrideError};

impl<T: Transport> Dispatcher<T> {
    /// Excludes an upstream until [`include`](Self::include), regardless of what discovery reports. Returns false
    /// if no upstream has that name. Once this returns, no further request is sent to the upstream.
    ///
    /// # Errors
    /// See [`OverrideError`]. The overrides are unchanged after an error.
    pub async fn exclude(self: &Rc<Self>, name: &str) -> Result<bool, OverrideError> {
        let excluded = name.to_owned();
        self.change_overrides(name, move |overrides, _| overrides.exclude(&excluded)).await
    }

    /// Includes an upstream again. It counts as just started, so slow start applies. Returns false if no upstream has
    /// that name.
    ///
    /// # Errors
    /// See [`OverrideError`]. The overrides are unchanged after an error.
    pub async fn include(self: &Rc<Self>, name: &str) -> Result<bool, OverrideError> {
        let included = name.to_owned();
        self.change_overrides(name, move |overrides, now| overrides.include(&included, now)).await
    }

    /// Changes the overrides of the upstream `name`; `change` gets the time in microseconds of Unix time. Returns false
    /// if no upstream has that name.
    async fn change_overrides(
        self: &Rc<Self>,
        name: &str,
        change: impl FnOnce(&mut OperatorOverrides, Micros) + Send + 'static,
    ) -> Result<bool, OverrideError> {
        self.apply_overrides();
        if !self.endpoints.knows_instance(name) {
            return Ok(false);
        }
        let now = self.clock.now();
        self.overrides.change(move |overrides| change(overrides, now)).await?;
        self.apply_overrides();
        Ok(true)
    }

    /// Applies the operator overrides if they have changed in this process or another. This call precedes every
    /// event, so an override takes effect in this process as soon as another process has confirmed it.
    pub fn apply_overrides(self: &Rc<Self>) {
        if !self.overrides.refresh() {
            return;
        }
        let update = self.endpoints.apply_overrides(&self.overrides.current());
        let entries = self.close_idle_connections(update);
        if !entries.is_empty() {
            self.handle_event(Event::EndpointList { kind: ListKind::Delta, entries });
            self.abort_unbegun_attempts();
        }
    }

    /// Applies a list of endpoints. Idle connections to endpoints that were removed or have a new address are closed.
    pub fn update_endpoints(self: &Rc<Self>, kind: ListKind, endpoints: Vec<Endpoint>) {
        self.apply_overrides();
        let update = self.endpoints.apply_list(kind, endpoints);
        let entries = self.close_idle_connections(update);
        self.handle_event(Event::EndpointList { kind, entries });
        self.abort_unbegun_attempts();
    }

    /// Closes the idle connections that an update of the registry lists. Returns the entries for the policy.
    fn close_idle_connections(&self, update: RegistryUpdate) -> Vec<ServerEntry> {
        for server in update.close_idle {
            self.transport.close_idle(server);
        }
        update.entries
    }

    /// Starts the policy without an endpoint list. The policy polls discovery only after its first event; without the
    /// empty list passed here there would never be a first event.
    pub fn start_without_list(self: &Rc<Self>) {
        self.submit_event(Event::EndpointList { kind: ListKind::CachedSnapshot, entries: Vec::new() });
    }

    /// Returns the callback that applies lists from discovery to this dispatcher.
    pub fn list_handler(self: &Rc<Self>) -> impl Fn(ListKind, Vec<Endpoint>) + 'static {
        let dispatcher = self.clone();
        move |kind, endpoints| dispatcher.update_endpoints(kind, endpoints)
    }

    /// Aborts the attempts that have not begun and go to endpoints that no longer accept new requests or have restarted.
    /// Their connections might be established long after the grace period of the drain, or all at once at an endpoint that
    /// has just started.
    fn abort_unbegun_attempts(self: &Rc<Self>) {
        let attempts = self.requests.unbegun_attempts_to(|target| !self.endpoints.accepts_requests(target));
        for attempt in attempts {
            self.abort_attempt(attempt, Outcome::Cancelled);
        }
    }
}
