//! Selection: which server an attempt goes to.

use crate::circuit_breaker::Admission;
use crate::context::Context;
use crate::event::{ServerState, ZoneId};
use crate::fleet::{Fleet, ZoneState};
use crate::request::{Priority, Request};
use crate::retry;
use crate::slow_start;

/// Calls in flight that a server outside the preferred ones seems to have more.
const NOT_PREFERRED: f64 = 1.0;
/// Factor on the score of the server that had the last attempt.
const SAME_SERVER: f64 = 2.0;
/// Score of a server that is due for a trial: before all others of its zone.
const TRIAL_SCORE: f64 = -1.0;
/// At most so many of a zone's preferred servers, and of its others, are ranked for a call: a random stretch.
/// The best of these has nearly always as few calls in flight as the best of all.
const MAX_RANKED: usize = 32;

/// Whether the request may leave its zone: a crossing costs as much as a wait in proportion to its price.
pub(crate) fn may_cross_zones(context: &Context, request: &Request, median: Option<f64>) -> bool {
    let waited = (context.now - request.arrived_at) as f64;
    waited >= context.settings.prices.cross_zone * median.unwrap_or(1.0)
}

/// A server that may take the attempt; less is better, by zone, then by score.
#[derive(Clone, Copy)]
struct Candidate {
    remote: bool,
    score: f64,
    index: usize,
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
    pub fn new(
        context: &'a mut Context,
        fleet: &'a Fleet,
        request: &'a Request,
        priority: Priority,
        may_cross_zones: bool,
    ) -> Self {
        Selection { context, fleet, request, priority, may_cross_zones, best: None }
    }

    /// Index of the ready server with fewest own calls in flight for its size; own zone first.
    pub fn select(&mut self) -> Option<usize> {
        let zones = &self.fleet.zones;
        let ranked_in_part =
            |zone: &ZoneState| zone.preferred.len() > MAX_RANKED || zone.others.len() > MAX_RANKED;
        let start = if zones.values().any(ranked_in_part) { self.context.rng.usize(..) } else { 0 };
        for (&id, zone) in zones {
            if self.may_use(id, zone) {
                self.rank(&zone.preferred, start, |_| false);
            }
        }
        // Prevents a ranking of the whole fleet for each call: the others seem to have one more.
        for (&id, zone) in zones {
            if self.may_use(id, zone) {
                self.rank(&zone.others, start, Self::is_good_enough);
            }
        }
        self.best.map(|best| best.index)
    }

    fn may_use(&self, id: ZoneId, zone: &ZoneState) -> bool {
        let reachable = id == self.context.settings.zone || self.may_cross_zones;
        reachable && (self.request.body_pending || zone.has_capacity(self.context, self.priority))
    }

    /// Ranks a stretch of the servers, until `done`.
    fn rank(&mut self, servers: &[usize], start: usize, done: fn(&Self) -> bool) {
        let first = if servers.len() > MAX_RANKED { start % servers.len() } else { 0 };
        let mut remaining = MAX_RANKED;
        for &index in servers[first..].iter().chain(&servers[..first]) {
            if remaining == 0 || done(self) {
                return;
            }
            self.context.servers_examined += 1;
            let Some(new) = self.candidate(index) else { continue };
            remaining -= 1;
            if self.best.is_none_or(|best| (new.remote, new.score) < (best.remote, best.score)) {
                self.best = Some(new);
            }
        }
    }

    /// None that is not preferred could be better.
    fn is_good_enough(&self) -> bool {
        self.best.is_some_and(|best| !best.remote && best.score < NOT_PREFERRED)
    }

    fn candidate(&mut self, index: usize) -> Option<Candidate> {
        let server = &self.fleet.servers[index];
        let entry = &server.entry;
        let ready = entry.state == ServerState::Ready && self.context.now >= server.not_before;
        if !ready || !retry::in_dedup_scope(&self.context.settings, self.request, entry) {
            return None;
        }
        let admission = server.breakers.admission(self.request.class, self.context.now);
        if admission == Admission::Blocked {
            return None;
        }
        let size = entry.weight * slow_start::capacity_share(self.context, entry);
        let again = if self.request.last_server == Some(entry.id) { SAME_SERVER } else { 1.0 };
        let spread = self.context.rng.f64() + if server.preferred { 0.0 } else { NOT_PREFERRED };
        let load = (f64::from(server.in_flight) + spread) * again / size;
        let score = if admission == Admission::Trial { TRIAL_SCORE } else { load };
        Some(Candidate { remote: entry.zone != self.context.settings.zone, score, index })
    }
}
