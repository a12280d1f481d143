//! Capacity of a server, the conditions that reduce it, and the time of its next change.

use std::cmp::Reverse;

use zincstand_policy::Micros;

use super::choke::ChokeState;
use super::{Server, Slowdown};

/// Work that warms a server up, as a share of the work that it could do in its warm-up time.
const WARM_UP_WORK_SHARE: f64 = 0.5;
/// Number of steps into which the warm-up time is divided. The capacity of a warming server is recomputed after each.
const WARM_UP_STEPS: Micros = 64;
/// Smallest share of its capacity that a server keeps, however much its connections consume.
const MIN_CONNECTION_FACTOR: f64 = 0.1;
/// Longest delay of a planned change, in microseconds. It applies to servers whose jobs hardly progress.
const MAX_PLANNED_DELAY: f64 = 1e12;

/// Condition that determines how a server serves its jobs. If several conditions apply, the first variant is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Condition {
    /// It answers no request.
    Silent,
    /// It is slow because it was crowded for too long.
    Choked,
    /// It has not reached its full capacity since it started.
    WarmingUp,
    /// A fault makes it slow.
    Slowed,
    /// No other condition applies.
    Healthy,
}

impl Server {
    /// Returns the share of its full capacity that the server has reached by warming up. It is below 1 while the server
    /// warms up.
    pub fn warm_share(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let time_progress = now.saturating_sub(started) as f64 / self.properties.warm_up_time.max(1) as f64;
        let warm_up_work = WARM_UP_WORK_SHARE
            * self.properties.cores
            * self.properties.speed
            * self.properties.warm_up_time as f64;
        let progress = time_progress.max(self.work_since_start / warm_up_work.max(1.0));
        (self.properties.initial_capacity + (1.0 - self.properties.initial_capacity) * progress).min(1.0)
    }

    /// Returns the work that the server does in a microsecond if all its cores are busy.
    pub fn capacity(&self, now: Micros) -> f64 {
        let choke_factor = self.choke.as_ref().map_or(1.0, ChokeState::slowdown);
        let fault_factor = match self.slowdown {
            Some(Slowdown { factor, class: None }) => factor,
            _ => 1.0,
        };
        let excess_jobs = (self.jobs.len() as f64 - self.properties.thrash_threshold).max(0.0);
        let connection_factor = 1.0
            - self.properties.full_table_overhead * f64::from(self.connections)
                / f64::from(self.properties.max_connections);
        self.properties.cores
            * self.properties.speed
            * self.warm_share(now)
            * connection_factor.max(MIN_CONNECTION_FACTOR)
            / ((1.0 + self.properties.thrash * excess_jobs) * choke_factor * fault_factor)
    }

    /// Returns the work that the server does in a microsecond if it is warm and healthy and all its cores are busy.
    pub fn full_capacity(&self) -> f64 {
        self.properties.cores * self.properties.speed
    }

    /// Returns the condition of the server.
    pub fn condition(&self, now: Micros) -> Condition {
        if self.silent || self.vanished {
            Condition::Silent
        } else if self.is_choked() {
            Condition::Choked
        } else if self.warm_share(now) < 1.0 {
            Condition::WarmingUp
        } else if self.slowdown.is_some() {
            Condition::Slowed
        } else {
            Condition::Healthy
        }
    }

    /// Returns the time of the next change of the state if nothing arrives before: a job ends, the capacity grows, or
    /// the server chokes or recovers. `None` if the state will not change.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let mut at = Micros::MAX;
        let rate = self.service_rate(now);
        if let (Some(Reverse((done_at, _))), true) = (self.running.peek(), rate > 0.0) {
            let remaining = (f64::from_bits(*done_at) - self.virtual_service).max(0.0);
            let delay = (remaining / rate).ceil().min(MAX_PLANNED_DELAY);
            at = now + (delay as Micros).max(1);
            if self.warm_share(now) < 1.0 {
                at = at.min(now + (self.properties.warm_up_time / WARM_UP_STEPS).max(1));
            }
        }
        if let Some(next) = self.choke.as_ref().and_then(|choke| choke.next_change(now)) {
            at = at.min(next);
        }
        (at < Micros::MAX).then_some(at)
    }
}
