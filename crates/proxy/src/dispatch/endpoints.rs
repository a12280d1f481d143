//! Changes to the endpoints: lists from discovery and the operators' overrides.

use std::rc::Rc;

use zincstand_policy::{Event, ListKind, Micros, Outcome};

use crate::discovery::endpoint::Endpoint;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::transport::Transport;
use crate::lifecycle::overrides::{OperatorOverrides, OverrideError};

impl<T: Transport> Dispatcher<T> {
    /// Excludes an upstream until [`include`](Self::include), whatever discovery says. Returns false if no upstream
    /// has that name. Once this returns, no further request is sent to it.
    ///
    /// # Errors
    /// The file of overrides cannot be written.
    pub async fn exclude(self: &Rc<Self>, name: &str) -> Result<bool, OverrideError> {
        let excluded = name.to_owned();
        self.change_overrides(name, move |overrides, _| overrides.exclude(&excluded)).await
    }

    /// Includes an upstream again; it counts as just started. Returns false if no upstream has that name.
    ///
    /// # Errors
    /// The file of overrides cannot be written.
    pub async fn include(self: &Rc<Self>, name: &str) -> Result<bool, OverrideError> {
        let included = name.to_owned();
        self.change_overrides(name, move |overrides, now| overrides.include(&included, now)).await
    }

    async fn change_overrides(
        self: &Rc<Self>,
        name: &str,
        change: impl FnOnce(&mut OperatorOverrides, Micros) + Send + 'static,
    ) -> Result<bool, OverrideError> {
        self.apply_overrides();
        if !self.registry.borrow().knows_instance(name) {
            return Ok(false);
        }
        let now = self.clock.now();
        self.overrides.change(move |overrides| change(overrides, now)).await?;
        self.apply_overrides();
        Ok(true)
    }

    /// Applies the operators' overrides if they have changed, through whichever process. Since this is done before
    /// each event, an override binds this process from the moment in which another one has confirmed it.
    pub fn apply_overrides(self: &Rc<Self>) {
        self.overrides.refresh();
        let version = self.overrides.version();
        if self.applied_overrides.replace(version) == version {
            return;
        }
        let update = self.registry.borrow_mut().apply_overrides(&self.overrides.current());
        for server in update.close_idle {
            self.transport.close_idle(server);
        }
        if !update.entries.is_empty() {
            self.handle_event(Event::EndpointList { kind: ListKind::Delta, entries: update.entries });
            self.abort_attempts_to_closed_endpoints();
        }
    }

    /// Applies a list of endpoints. Those that moved or are gone lose their idle connections.
    pub fn update_endpoints(self: &Rc<Self>, kind: ListKind, endpoints: Vec<Endpoint>) {
        self.apply_overrides();
        let update = self.registry.borrow_mut().apply_list(kind, endpoints);
        for server in update.close_idle {
            self.transport.close_idle(server);
        }
        if kind != ListKind::Failed {
            self.has_endpoint_list.set(true);
        }
        self.handle_event(Event::EndpointList { kind, entries: update.entries });
        self.abort_attempts_to_closed_endpoints();
    }

    /// Starts the policy with no list known. The policy polls discovery only after its first event, so without
    /// this one neither would ever begin.
    pub fn start_without_list(self: &Rc<Self>) {
        self.submit_event(Event::EndpointList { kind: ListKind::CachedSnapshot, entries: Vec::new() });
    }

    /// The callback through which the transport passes lists from discovery to this dispatcher.
    pub(super) fn list_handler(self: &Rc<Self>) -> impl Fn(ListKind, Vec<Endpoint>) + 'static {
        let dispatcher = self.clone();
        move |kind, endpoints| dispatcher.update_endpoints(kind, endpoints)
    }

    /// Aborts the attempts without a connection to endpoints that accept no new requests any more: their connection
    /// might be established long after the grace period of the drain.
    fn abort_attempts_to_closed_endpoints(self: &Rc<Self>) {
        let attempts = {
            let registry = self.registry.borrow();
            self.requests.borrow().unconnected_to(|target| !registry.accepts_requests(target))
        };
        for attempt in attempts {
            self.abort_attempt(attempt, Outcome::Cancelled);
        }
    }
}
