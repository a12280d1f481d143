//! The endpoint registry of the dispatcher.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use zincstand_policy::{ListKind, ServerId};
use zincstand_settings::Names;

use crate::discovery::endpoint::{Endpoint, Target};
use crate::discovery::registry::{Registry, RegistryUpdate};
use crate::lifecycle::overrides::OperatorOverrides;

/// The endpoints that discovery has listed, and whether any list was applied yet.
pub(super) struct EndpointTable {
    registry: RefCell<Registry>,
    has_list: Cell<bool>,
}

impl EndpointTable {
    /// Returns a table without endpoints. `zones` holds the zone ids that the settings use.
    pub(super) fn new(zones: &Names) -> EndpointTable {
        EndpointTable { registry: RefCell::new(Registry::new(zones)), has_list: Cell::new(false) }
    }

    /// Runs `operation` on the registry. All accesses borrow the registry here, and the borrows are never nested: the
    /// registry calls no callback, and its updates are applied after the borrow has ended.
    fn with_registry<R>(&self, operation: impl FnOnce(&mut Registry) -> R) -> R {
        operation(&mut self.registry.borrow_mut())
    }

    /// Returns whether a list of endpoints was applied. The cached list counts.
    pub(super) fn has_list(&self) -> bool {
        self.has_list.get()
    }

    /// Returns the number of listed endpoints.
    pub(super) fn count(&self) -> usize {
        self.with_registry(|registry| registry.endpoint_count())
    }

    /// Returns the address of a server, or `None` if the server is not listed or is excluded.
    pub(super) fn target(&self, server: ServerId) -> Option<Target> {
        self.with_registry(|registry| registry.target(server))
    }

    /// Returns whether new requests may be sent to the target: its server is ready, is not excluded and still has the
    /// target's address.
    pub(super) fn accepts_requests(&self, target: Target) -> bool {
        self.with_registry(|registry| registry.accepts_requests(target))
    }

    /// Returns whether operators may exclude or include this instance: it was listed and its name is
    /// retained, or it has an override.
    pub(super) fn knows_instance(&self, name: &str) -> bool {
        self.with_registry(|registry| registry.knows_instance(name))
    }

    /// Replaces the operator overrides. Returns the entries that change and the connections to close.
    pub(super) fn apply_overrides(&self, overrides: &OperatorOverrides) -> RegistryUpdate {
        self.with_registry(|registry| registry.apply_overrides(overrides))
    }

    /// Applies a list from discovery. Returns the entries for the policy and the connections to close.
    pub(super) fn apply_list(&self, kind: ListKind, endpoints: Vec<Endpoint>) -> RegistryUpdate {
        if kind != ListKind::Failed {
            self.has_list.set(true);
        }
        self.with_registry(|registry| registry.apply_list(kind, endpoints))
    }

    /// Returns the names of the zones by id.
    pub(super) fn zone_names(&self) -> HashMap<u32, String> {
        self.with_registry(|registry| registry.zone_names())
    }

    /// Returns the names of the servers by id.
    pub(super) fn server_names(&self) -> HashMap<ServerId, String> {
        self.with_registry(|registry| registry.server_names())
    }

    /// Returns the id of a zone, or `None` if no endpoint or setting names it.
    pub(super) fn zone_id(&self, name: &str) -> Option<u32> {
        self.with_registry(|registry| registry.zone_id(name))
    }

    /// Returns the id of a server, or `None` if it is not listed.
    pub(super) fn server_id(&self, name: &str) -> Option<ServerId> {
        self.with_registry(|registry| registry.server_id(name))
    }
}
