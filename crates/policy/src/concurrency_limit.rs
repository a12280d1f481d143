//! Concurrency limits: how many attempts of this balancer may be in flight to the servers of a zone.

use crate::context::Context;
use crate::event::{Micros, Outcome, ZoneId};
use crate::jitter::jitter;
use crate::learned::LearnedZone;
use crate::request::{AttemptEnd, Priority};
use crate::settings::Settings;

/// Fair share of a balancer in a zone's limit, in attempts per tier and per server. The zone's servers are
/// divided among the balancers; see [`fair_share`].
const FAIR_SHARE_ATTEMPTS: f64 = 4.0;
/// Maximum factor by which the growth of a limit is raised below its fair share, or reduced above it.
const MAX_FAIRNESS_FACTOR: f64 = 3.0;
/// Minimum of a limit, in attempts. A limit of less than one attempt allows one attempt, with pauses.
const MIN_LIMIT: f64 = 0.05;
/// Change of a limit for one outcome, in attempts. It is scaled down in proportion for a limit of less than
/// one attempt.
const LIMIT_STEP: f64 = 0.5;
/// A limit grows only while at least this share of it is in use.
const MIN_UTILIZATION: f64 = 0.7;
/// Share of the responses that may be later than the queueing target before the limit shrinks.
const TOLERATED_LATE_SHARE: f64 = 0.25;
/// Queueing target: share of the time between the lowest median and the latency objective that a response may
/// spend in queues.
const QUEUEING_TARGET: f64 = 0.7;
/// A response that takes more than this many times the lowest recent median is slow.
const SLOW_FACTOR: f64 = 1.6;
/// Lateness of a slow response within the queueing target: the limit shrinks when more than half of the
/// responses are slow.
const SLOW_LATENESS: f64 = 2.0 * TOLERATED_LATE_SHARE;
/// Minimum of a zone's first limit, in attempts.
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// Factor on the limit for requests of high priority. Long requests of little weight would otherwise occupy
/// all slots of a small limit.
const HIGH_PRIORITY_FACTOR: f64 = 2.0;
/// Slots that a usable server may take, as a multiple of its even share of the limit. The slots beyond its
/// share replace those of servers that are ejected or draining.
const OVERFLOW_FACTOR: f64 = 1.5;
/// Time after which half of the abandoned attempts are assumed to have ended, in median latencies. If the
/// half-life followed the 99th percentile, attempts abandoned in a short slow period would fill the limit.
const ABANDONED_HALF_LIFE_MEDIANS: f64 = 2.0;

/// Information about queueing at the servers, derived from the end of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum QueueSignal {
    /// The end of the attempt gives no information about queueing.
    Unknown,
    /// Lateness of the response: 0 if it was fast, 1 if it was later than the queueing target.
    Lateness(f64),
}

impl QueueSignal {
    /// Derives the signal from the end of an attempt. Times are in microseconds; `lowest_median` is 0 if
    /// unknown, and `objective` is this tier's part of the latency objective.
    pub fn of(outcome: Outcome, latency: f64, lowest_median: f64, work_scale: f64, objective: f64) -> Self {
        let known = lowest_median > 0.0;
        let slow = if known { SLOW_FACTOR * lowest_median * work_scale } else { f64::INFINITY };
        // Only the time beyond the lowest median is queueing: a call that depends on further tiers takes long
        // without any queue.
        let service_time = (lowest_median * work_scale).min(objective);
        let target = service_time + QUEUEING_TARGET * (objective - service_time);
        let lateness = match outcome {
            // An attempt that was cut short because its request had been queued here for a long time gives no
            // information about the servers. Counted as late, it would shrink the limit, and the queue would
            // grow further.
            Outcome::TimedOut | Outcome::Error if latency <= target.min(slow) => return Self::Unknown,
            Outcome::Rejected => 1.0,
            Outcome::Ok | Outcome::TimedOut | Outcome::Error if latency > target => 1.0,
            Outcome::Ok | Outcome::TimedOut | Outcome::Error if latency > slow => SLOW_LATENESS,
            Outcome::Ok => 0.0,
            _ => return Self::Unknown,
        };
        Self::Lateness(lateness)
    }
}

/// The concurrency limit of one zone and the attempts that count against it.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    /// Maximum number of attempts in flight.
    limit: f64,
    /// Fair share of this balancer in the zone's limit, in attempts.
    fair_share: f64,
    /// Share of the limit that the usable servers may take. It is above 1 if they can take all of it.
    usable_share: f64,
    /// Attempts in flight.
    in_flight: u32,
    /// Decayed number of attempts that were given up and that the servers may still be processing.
    abandoned: f64,
    /// Time before which no attempt is sent. Set while the limit is less than one attempt.
    resume_at: Micros,
}

impl ConcurrencyLimit {
    /// Maximum number of attempts in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Updates the fair share for a zone of `servers` servers, and sets the first limit of a new zone.
    pub fn update_fair_share(&mut self, settings: &Settings, zone: ZoneId, servers: u32) {
        self.fair_share = fair_share(settings, zone, servers);
        if self.limit == 0.0 {
            self.limit = self.fair_share.max(MIN_INITIAL_LIMIT);
        }
    }

    /// Starts a new count of the usable servers.
    pub fn reset_usable_servers(&mut self) {
        self.usable_share = 0.0;
    }

    /// Counts a usable server of the `servers` in the zone.
    ///
    /// When servers are ejected or draining, the remaining servers take over only some of their slots. Taking
    /// over all of them would overload a small zone permanently.
    pub fn add_usable_server(&mut self, servers: u32) {
        self.usable_share += OVERFLOW_FACTOR / f64::from(servers.max(1));
    }

    /// Returns whether one more attempt may be sent. Abandoned attempts take slots at the first tier only.
    pub fn has_capacity(&self, context: &Context, priority: Priority) -> bool {
        let abandoned = if context.settings.tier == 0 { self.abandoned } else { 0.0 };
        let usable = (self.limit * self.usable_share.min(1.0)).max(1.0);
        let factor = if priority == Priority::High { HIGH_PRIORITY_FACTOR } else { 1.0 };
        let is_full = f64::from(self.in_flight) + abandoned >= usable * factor;
        let is_paused = context.now() < self.resume_at && priority == Priority::Normal;
        !is_full && !is_paused
    }

    /// Counts an attempt in flight.
    pub fn take_slot(&mut self) {
        self.in_flight += 1;
    }

    /// Stops counting an attempt in flight.
    pub fn release_slot(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Starts a new count of the attempts in flight.
    pub fn reset_slots(&mut self) {
        self.in_flight = 0;
    }

    /// Adds the attempts in flight to one server.
    pub fn add_slots(&mut self, in_flight: u32) {
        self.in_flight += in_flight;
    }

    /// Raises or lowers the limit at the end of an attempt whose slot has not been released yet.
    pub fn adjust(&mut self, context: &mut Context, end: &AttemptEnd, lateness: f64) {
        let in_use = f64::from(self.in_flight) >= MIN_UTILIZATION * self.limit;
        let growth =
            if lateness > 0.0 || in_use { TOLERATED_LATE_SHARE * self.fairness_factor() } else { 0.0 };
        self.limit = (self.limit + self.step() * (growth - lateness)).max(MIN_LIMIT);
        if self.limit < 1.0 {
            let pause = end.latency as f64 * (1.0 / self.limit - 1.0);
            self.resume_at = context.now() + (pause * jitter(&mut context.rng)) as Micros;
        }
    }

    /// Factor on the growth of the limit: above 1 for a limit below its fair share, below 1 for one above it.
    /// Without it, the balancers that grew their limits first would keep the slots of servers that all
    /// balancers share.
    fn fairness_factor(&self) -> f64 {
        (self.fair_share / self.limit).clamp(1.0 / MAX_FAIRNESS_FACTOR, MAX_FAIRNESS_FACTOR)
    }

    /// Change of the limit for one outcome, in proportion to a limit of less than one attempt.
    ///
    /// Balancers may outnumber the servers, so that one attempt of each balancer at a time is too much. A
    /// limit of less than one attempt therefore allows one attempt, with pauses.
    fn step(&self) -> f64 {
        LIMIT_STEP * self.limit.min(1.0)
    }

    /// Records an attempt whose client disconnected after more than the expected latency. It counts as late.
    pub fn record_late_cancel(&mut self) {
        self.limit = (self.limit - self.step()).max(MIN_LIMIT);
    }

    /// Records an attempt that was given up and that its server may still be processing.
    pub fn record_abandoned(&mut self) {
        self.abandoned += 1.0;
    }

    /// Multiplies the number of abandoned attempts by `remaining`.
    pub fn decay_abandoned(&mut self, remaining: f64) {
        self.abandoned *= remaining;
    }

    /// Exports the limit and the attempts that count against it.
    pub fn export(&self, zone: ZoneId) -> LearnedZone {
        LearnedZone {
            zone,
            concurrency_limit: self.limit,
            outstanding: f64::from(self.in_flight) + self.abandoned,
        }
    }

    /// Imports the limit of the replaced process. Its attempts that are still in flight occupy the servers,
    /// so they count as abandoned ones.
    pub fn import(&mut self, learned: &LearnedZone) {
        self.limit = learned.concurrency_limit.max(MIN_LIMIT);
        self.abandoned = learned.outstanding;
    }
}

/// Returns the share of the abandoned attempts that is assumed to be still running after `elapsed`
/// microseconds. Returns `default` while no median is known.
pub(crate) fn abandoned_remaining(elapsed: f64, median: f64, default: f64) -> f64 {
    if median > 0.0 { 0.5_f64.powf(elapsed / (ABANDONED_HALF_LIFE_MEDIANS * median)) } else { default }
}

/// Returns a balancer's fair share of a zone's limit, in attempts, from its share of the zone's servers.
///
/// A server of the balancer's own zone weighs as much as `zone_count` servers of other zones, since balancers
/// send within their zone first. With fewer balancers than zones all servers weigh the same: otherwise this
/// balancer would fill its own zone completely. Where most balancers are in one zone, the share is too large
/// there.
///
/// An attempt also occupies its slot while the tiers below work for it, so the share is multiplied by the
/// number of tiers from this one down. Where only this tier is slow, the share is too large.
fn fair_share(settings: &Settings, zone: ZoneId, servers: u32) -> f64 {
    let zones = f64::from(settings.zone_count);
    let balancers = f64::from(settings.balancer_count);
    let weight = if balancers < zones {
        1.0
    } else if zone == settings.zone {
        zones / (2.0 - 1.0 / zones)
    } else {
        1.0 / (2.0 - 1.0 / zones)
    };
    let share_of_servers = f64::from(servers) * weight / balancers;
    FAIR_SHARE_ATTEMPTS * share_of_servers * f64::from(settings.tier_count - settings.tier)
}
