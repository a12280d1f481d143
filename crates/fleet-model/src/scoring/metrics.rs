//! Counters that the world updates during a run.

use serde::{Deserialize, Serialize};

use super::Breach;

/// Counters of a run.
#[derive(Default)]
pub(crate) struct Metrics {
    /// First attempts of clients.
    pub first_attempts: u64,
    /// Attempts that balancers sent to servers.
    pub attempts: u64,
    /// Attempts to a server in another zone than the balancer's.
    pub cross_zone_attempts: u64,
    /// Health checks that balancers sent.
    pub health_checks: u64,
    /// New connections to servers.
    pub handshakes: u64,
    /// Retries of clients.
    pub client_retries: u64,
    /// Work that servers did, in microseconds.
    pub work: f64,
    /// Work that contributed to a response which a client received, in microseconds.
    pub useful_work: f64,
    /// Simulated events.
    pub events: u64,
    /// Reports of the first breaches.
    pub breaches: Vec<Breach>,
    /// Number of breaches of the rules, including those that were not reported.
    pub breach_count: u64,
    /// Counts by second and tier.
    pub tiers: Vec<Vec<TierCount>>,
    /// Counts of discovery by second.
    pub notifications: Vec<NotificationCount>,
}

impl Metrics {
    /// Returns the work that contributed to no response, in microseconds.
    pub fn wasted_work(&self) -> f64 {
        (self.work - self.useful_work).max(0.0)
    }

    /// Returns the share of the work that contributed to no response, and 0 without work.
    pub fn wasted_share(&self) -> f64 {
        if self.work > 0.0 { self.wasted_work() / self.work } else { 0.0 }
    }
}

/// Load of a tier caused by the first attempts of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TierCount {
    /// Requests that reached a balancer of the tier.
    pub requests: u64,
    /// Attempts that the balancers sent to the servers of the tier.
    pub attempts: u64,
    /// Sum over the requests of the share of the deadline that was left when they reached the balancer.
    pub time_left: f64,
    /// Work of the servers of the tier, in microseconds.
    pub work: f64,
}

/// Notifications that discovery sent, and calls that it received, in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotificationCount {
    /// Number of lists and deltas sent to balancers.
    pub messages: u64,
    /// Number of entries in these lists and deltas.
    pub entries: u64,
    /// Number of calls from balancers.
    pub calls: u64,
}
