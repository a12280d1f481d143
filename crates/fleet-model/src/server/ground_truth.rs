//! The true state of all servers, for the baseline policy with full knowledge.

use std::collections::BTreeMap;

use zincstand_policy::{Micros, ServerId};

use super::Server;

/// Rate of errors or of broken connections from which a server no longer counts as accepting requests.
const MAX_FAILURE_RATE: f64 = 0.02;
/// Smallest capacity by which a backlog is divided, in work per microsecond. It keeps the backlog finite.
const MIN_CAPACITY: f64 = 1e-9;

/// The true state of all servers at an instant.
pub struct GroundTruth<'a> {
    /// All servers, by id.
    pub(crate) servers: &'a [Server],
    /// The instant, on the world's clock.
    pub(crate) now: Micros,
}

/// The true state of one server.
#[derive(Clone, Copy, Debug)]
pub struct TrueState {
    /// Whether it would accept a request now and probably answer it.
    pub accepts: bool,
    /// Time until its current work is done, in microseconds.
    pub backlog: f64,
    /// Work that it does in a microsecond, in microseconds.
    pub capacity: f64,
    /// Number of requests that it may receive before it chokes or, if it cannot choke, before it is full.
    pub headroom: f64,
    /// Share of its full capacity that the server has reached by warming up.
    pub warm_share: f64,
    /// Whether it is choked.
    pub choked: bool,
}

/// Sum of the backlogs of the servers of a tier, and their number.
#[derive(Default)]
struct TierBacklog {
    sum: f64,
    servers: f64,
}

impl GroundTruth<'_> {
    /// Returns the largest mean backlog of the tiers after `tier`, in microseconds.
    pub fn backlog_of_later_tiers(&self, tier: u32) -> f64 {
        let mut tiers: BTreeMap<usize, TierBacklog> = BTreeMap::new();
        let is_answering = |server: &&Server| server.is_up() && !server.vanished && !server.silent;
        let later_servers = self.servers.iter().filter(|server| server.tier > tier as usize);
        for server in later_servers.filter(is_answering) {
            let backlog = tiers.entry(server.tier).or_default();
            backlog.sum += server.backlog(self.now);
            backlog.servers += 1.0;
        }
        tiers.values().map(|backlog| backlog.sum / backlog.servers).fold(0.0, f64::max)
    }

    /// Returns the state of a server. `None` if no server has this id.
    pub fn server(&self, server: ServerId) -> Option<TrueState> {
        let server = self.servers.get(server as usize)?;
        Some(TrueState {
            accepts: server.accepts(),
            backlog: server.backlog(self.now),
            capacity: server.capacity(self.now),
            headroom: server.headroom(),
            warm_share: server.warm_share(self.now),
            choked: server.is_choked(),
        })
    }
}

impl Server {
    /// Whether it would accept a request now and probably answer it.
    fn accepts(&self) -> bool {
        self.is_up()
            && !self.vanished
            && !self.is_draining()
            && !self.silent
            && !self.is_full()
            && self.error_rate < MAX_FAILURE_RATE
            && self.reset_rate < MAX_FAILURE_RATE
    }

    /// Returns the time until the current work is done, in microseconds.
    fn backlog(&self, now: Micros) -> f64 {
        self.pending_work / self.capacity(now).max(MIN_CAPACITY)
    }

    /// Returns the number of requests that the server may receive before it chokes or, if it cannot choke, before it is
    /// full.
    fn headroom(&self) -> f64 {
        let limit = match &self.choke {
            Some(choke) => choke.crowding_limit(self.properties.cores),
            None => (self.properties.slots + self.properties.queue_capacity) as f64,
        };
        limit - self.running_or_waiting()
    }
}
