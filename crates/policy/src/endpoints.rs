//! The endpoint list: changes of the known servers, the polling of discovery, and the choice of preferred
//! servers.

use crate::circuit_breaker::Breakers;
use crate::context::Context;
use crate::event::{ListKind, Micros, ServerEntry, ZoneId};
use crate::fleet::{Fleet, RingRange};
use crate::settings::Settings;
use crate::slow_start::{self, PauseAfter};

/// Number of balancers that prefer the same server. A balancer prefers so few servers that it sends to each
/// of them often, and all servers are preferred by about the same number of balancers.
const BALANCERS_PER_SERVER: f64 = 4.0;
/// Delay of the first poll.
pub(crate) const FIRST_POLL: PollDelay = PollDelay { interval_share: 0.9, max: 3_000_000.0 };
/// Delay of the poll after a failed one. A change must be known within 6 s after discovery has it, although
/// the call before may have hung.
pub(crate) const POLL_AFTER_FAILURE: PollDelay = PollDelay { interval_share: 0.4, max: 1_200_000.0 };

/// Upper bound of a random delay before a poll of discovery.
pub(crate) struct PollDelay {
    /// Upper bound as a share of [`Rules::max_poll_interval`](crate::Rules::max_poll_interval).
    interval_share: f64,
    /// Upper bound in microseconds.
    max: f64,
}

impl PollDelay {
    /// Returns a random delay within both bounds.
    pub fn draw(&self, context: &mut Context) -> Micros {
        let max_interval = context.settings.rules.max_poll_interval as f64;
        ((max_interval * self.interval_share).min(self.max) * context.rng.f64()) as Micros
    }
}

impl Fleet {
    /// Applies a complete endpoint list or a delta. `send_interval` is the mean interval between two attempts
    /// of this balancer, in microseconds.
    pub fn apply(
        &mut self,
        context: &mut Context,
        kind: ListKind,
        entries: Vec<ServerEntry>,
        send_interval: f64,
    ) {
        if kind != ListKind::Delta {
            self.mark_unlisted_removed(&entries);
            self.recount_servers(context);
        }
        for entry in entries {
            self.apply_entry(context, entry, send_interval);
        }
        if kind != ListKind::CachedSnapshot {
            self.mark_received_from_discovery();
        }
        self.drop_removed();
        self.recount_zones();
        self.sort_servers();
        self.assign_preferred(|zone, servers| preferred_range(&context.settings, zone, servers));
        self.update_fair_shares(&context.settings);
        self.recount_servers(context);
    }

    /// Adds or changes a server. A server whose process has restarted begins without a history.
    fn apply_entry(&mut self, context: &mut Context, mut entry: ServerEntry, send_interval: f64) {
        entry.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        let index = self.index_or_placeholder(&entry);
        if self.server(index).is_same_process(&entry) {
            self.update_entry(index, entry);
            return;
        }
        let others_ready = self.other_ready_servers(index);
        let warm_up_interval =
            slow_start::warm_up_interval(send_interval, others_ready, &context.settings.rules);
        let start = slow_start::effective_start(context.now(), entry.started, self.received_from_discovery());
        let breakers = Breakers::new(context.settings.classes.len());
        self.replace_process(index, entry, start, breakers);
        let server = self.server_mut(index);
        slow_start::pause_if_warming_up(context, server, warm_up_interval, &PauseAfter::Discovery);
    }
}

/// Returns the range of the `servers` of a zone that this balancer prefers. The ranges of all balancers start
/// at even distances on the ring. In a balancer's own zone its range is longer.
fn preferred_range(settings: &Settings, zone: ZoneId, servers: usize) -> RingRange {
    let balancers = settings.balancer_count as usize;
    let own_zone_factor = if zone == settings.zone { f64::from(settings.zone_count) } else { 1.0 };
    let preferred = BALANCERS_PER_SERVER * servers as f64 * own_zone_factor / balancers as f64;
    RingRange {
        first: settings.balancer_index as usize * servers / balancers,
        len: preferred.ceil() as usize,
    }
}
