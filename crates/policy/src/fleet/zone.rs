//! A zone as one balancer knows it.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::event::ZoneId;
use crate::settings::Settings;

/// The servers of one zone.
#[derive(Default)]
pub(crate) struct Zone {
    /// Number of its servers.
    server_count: u32,
    /// Indexes of the servers that this balancer prefers.
    preferred: Vec<usize>,
    /// Indexes of the other servers.
    others: Vec<usize>,
    /// Limit of this balancer's attempts in flight to the zone.
    pub limit: ConcurrencyLimit,
}

impl Zone {
    /// Whether it has no servers.
    pub fn is_empty(&self) -> bool {
        self.server_count == 0
    }

    /// Indexes of the servers that this balancer prefers.
    pub fn preferred(&self) -> &[usize] {
        &self.preferred
    }

    /// Indexes of the servers that this balancer does not prefer.
    pub fn others(&self) -> &[usize] {
        &self.others
    }

    /// Resets the counts of its servers and their attempts in flight.
    pub fn reset_counts(&mut self) {
        self.server_count = 0;
        self.limit.reset_slots();
    }

    /// Counts a server with its attempts in flight.
    pub fn count_server(&mut self, in_flight: u32) {
        self.server_count += 1;
        self.limit.add_slots(in_flight);
    }

    /// Counts a usable server.
    pub fn count_usable_server(&mut self) {
        self.limit.add_usable_server(self.server_count);
    }

    /// Clears the indexes of its servers.
    pub fn clear_indexes(&mut self) {
        self.preferred.clear();
        self.others.clear();
    }

    /// Adds the index of a server.
    pub fn add_index(&mut self, index: usize, preferred: bool) {
        let indexes = if preferred { &mut self.preferred } else { &mut self.others };
        indexes.push(index);
    }

    /// Updates the fair share of this balancer in the concurrency limit.
    pub fn update_fair_share(&mut self, settings: &Settings, id: ZoneId) {
        self.limit.update_fair_share(settings, id, self.server_count);
    }
}

/// A range of the servers of a zone in ring order, which wraps around at the end.
pub(crate) struct RingRange {
    /// Offset of its first server.
    pub first: usize,
    /// Number of its servers.
    pub len: usize,
}

impl RingRange {
    /// Whether the range contains the server at `offset` of `servers`.
    pub fn contains(&self, offset: usize, servers: usize) -> bool {
        (offset + servers - self.first % servers) % servers < self.len
    }
}
