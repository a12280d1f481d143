//! The known servers and their zones, with an index by id and counts derived from them. This module makes no
//! decisions.

mod server;
mod zone;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::circuit_breaker::Breakers;
use crate::context::Context;
use crate::event::{Micros, ServerEntry, ServerId, ZoneId};
use crate::learned::LearnedState;
use crate::settings::Settings;

pub(crate) use server::Server;
pub(crate) use zone::{RingRange, Zone};

/// A server and its zone.
pub(crate) struct ServerInZone<'a> {
    /// The server.
    pub server: &'a mut Server,
    /// The zone of the server.
    pub zone: &'a mut Zone,
}

impl ServerInZone<'_> {
    /// Releases the slot of an attempt that ended, unless the server has none.
    pub fn release_slot(&mut self) {
        if self.server.release_slot() {
            self.zone.limit.release_slot();
        }
    }
}

/// All known servers, sorted by zone and ring position, and their zones.
#[derive(Default)]
pub(crate) struct Fleet {
    servers: Vec<Server>,
    /// Index of each server in `servers`. Without it, each event about a server would search the whole list.
    index_by_id: HashMap<ServerId, usize>,
    zones: BTreeMap<ZoneId, Zone>,
    /// Number of ready servers.
    ready_servers: usize,
    /// Number of servers with a breaker that is not closed.
    ejected_servers: usize,
    /// Whether there are servers and all of them are draining.
    all_draining: bool,
    /// Whether a list has been received from discovery itself, and not only from the cache.
    received_from_discovery: bool,
}

impl Fleet {
    /// Number of known servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// The server at `index`.
    pub fn server(&self, index: usize) -> &Server {
        &self.servers[index]
    }

    /// The server at `index`.
    pub fn server_mut(&mut self, index: usize) -> &mut Server {
        &mut self.servers[index]
    }

    /// All servers, sorted by zone and ring position.
    pub fn servers_mut(&mut self) -> &mut [Server] {
        &mut self.servers
    }

    /// A server and its zone, `None` if the server is unknown.
    pub fn server_in_zone(&mut self, id: ServerId) -> Option<ServerInZone<'_>> {
        let server = &mut self.servers[*self.index_by_id.get(&id)?];
        let zone = self.zones.entry(server.entry().zone).or_default();
        Some(ServerInZone { server, zone })
    }

    /// The zones by their ids.
    pub fn zones(&self) -> &BTreeMap<ZoneId, Zone> {
        &self.zones
    }

    /// A zone, `None` if it is unknown.
    pub fn zone_mut(&mut self, id: ZoneId) -> Option<&mut Zone> {
        self.zones.get_mut(&id)
    }

    /// Sum of the concurrency limits of all zones, in attempts.
    pub fn total_limit(&self) -> f64 {
        self.zones.values().map(|zone| zone.limit.limit()).sum()
    }

    /// Number of ready servers.
    pub fn ready_servers(&self) -> usize {
        self.ready_servers
    }

    /// Number of ready servers other than the one at `index`.
    pub fn other_ready_servers(&self, index: usize) -> usize {
        self.ready_servers - usize::from(self.servers[index].is_ready())
    }

    /// Number of servers with a breaker that is not closed.
    pub fn ejected_servers(&self) -> usize {
        self.ejected_servers
    }

    /// Whether there are servers and all of them are draining.
    pub fn all_draining(&self) -> bool {
        self.all_draining
    }

    /// Whether a list has been received from discovery itself, and not only from the cache.
    pub fn received_from_discovery(&self) -> bool {
        self.received_from_discovery
    }

    /// Records that a list has been received from discovery itself.
    pub fn mark_received_from_discovery(&mut self) {
        self.received_from_discovery = true;
    }

    /// Takes a slot for an attempt at the server. Does nothing if the server is `None` or unknown.
    pub fn take_slot_by_id(&mut self, server: Option<ServerId>) {
        if let Some(&index) = server.and_then(|id| self.index_by_id.get(&id)) {
            self.take_slot(index);
        }
    }

    /// Takes a slot for an attempt at the server at `index`.
    pub fn take_slot(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.take_slot();
        self.zones.entry(server.entry().zone).or_default().limit.take_slot();
    }

    /// Returns the index of an entry's server. An unknown server is added as a placeholder.
    pub fn index_or_placeholder(&mut self, entry: &ServerEntry) -> usize {
        let index = *self.index_by_id.entry(entry.id).or_insert(self.servers.len());
        if index == self.servers.len() {
            self.servers.push(Server::placeholder(entry));
        }
        index
    }

    /// Updates the entry of the server at `index`, whose process has not changed.
    pub fn update_entry(&mut self, index: usize, entry: ServerEntry) {
        let others_ready = self.other_ready_servers(index);
        self.servers[index].update_entry(entry);
        self.ready_servers = others_ready + usize::from(self.servers[index].is_ready());
    }

    /// Replaces the process of the server at `index` by a new one about which nothing is learned yet. Only
    /// the number of attempts in flight is kept.
    pub fn replace_process(
        &mut self,
        index: usize,
        entry: ServerEntry,
        effective_start: Option<Micros>,
        breakers: Breakers,
    ) {
        let others_ready = self.other_ready_servers(index);
        self.servers[index].replace_process(entry, effective_start, breakers);
        self.ready_servers = others_ready + usize::from(self.servers[index].is_ready());
    }

    /// Marks the servers that a complete list does not contain as removed.
    pub fn mark_unlisted_removed(&mut self, list: &[ServerEntry]) {
        let listed: BTreeSet<ServerId> = list.iter().map(|entry| entry.id).collect();
        for server in self.servers.iter_mut().filter(|server| !listed.contains(&server.entry().id)) {
            server.mark_removed();
        }
    }

    /// Drops the servers that are marked as removed.
    pub fn drop_removed(&mut self) {
        self.servers.retain(|server| !server.is_removed());
    }

    /// Recounts the ready, ejected and usable servers after a list or a breaker has changed.
    pub fn recount_servers(&mut self, context: &mut Context) {
        context.count_examined(self.servers.len());
        for zone in self.zones.values_mut() {
            zone.limit.reset_usable_servers();
        }
        for server in self.servers.iter().filter(|server| server.is_usable()) {
            self.zones.entry(server.entry().zone).or_default().count_usable_server();
        }
        self.ready_servers = self.servers.iter().filter(|server| server.is_ready()).count();
        self.ejected_servers = self.servers.iter().filter(|server| server.breakers.ejected()).count();
    }

    /// Recounts the servers and slots of each zone, drops zones without servers, and records whether all
    /// servers are draining.
    pub fn recount_zones(&mut self) {
        for zone in self.zones.values_mut() {
            zone.reset_counts();
        }
        for server in &self.servers {
            self.zones.entry(server.entry().zone).or_default().count_server(server.in_flight());
        }
        self.zones.retain(|_, zone| !zone.is_empty());
        self.all_draining = !self.servers.is_empty() && self.servers.iter().all(Server::is_draining);
    }

    /// Sorts the servers by zone, ring position and id, and rebuilds the index.
    pub fn sort_servers(&mut self) {
        self.servers.sort_by_key(|server| {
            let entry = server.entry();
            (entry.zone, entry.ring_position, entry.id)
        });
        let ids = self.servers.iter().map(|server| server.entry().id);
        self.index_by_id = ids.enumerate().map(|(index, id)| (id, index)).collect();
    }

    /// Marks the preferred servers of each zone. `preferred_range` returns their range for a zone and its
    /// number of servers. The servers must be sorted.
    pub fn assign_preferred(&mut self, preferred_range: impl Fn(ZoneId, usize) -> RingRange) {
        let mut start = 0;
        for servers in self.servers.chunk_by_mut(|a, b| a.entry().zone == b.entry().zone) {
            let count = servers.len();
            let id = servers[0].entry().zone;
            let range = preferred_range(id, count);
            let zone = self.zones.entry(id).or_default();
            zone.clear_indexes();
            for (offset, server) in servers.iter_mut().enumerate() {
                server.set_preferred(range.contains(offset, count));
                zone.add_index(start + offset, server.is_preferred());
            }
            start += count;
        }
    }

    /// Updates the fair share of this balancer in each zone's concurrency limit.
    pub fn update_fair_shares(&mut self, settings: &Settings) {
        for (&id, zone) in &mut self.zones {
            zone.update_fair_share(settings, id);
        }
    }

    /// Multiplies the number of abandoned attempts of each zone by `remaining`.
    pub fn decay_abandoned(&mut self, remaining: f64) {
        for zone in self.zones.values_mut() {
            zone.limit.decay_abandoned(remaining);
        }
    }

    /// Exports the limits of the zones and the breakers of the servers.
    pub fn export(&self, learned: &mut LearnedState) {
        learned.zones = self.zones.iter().map(|(&id, zone)| zone.limit.export(id)).collect();
        learned.servers = self.servers.iter().map(|server| server.export(learned.saved_at)).collect();
    }

    /// Imports the limits of the zones and the breakers of the servers that are known.
    pub fn import(&mut self, learned: &LearnedState) {
        for learned_zone in &learned.zones {
            if let Some(zone) = self.zones.get_mut(&learned_zone.zone) {
                zone.limit.import(learned_zone);
            }
        }
        for learned_server in &learned.servers {
            if let Some(&index) = self.index_by_id.get(&learned_server.server) {
                self.servers[index].breakers.import(&learned_server.breakers);
            }
        }
    }
}
