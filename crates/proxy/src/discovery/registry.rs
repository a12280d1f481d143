//! The registry of endpoints that discovery has listed: their ids for the policy, their addresses and the operator
//! overrides.

use std::collections::{HashMap, HashSet, VecDeque};

use zincstand_policy as policy;
use zincstand_policy::{ListKind, Micros, ServerId, ServerState};
use zincstand_settings::{Names, ring_position};

use crate::discovery::endpoint::{Endpoint, Target};
use crate::discovery::name_ids::NameIds;
use crate::lifecycle::overrides::OperatorOverrides;

/// Maximum number of retained names of instances that have left the list. Operators may still exclude or include these
/// instances. The limit bounds the memory that the names take.
const MAX_FORMER_INSTANCES: usize = 4096;

/// An endpoint as last listed, with the ids of its zone and machine type.
struct RegisteredEndpoint {
    endpoint: Endpoint,
    zone: u32,
    kind: u32,
}

impl RegisteredEndpoint {
    /// Returns the last start of the endpoint's process in microseconds of Unix time, or `None` if it is not known. An
    /// endpoint that was included again counts as started at that time, or later if discovery reports a later start.
    fn started(&self, overrides: &OperatorOverrides) -> Option<Micros> {
        self.endpoint.started.max(overrides.included_at.get(&self.endpoint.instance).copied())
    }

    /// Returns the endpoint's entry for the policy. Operator overrides take precedence over discovery: an excluded endpoint
    /// is draining.
    fn entry(&self, id: ServerId, overrides: &OperatorOverrides) -> policy::ServerEntry {
        let endpoint = &self.endpoint;
        let state = match endpoint.state {
            ServerState::Ready if overrides.excluded.contains(&endpoint.instance) => ServerState::Draining,
            state => state,
        };
        let weight_is_valid = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        policy::ServerEntry {
            id,
            zone: self.zone,
            machine_kind: self.kind,
            cell: endpoint.cell,
            // The position on the hash ring has to be the same at every balancer. Address and id differ between
            // balancers, so it is derived from the instance's name.
            ring_position: ring_position(&endpoint.instance),
            state,
            weight: if weight_is_valid { endpoint.weight } else { 1.0 },
            started: self.started(overrides),
        }
    }
}

/// The effects of a change of the registry: entries for the policy, and idle connections to close.
#[derive(Debug, Default, PartialEq)]
pub struct RegistryUpdate {
    /// The entries to pass to the policy.
    pub entries: Vec<policy::ServerEntry>,
    /// Servers whose idle connections have to be closed, because their address changed or they were removed or excluded.
    pub close_idle: Vec<ServerId>,
}

/// All listed endpoints, and a limited number of names of instances that were removed.
pub struct Registry {
    servers: NameIds,
    endpoints: HashMap<ServerId, RegisteredEndpoint>,
    zones: NameIds,
    /// Number of zones that the settings name. They have the lowest ids and are never removed.
    zones_in_settings: u32,
    kinds: NameIds,
    overrides: OperatorOverrides,
    /// Names of instances that left the list, oldest first.
    former_instances: VecDeque<String>,
}

impl Registry {
    /// Returns an empty registry. `zones` holds the zone ids that the settings use.
    pub fn new(zones: &Names) -> Registry {
        Registry {
            servers: NameIds::default(),
            endpoints: HashMap::new(),
            zones: NameIds::with_names(zones.as_slice()),
            zones_in_settings: zones.as_slice().len() as u32,
            kinds: NameIds::default(),
            overrides: OperatorOverrides::default(),
            former_instances: VecDeque::new(),
        }
    }

    /// Returns the number of listed endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the address of a server, or `None` if the server is not listed or is excluded.
    pub fn target(&self, server: ServerId) -> Option<Target> {
        let registered = self.endpoints.get(&server)?;
        if self.overrides.excluded.contains(&registered.endpoint.instance) {
            return None;
        }
        let started = registered.started(&self.overrides);
        Some(Target { server, address: registered.endpoint.address, started })
    }

    /// Returns whether new requests may be sent to the target: its server is ready, is not excluded and still has the
    /// target's address and process.
    pub fn accepts_requests(&self, target: Target) -> bool {
        let registered = self.endpoints.get(&target.server);
        let is_ready = registered.is_some_and(|registered| registered.endpoint.state == ServerState::Ready);
        is_ready && self.target(target.server) == Some(target)
    }

    /// Returns whether an instance of that name is listed, was listed and its name is still retained, or has an override.
    pub fn knows_instance(&self, name: &str) -> bool {
        self.overrides.excluded.contains(name)
            || self.overrides.included_at.contains_key(name)
            || self.servers.contains(name)
            || self.former_instances.iter().any(|former| former == name)
    }

    /// Returns the names of the zones by id. Another process assigns other ids.
    pub fn zone_names(&self) -> HashMap<u32, String> {
        self.zones.names_by_id()
    }

    /// Returns the names of the servers by id. Another process assigns other ids.
    pub fn server_names(&self) -> HashMap<ServerId, String> {
        self.servers.names_by_id()
    }

    /// Returns the id of a zone, or `None` if no endpoint or setting names it.
    pub fn zone_id(&self, name: &str) -> Option<u32> {
        self.zones.get(name)
    }

    /// Returns the id of a server, or `None` if it is not listed.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.servers.get(name)
    }

    /// Replaces the operator overrides. The returned update holds the entries that change, in the order of their ids.
    pub fn apply_overrides(&mut self, overrides: &OperatorOverrides) -> RegistryUpdate {
        let previous = std::mem::replace(&mut self.overrides, overrides.clone());
        let mut update = RegistryUpdate::default();
        for (&id, registered) in &self.endpoints {
            let entry = registered.entry(id, overrides);
            if entry != registered.entry(id, &previous) {
                update.entries.push(entry);
            }
        }
        update.entries.sort_by_key(|entry| entry.id);
        for entry in &update.entries {
            let instance = &self.endpoints[&entry.id].endpoint.instance;
            if overrides.excluded.contains(instance) {
                update.close_idle.push(entry.id);
            }
        }
        update
    }

    /// Applies a list from discovery. Returns the entries for the policy and the connections to close.
    pub fn apply_list(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) -> RegistryUpdate {
        let mut update = RegistryUpdate::default();
        update.entries.reserve(endpoints.len());
        let mut listed = HashSet::new();
        for endpoint in endpoints {
            if endpoint.state != ServerState::Removed {
                listed.insert(self.insert(endpoint, &mut update));
            } else if let Some(id) = self.servers.get(&endpoint.instance) {
                // A removed instance that was never listed is skipped: it needs no id.
                self.remove(id, endpoint, &mut update);
            }
        }
        if matches!(kind, ListKind::Snapshot | ListKind::CachedSnapshot) {
            self.remove_unlisted(&listed, &mut update);
        }
        self.remove_unused_names();
        update
    }

    /// Adds or replaces an endpoint and returns its id.
    fn insert(&mut self, endpoint: Endpoint, update: &mut RegistryUpdate) -> ServerId {
        let id = self.servers.get_or_assign(&endpoint.instance);
        let address = endpoint.address;
        let registered = self.register(endpoint);
        update.entries.push(registered.entry(id, &self.overrides));
        let previous = self.endpoints.insert(id, registered);
        if previous.is_some_and(|previous| previous.endpoint.address != address) {
            update.close_idle.push(id);
        }
        id
    }

    fn register(&mut self, endpoint: Endpoint) -> RegisteredEndpoint {
        RegisteredEndpoint {
            zone: self.zones.get_or_assign(&endpoint.zone),
            kind: self.kinds.get_or_assign(&endpoint.kind),
            endpoint,
        }
    }

    /// Removes an endpoint that discovery has listed as removed.
    fn remove(&mut self, id: ServerId, endpoint: Endpoint, update: &mut RegistryUpdate) {
        let registered = self.register(endpoint);
        update.entries.push(registered.entry(id, &self.overrides));
        update.close_idle.push(id);
        self.servers.remove(&registered.endpoint.instance);
        self.retain_former_instance(registered.endpoint.instance);
        self.endpoints.remove(&id);
    }

    /// Removes the endpoints that are missing from a complete list.
    fn remove_unlisted(&mut self, listed: &HashSet<ServerId>, update: &mut RegistryUpdate) {
        let removed: Vec<_> = self.endpoints.extract_if(|id, _| !listed.contains(id)).collect();
        for (id, registered) in removed {
            update.close_idle.push(id);
            self.retain_former_instance(registered.endpoint.instance);
        }
        self.servers.retain_ids(listed);
    }

    fn retain_former_instance(&mut self, name: String) {
        if !self.former_instances.contains(&name) {
            self.former_instances.push_back(name);
        }
        if self.former_instances.len() > MAX_FORMER_INSTANCES {
            self.former_instances.pop_front();
        }
    }

    /// Removes the names of zones and machine types that no endpoint has any more, so that memory does not grow with each
    /// name ever listed.
    fn remove_unused_names(&mut self) {
        let zones_in_use = self.endpoints.values().map(|registered| registered.zone);
        let zones = zones_in_use.chain(0..self.zones_in_settings).collect();
        self.zones.retain_ids(&zones);
        let kinds = self.endpoints.values().map(|registered| registered.kind).collect();
        self.kinds.retain_ids(&kinds);
    }
}

#[cfg(test)]
mod tests;
