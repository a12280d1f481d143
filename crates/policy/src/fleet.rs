//! Servers and zones as one balancer knows them: tables with an index, and the counts of their slots.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::circuit_breaker::Breakers;
use crate::event::{Micros, ServerEntry, ServerId, ServerState, ZoneId};

/// A server and what this balancer's own attempts tell of it.
#[derive(Default)]
pub(crate) struct Server {
    /// As listed, but for its start: see [`crate::slow_start::effective_start`].
    pub entry: ServerEntry,
    /// Its start as listed, which tells one process from the next.
    pub listed_start: Option<Micros>,
    pub in_flight: u32,
    pub breakers: Breakers,
    /// The next attempt goes no earlier: it is cold or rejected the last one.
    pub not_before: Micros,
    /// Since when its idle connections have been so.
    pub idle_since: Vec<Micros>,
    /// One of the few servers that this balancer prefers.
    pub preferred: bool,
}

impl Server {
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }

    /// It counts as capacity of its zone.
    pub fn is_usable(&self) -> bool {
        self.is_ready() && self.breakers.all_classes_closed()
    }

    /// Gives back the slot of an attempt that ended, if it had one.
    pub fn release_slot(&mut self, zone: &mut ZoneState) {
        if self.in_flight > 0 {
            self.in_flight -= 1;
            zone.in_flight = zone.in_flight.saturating_sub(1);
        }
    }
}

/// The servers of one zone, as far as this balancer's own attempts tell of them.
#[derive(Default)]
pub(crate) struct ZoneState {
    pub servers: u32,
    /// Indexes of the servers that this balancer prefers.
    pub preferred: Vec<usize>,
    /// Indexes of the other servers.
    pub others: Vec<usize>,
    /// Attempts that may be in flight at once.
    pub concurrency_limit: f64,
    /// The limit that would be this balancer's fair share.
    pub fair_share: f64,
    /// The part of the limit that the servers left may take while others drain or are ejected.
    pub usable_share: f64,
    pub in_flight: u32,
    /// Attempts that were given up and that servers may still work on; they decay.
    pub abandoned_in_flight: f64,
    /// With a limit under one attempt: nothing is sent earlier.
    pub resume_at: Micros,
}

/// All known servers, sorted by zone and ring position, and their zones.
#[derive(Default)]
pub(crate) struct Fleet {
    pub servers: Vec<Server>,
    /// Prevents searches of the whole list for a call's events.
    pub index_by_id: HashMap<ServerId, usize>,
    pub zones: BTreeMap<ZoneId, ZoneState>,
    /// Servers that are ready.
    pub ready: usize,
    /// Servers with a breaker that is not closed.
    pub ejected: usize,
    /// Servers are known, and all of them drain.
    pub all_draining: bool,
    /// Discovery has been heard: what it tells from now on is news.
    pub heard_discovery: bool,
}

impl Fleet {
    /// Takes a slot for an attempt at the server, if there is one and it is known.
    pub fn take_slot_of(&mut self, server: Option<ServerId>) {
        if let Some(&index) = server.and_then(|id| self.index_by_id.get(&id)) {
            self.take_slot(index);
        }
    }

    /// Takes a slot for an attempt at the server at `index`.
    pub fn take_slot(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.in_flight += 1;
        self.zones.entry(server.entry.zone).or_default().in_flight += 1;
    }

    /// Index of an entry's server; a new one without breakers, as yet removed, if it is not known.
    pub fn index_or_placeholder(&mut self, entry: &ServerEntry) -> usize {
        let index = *self.index_by_id.entry(entry.id).or_insert(self.servers.len());
        if index == self.servers.len() {
            let entry = ServerEntry { state: ServerState::Removed, ..entry.clone() };
            self.servers.push(Server { entry, ..Server::default() });
        }
        index
    }

    /// Marks as removed what a complete list does not name.
    pub fn mark_unlisted_removed(&mut self, list: &[ServerEntry]) {
        let listed: BTreeSet<ServerId> = list.iter().map(|entry| entry.id).collect();
        for server in self.servers.iter_mut().filter(|server| !listed.contains(&server.entry.id)) {
            server.entry.state = ServerState::Removed;
        }
    }

    /// Counts the servers that are ready and those that are ejected.
    pub fn recount_servers(&mut self) {
        self.ready = self.servers.iter().filter(|server| server.is_ready()).count();
        self.ejected = self.servers.iter().filter(|server| server.breakers.ejected()).count();
    }

    /// Counts the servers and slots of each zone, forgets zones without servers, and notes if all servers
    /// drain.
    pub fn recount_zones(&mut self) {
        for zone in self.zones.values_mut() {
            zone.servers = 0;
            zone.in_flight = 0;
        }
        for server in &self.servers {
            let zone = self.zones.entry(server.entry.zone).or_default();
            zone.servers += 1;
            zone.in_flight += server.in_flight;
        }
        self.zones.retain(|_, zone| zone.servers > 0);
        let draining = |server: &Server| server.entry.state == ServerState::Draining;
        self.all_draining = !self.servers.is_empty() && self.servers.iter().all(draining);
    }

    /// Sorts the servers by zone, ring position and id, and rebuilds the index.
    pub fn sort_servers(&mut self) {
        self.servers.sort_by_key(|server| (server.entry.zone, server.entry.ring_position, server.entry.id));
        let ids = self.servers.iter().map(|server| server.entry.id);
        self.index_by_id = ids.enumerate().map(|(index, id)| (id, index)).collect();
    }
}
