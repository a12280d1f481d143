//! Choice of a server by the baseline with full knowledge.

use std::collections::BTreeMap;

use zincstand_policy::{Micros, ServerId, Settings};

use super::known_state::{KnownServer, OpenRequest};
use crate::server::{GroundTruth, TrueState};

/// Longest backlog for requests of the class with the shortest latency objective, in multiples of that objective. The
/// limit is highest for these requests because they need the least work for their utility.
const MAX_BACKLOG_SHORTEST_OBJECTIVE: f64 = 1.0;
/// Longest backlog for requests of the class with the longest latency objective, in multiples of the shortest
/// objective.
const MAX_BACKLOG_LONGEST_OBJECTIVE: f64 = 0.5;
/// Longest time in the queue, as a share of the latency objective.
const MAX_QUEUE_TIME_SHARE: f64 = 0.2;
/// Shortest time until the deadline with which a first attempt is sent, as a share of the latency objective.
const MIN_TIME_LEFT_SHARE: f64 = 0.6;
/// Largest backlog of a warming server, as a share of the work that would make it collapse.
const MAX_WARM_UP_WORK_SHARE: f64 = 0.25;
/// Penalty of a server in another zone, in microseconds of backlog.
const CROSS_ZONE_PENALTY: f64 = 40_000.0;
/// Largest tie-break between servers, in microseconds of backlog.
const MAX_TIE_BREAK: f64 = 1e3;

/// Data on which the choice of a server depends.
pub(super) struct FullKnowledge<'a> {
    /// Settings of the balancer.
    pub settings: &'a Settings,
    /// Servers on the endpoint list.
    pub servers: &'a BTreeMap<ServerId, KnownServer>,
    /// True state of all servers.
    pub truth: &'a GroundTruth<'a>,
    /// Current time, on the balancer's clock.
    pub now: Micros,
}

impl FullKnowledge<'_> {
    /// Chooses the server that would answer first among those that one more request would neither crowd nor overload
    /// during their warm-up. `None` if the request should wait.
    pub fn choose(&self, candidates: &[ServerId], request: &OpenRequest) -> Option<ServerId> {
        let max_backlog = self.max_backlog(request);
        if self.settings.tier == 0 && self.truth.backlog_of_later_tiers(0) > max_backlog {
            return None;
        }
        let mut best: Option<(f64, ServerId)> = None;
        for &id in candidates {
            let (Some(state), Some(known)) = (self.truth.server(id), self.servers.get(&id)) else { continue };
            if !self.can_take(&state, max_backlog) {
                continue;
            }
            let local = known.entry.zone == self.settings.zone;
            let penalty = if local { 0.0 } else { CROSS_ZONE_PENALTY };
            let score = state.backlog + penalty + MAX_TIE_BREAK * self.tie_break(id);
            if best.is_none_or(|(best_score, _)| score < best_score) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Returns the longest backlog of a server to which a request is sent, in microseconds. It is longer for classes
    /// with a shorter latency objective. It is unlimited in later tiers, because earlier tiers have already done work
    /// for the request.
    fn max_backlog(&self, request: &OpenRequest) -> f64 {
        if self.settings.tier != 0 {
            return f64::INFINITY;
        }
        let classes = &self.settings.classes;
        let shortest = classes.iter().map(|class| class.latency_objective).min().unwrap_or(0) as f64;
        let objective = classes[request.class].latency_objective;
        let rank = classes.iter().filter(|class| class.latency_objective < objective).count() as f64;
        let range = MAX_BACKLOG_LONGEST_OBJECTIVE - MAX_BACKLOG_SHORTEST_OBJECTIVE;
        let multiple = MAX_BACKLOG_SHORTEST_OBJECTIVE + range * rank / (classes.len() - 1).max(1) as f64;
        shortest * multiple
    }

    fn can_take(&self, state: &TrueState, max_backlog: f64) -> bool {
        let warm_up_limit =
            MAX_WARM_UP_WORK_SHARE * self.settings.rules.overload_window as f64 * state.warm_share;
        let overloaded_while_warming = state.warm_share < 1.0 && state.backlog > warm_up_limit;
        state.accepts
            && state.headroom > 1.0
            && !state.choked
            && !overloaded_while_warming
            && state.backlog <= max_backlog
    }

    /// Whether a request for which no attempt was sent was queued for too long, or has too little time left.
    pub fn is_too_late(&self, request: &OpenRequest) -> bool {
        let objective = self.settings.classes[request.class].latency_objective as f64;
        let time_left = (request.deadline - self.now) as f64;
        let queued_for = (self.now - request.arrived) as f64;
        let queued_too_long = queued_for > MAX_QUEUE_TIME_SHARE * objective && self.settings.tier == 0;
        let min_time_left = MIN_TIME_LEFT_SHARE * objective / f64::from(1 + self.settings.tier);
        request.attempts_sent == 0 && (queued_too_long || time_left < min_time_left)
    }

    /// Returns a number from 0 to 1 that differs between servers, balancers and instants, without a random draw.
    fn tie_break(&self, server: ServerId) -> f64 {
        let mixed = (u64::from(server) ^ self.now ^ u64::from(self.settings.balancer_index) << 20)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 40) as f64 / (1u64 << 24) as f64
    }
}
