//! Concurrency limits: how many attempts may be in flight to the servers of a zone.

use crate::context::Context;
use crate::event::{Micros, Outcome, ZoneId};
use crate::fleet::ZoneState;
use crate::request::{AttemptEnd, Priority};
use crate::settings::Settings;

/// A balancer's fair share of a zone's limit, in attempts to a server of its share of the fleet.
const FAIR_SHARE_ATTEMPTS: f64 = 4.0;
/// Most by which a limit's growth is raised or lowered, as it lies under or over its fair share.
const MAX_PULL: f64 = 3.0;
/// The floor of a limit, in attempts: a part of one is one with pauses.
const MIN_LIMIT: f64 = 0.05;
/// Change of the limit for one answer.
const GAIN: f64 = 0.5;
/// A limit grows only while this share of it is in use.
const IN_USE: f64 = 0.7;
/// Share of answers that may come later than the queueing target before the limit shrinks.
const LATE_SHARE: f64 = 0.25;
/// An answer that took more than this share of the time in which it is useful waited too long in queues.
const QUEUE_TARGET: f64 = 0.7;
/// The limit shrinks too when half of the answers took more than this many of the lowest median seen lately.
const CROWDED: f64 = 1.6;
/// Least limit that a zone starts with, in attempts.
const MIN_FIRST_LIMIT: f64 = 2.0;
/// Limits that an express class may fill: long calls of little weight would hold all of the few slots.
const EXPRESS_FACTOR: f64 = 2.0;
/// Slots that a server may take of those that are ejected or drain, as a multiple of its own.
const SPILL: f64 = 1.5;
/// Abandoned attempts decay by half in this many medians: by P99, a slow spell's would fill the limit.
const ABANDONED_HALF_LIFE: f64 = 2.0;

/// What the end of an attempt says of the queues at the servers.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum QueueSignal {
    Unknown,
    /// From 0 for an answer in time to 1 for one later than the queueing target.
    Lateness(f64),
}

impl QueueSignal {
    /// Reads it from an attempt's end. `lowest_median` is 0 if unknown, `objective` that of this tier.
    pub fn of(outcome: Outcome, latency: f64, lowest_median: f64, work_scale: f64, objective: f64) -> Self {
        let known = lowest_median > 0.0;
        let crowded = if known { CROWDED * lowest_median * work_scale } else { f64::INFINITY };
        // Only what comes on top of the lowest median is waiting: a call with tiers behind is long anyway.
        let unqueued = (lowest_median * work_scale).min(objective);
        let target = unqueued + QUEUE_TARGET * (objective - unqueued);
        let lateness = match outcome {
            // Prevents a spiral: an attempt cut short because it was queued long says nothing of the servers.
            Outcome::TimedOut | Outcome::Error if latency <= target.min(crowded) => return Self::Unknown,
            Outcome::Rejected => 1.0,
            Outcome::Ok | Outcome::TimedOut | Outcome::Error if latency > target => 1.0,
            Outcome::Ok | Outcome::TimedOut | Outcome::Error if latency > crowded => 2.0 * LATE_SHARE,
            Outcome::Ok => 0.0,
            _ => return Self::Unknown,
        };
        Self::Lateness(lateness)
    }
}

impl ZoneState {
    /// Counts the fair share anew, and gives a new zone its first limit.
    pub fn update_fair_share(&mut self, settings: &Settings, zone: ZoneId) {
        self.fair_share = fair_share_limit(settings, zone, self.servers);
        if self.concurrency_limit == 0.0 {
            self.concurrency_limit = self.fair_share.max(MIN_FIRST_LIMIT);
        }
    }

    /// Adds a server to the usable part. Prevents the slots of those that are out from all going to the ones
    /// left: in a small zone they would turn slow for good.
    pub fn add_usable_server(&mut self) {
        self.usable_share += SPILL / f64::from(self.servers.max(1));
    }

    /// Whether one more attempt may be sent. Only at the first tier do abandoned attempts take slots.
    pub fn has_capacity(&self, context: &Context, priority: Priority) -> bool {
        let abandoned = if context.settings.tier == 0 { self.abandoned_in_flight } else { 0.0 };
        let usable = (self.concurrency_limit * self.usable_share.min(1.0)).max(1.0);
        let factor = if priority == Priority::Express { EXPRESS_FACTOR } else { 1.0 };
        let full = f64::from(self.in_flight) + abandoned >= usable * factor;
        let pausing = context.now < self.resume_at && priority == Priority::Normal;
        !full && !pausing
    }

    /// Moves the limit at the end of an attempt that still has its slot.
    pub fn adjust(&mut self, context: &mut Context, end: &AttemptEnd, lateness: f64) {
        let in_use = f64::from(self.in_flight) >= IN_USE * self.concurrency_limit;
        // Prevents some balancers from keeping all slots of servers that all share: the further a limit is
        // under its balancer's fair share, the more it grows, and the less above.
        let pull = (self.fair_share / self.concurrency_limit).clamp(1.0 / MAX_PULL, MAX_PULL);
        let growth = if lateness > 0.0 || in_use { LATE_SHARE * pull } else { 0.0 };
        // Prevents balancers that outnumber their servers from swamping them with one call each: a part of a
        // slot is a slot with pauses, and grows in proportion.
        let gain = GAIN * self.concurrency_limit.min(1.0);
        self.concurrency_limit = (self.concurrency_limit + gain * (growth - lateness)).max(MIN_LIMIT);
        if self.concurrency_limit < 1.0 {
            let pause = end.latency as f64 * (1.0 / self.concurrency_limit - 1.0);
            self.resume_at = context.now + (pause * (0.5 + context.rng.f64())) as Micros;
        }
    }

    /// Counts an attempt whose caller left after more than the usual latency as late.
    pub fn record_late_cancel(&mut self) {
        let gain = GAIN * self.concurrency_limit.min(1.0);
        self.concurrency_limit = (self.concurrency_limit - gain).max(MIN_LIMIT);
    }

    /// Takes over a predecessor's limit. To the servers both are one: what it has in flight takes slots here.
    pub fn restore(&mut self, concurrency_limit: f64, outstanding: f64) {
        self.concurrency_limit = concurrency_limit.max(MIN_LIMIT);
        self.abandoned_in_flight = outstanding;
    }
}

/// What is left of the abandoned attempts after `elapsed` microseconds; `default` while no median is known.
pub(crate) fn abandoned_remaining(elapsed: f64, median: f64, default: f64) -> f64 {
    if median > 0.0 { 0.5_f64.powf(elapsed / (ABANDONED_HALF_LIFE * median)) } else { default }
}

/// A balancer's fair share of a zone's limit, by its part of the servers. Those of its own zone weigh as many
/// times as there are zones, unless there are fewer balancers than zones: prevents an own zone filled to the
/// brim. Hurts where most balancers are in one zone. A slot is taken for as long as the tiers behind need
/// too: hurts where its own tier alone is slow.
fn fair_share_limit(settings: &Settings, zone: ZoneId, servers: u32) -> f64 {
    let zones = f64::from(settings.zone_count);
    let balancers = f64::from(settings.balancer_count);
    let weight = match (balancers < zones, zone == settings.zone) {
        (true, _) => 1.0,
        (false, true) => zones / (2.0 - 1.0 / zones),
        (false, false) => 1.0 / (2.0 - 1.0 / zones),
    };
    let share_of_servers = f64::from(servers) * weight / balancers;
    FAIR_SHARE_ATTEMPTS * share_of_servers * f64::from(settings.tier_count - settings.tier)
}
