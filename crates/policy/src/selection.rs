//! Selection: which server an attempt goes to.

use crate::circuit_breaker::BreakerPermission;
use crate::context::Context;
use crate::event::ZoneId;
use crate::fleet::{Fleet, Zone};
use crate::request::{Priority, Request};
use crate::retry;
use crate::slow_start;

/// Number that is added to the attempts in flight of a server that is not preferred.
const NOT_PREFERRED_PENALTY: f64 = 1.0;
/// Factor on the score of the server that had the request's last attempt.
const SAME_SERVER_FACTOR: f64 = 2.0;
/// Score of a server that is due for a trial: lower than all other scores.
const TRIAL_SCORE: f64 = -1.0;
/// Maximum number of preferred servers of a zone that are ranked for an attempt, and of its other servers. A
/// random range of a longer list is ranked: its best server nearly always has as few attempts in flight as
/// the best of the whole list.
const MAX_RANKED: usize = 32;

/// Returns whether the request may leave its zone: it has waited for at least `prices.cross_zone` median
/// latencies. `median` is the median latency, `None` while it is unknown.
pub(crate) fn may_cross_zones(context: &Context, request: &Request, median: Option<f64>) -> bool {
    let waited = (context.now() - request.started_at()) as f64;
    waited >= context.settings.prices.cross_zone * median.unwrap_or(1.0)
}

/// A server that may take the attempt. A candidate in the balancer's own zone is better than one in another
/// zone; otherwise the lower score is better.
#[derive(Clone, Copy)]
struct Candidate {
    remote: bool,
    score: f64,
    index: usize,
}

impl Candidate {
    fn is_better_than(&self, other: &Candidate) -> bool {
        (self.remote, self.score) < (other.remote, other.score)
    }
}

/// The search for the server of one attempt.
pub(crate) struct Selection<'a> {
    context: &'a mut Context,
    fleet: &'a Fleet,
    request: &'a Request,
    priority: Priority,
    may_cross_zones: bool,
    best: Option<Candidate>,
}

impl<'a> Selection<'a> {
    /// Creates a search without a candidate.
    pub fn new(
        context: &'a mut Context,
        fleet: &'a Fleet,
        request: &'a Request,
        priority: Priority,
        may_cross_zones: bool,
    ) -> Self {
        Selection { context, fleet, request, priority, may_cross_zones, best: None }
    }

    /// Returns the index of the server with the fewest attempts of this balancer in flight relative to its
    /// size, or `None` if no server may take the attempt. Servers of the balancer's zone come first, and
    /// preferred servers come before others.
    pub fn select(&mut self) -> Option<usize> {
        let zones = self.fleet.zones();
        let start = if zones.values().any(exceeds_max_ranked) { self.context.rng.usize(..) } else { 0 };
        for (&id, zone) in zones {
            if self.may_use(id, zone) {
                self.rank_preferred(zone, start);
            }
        }
        for (&id, zone) in zones {
            if self.may_use(id, zone) {
                self.rank_others(zone, start);
            }
        }
        self.best.map(|best| best.index)
    }

    fn may_use(&self, id: ZoneId, zone: &Zone) -> bool {
        let reachable = id == self.context.settings.zone || self.may_cross_zones;
        reachable && (self.request.body_pending() || zone.limit.has_capacity(self.context, self.priority))
    }

    /// Ranks the preferred servers of a zone.
    fn rank_preferred(&mut self, zone: &Zone, start: usize) {
        self.rank(zone.preferred(), start, |_| false);
    }

    /// Ranks the other servers of a zone until the best candidate beats them, so that most selections examine
    /// the preferred servers only.
    fn rank_others(&mut self, zone: &Zone, start: usize) {
        self.rank(zone.others(), start, Self::beats_not_preferred);
    }

    /// Ranks at most [`MAX_RANKED`] of the servers, from a random `start`, until `done` returns true.
    fn rank(&mut self, servers: &[usize], start: usize, done: fn(&Self) -> bool) {
        let first = if servers.len() > MAX_RANKED { start % servers.len() } else { 0 };
        let mut remaining = MAX_RANKED;
        for &index in servers[first..].iter().chain(&servers[..first]) {
            if remaining == 0 || done(self) {
                return;
            }
            self.context.count_examined(1);
            let Some(candidate) = self.candidate(index) else { continue };
            remaining -= 1;
            if self.best.is_none_or(|best| candidate.is_better_than(&best)) {
                self.best = Some(candidate);
            }
        }
    }

    /// Whether the best candidate is in the balancer's zone and scores less than any server of weight 1 that
    /// is not preferred and not due for a trial.
    fn beats_not_preferred(&self) -> bool {
        self.best.is_some_and(|best| !best.remote && best.score < NOT_PREFERRED_PENALTY)
    }

    /// Returns the server at `index` as a candidate, `None` if it may not take the attempt.
    fn candidate(&mut self, index: usize) -> Option<Candidate> {
        let server = self.fleet.server(index);
        let entry = server.entry();
        let ready = server.accepts_attempts(self.context.now());
        if !ready || !retry::in_dedup_scope(&self.context.settings, self.request, entry) {
            return None;
        }
        let permission = server.breakers.permission(self.request.class(), self.context.now());
        if permission == BreakerPermission::Denied {
            return None;
        }
        let size = entry.weight * slow_start::capacity_share(self.context, entry);
        let is_same_server = self.request.last_server() == Some(entry.id);
        let same_server_factor = if is_same_server { SAME_SERVER_FACTOR } else { 1.0 };
        // The random part spreads attempts over servers with equally many in flight.
        let spread = self.context.rng.f64() + if server.is_preferred() { 0.0 } else { NOT_PREFERRED_PENALTY };
        let load = (f64::from(server.in_flight()) + spread) * same_server_factor / size;
        let score = if permission == BreakerPermission::Trial { TRIAL_SCORE } else { load };
        Some(Candidate { remote: entry.zone != self.context.settings.zone, score, index })
    }
}

/// Whether a zone has too many preferred or other servers to rank all of them.
fn exceeds_max_ranked(zone: &Zone) -> bool {
    zone.preferred().len() > MAX_RANKED || zone.others().len() > MAX_RANKED
}
