//! A server as one balancer knows it.

use crate::circuit_breaker::Breakers;
use crate::event::{Micros, ServerEntry, ServerState};
use crate::learned::LearnedServer;

/// A server, and what this balancer learned about it from its own attempts.
#[derive(Default)]
pub(crate) struct Server {
    /// Its entry of the endpoint list. `started` is the effective start, see
    /// [`crate::slow_start::effective_start`].
    entry: ServerEntry,
    /// Start time of its process as listed. A new process has another start time.
    listed_start: Option<Micros>,
    /// Attempts of this balancer in flight to it.
    in_flight: u32,
    /// Its circuit breakers.
    pub breakers: Breakers,
    /// Earliest time for the next attempt. Set while the server is warming up, and after it rejected an
    /// attempt.
    not_before: Micros,
    /// Times at which its idle connections became idle, oldest first.
    idle_since: Vec<Micros>,
    /// Whether it is one of the few servers that this balancer prefers.
    preferred: bool,
}

/// The state of a server that the counts of its fleet depend on.
#[derive(PartialEq)]
pub(crate) struct Availability {
    usable: bool,
    ejected: bool,
}

impl Server {
    /// Creates a server that was not known before: it counts as removed, and has no breakers.
    pub fn placeholder(entry: &ServerEntry) -> Self {
        let entry = ServerEntry { state: ServerState::Removed, ..entry.clone() };
        Server { entry, ..Server::default() }
    }

    /// Its entry of the endpoint list, with the effective start of its process.
    pub fn entry(&self) -> &ServerEntry {
        &self.entry
    }

    /// Attempts of this balancer in flight to it.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether it is one of the few servers that this balancer prefers.
    pub fn is_preferred(&self) -> bool {
        self.preferred
    }

    /// Whether discovery lists it as ready.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }

    /// Whether discovery lists it as draining.
    pub fn is_draining(&self) -> bool {
        self.entry.state == ServerState::Draining
    }

    /// Whether it is removed.
    pub fn is_removed(&self) -> bool {
        self.entry.state == ServerState::Removed
    }

    /// Whether it counts as capacity of its zone.
    pub fn is_usable(&self) -> bool {
        self.is_ready() && self.breakers.common_closed()
    }

    /// Whether it is ready and not paused.
    pub fn accepts_attempts(&self, now: Micros) -> bool {
        self.is_ready() && now >= self.not_before
    }

    /// Returns the state that the counts of its fleet depend on.
    pub fn availability(&self) -> Availability {
        Availability { usable: self.is_usable(), ejected: self.breakers.ejected() }
    }

    /// Whether a listed entry describes the process that is already known.
    pub fn is_same_process(&self, listed: &ServerEntry) -> bool {
        self.listed_start == listed.started && !self.breakers.is_empty()
    }

    /// Updates its entry. The effective start is kept because the process has not changed.
    pub fn update_entry(&mut self, mut entry: ServerEntry) {
        entry.started = self.entry.started;
        self.entry = entry;
    }

    /// Replaces its process by a new one about which nothing is learned yet. Only the number of attempts in
    /// flight is kept.
    pub fn replace_process(
        &mut self,
        mut entry: ServerEntry,
        effective_start: Option<Micros>,
        breakers: Breakers,
    ) {
        let listed_start = entry.started;
        entry.started = effective_start;
        *self = Server { entry, listed_start, in_flight: self.in_flight, breakers, ..Server::default() };
    }

    /// Marks it as removed.
    pub fn mark_removed(&mut self) {
        self.entry.state = ServerState::Removed;
    }

    /// Records whether this balancer prefers it.
    pub fn set_preferred(&mut self, preferred: bool) {
        self.preferred = preferred;
    }

    /// Counts an attempt in flight.
    pub fn take_slot(&mut self) {
        self.in_flight += 1;
    }

    /// Stops counting an attempt in flight. Returns false if none was counted.
    pub fn release_slot(&mut self) -> bool {
        let has_slot = self.in_flight > 0;
        self.in_flight = self.in_flight.saturating_sub(1);
        has_slot
    }

    /// Sends it no attempt before `time`.
    pub fn pause_until(&mut self, time: Micros) {
        self.not_before = time;
    }

    /// Takes the connection that became idle last, and returns how long it was idle, 0 if there is none.
    pub fn take_idle_connection(&mut self, now: Micros) -> Micros {
        self.idle_since.pop().map_or(0, |since| now - since)
    }

    /// Adds a connection that becomes idle now.
    pub fn add_idle_connection(&mut self, now: Micros) {
        self.idle_since.push(now);
    }

    /// Removes all idle connections.
    pub fn clear_idle_connections(&mut self) {
        self.idle_since.clear();
    }

    /// Exports its breakers.
    pub fn export(&self, now: Micros) -> LearnedServer {
        LearnedServer { server: self.entry.id, breakers: self.breakers.export(now) }
    }
}
