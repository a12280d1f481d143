//! The endpoint list: changes of the known servers, polling, and which servers this balancer prefers.

use crate::circuit_breaker::Breakers;
use crate::context::Context;
use crate::event::{ListKind, Micros, ServerEntry, ServerState};
use crate::fleet::{Fleet, Server};
use crate::settings::Settings;
use crate::slow_start::{self, PauseAfter};

/// Balancers that prefer the same server: each meets its few often enough, and all are covered evenly.
const BALANCERS_PER_SERVER: f64 = 4.0;
/// The first poll.
pub(crate) const FIRST_POLL: PollDelay = PollDelay { interval_share: 0.9, max: 3_000_000.0 };
/// The poll after a failed one: changes must be known 6 s after they can be read, and a call takes 2.2 s.
pub(crate) const POLL_AFTER_FAILURE: PollDelay = PollDelay { interval_share: 0.4, max: 1_200_000.0 };

/// When discovery is polled: within a share of the allowed interval, and within `max` microseconds.
pub(crate) struct PollDelay {
    interval_share: f64,
    max: f64,
}

impl PollDelay {
    pub fn draw(&self, context: &mut Context) -> Micros {
        let allowed = context.settings.rules.max_poll_interval as f64;
        ((allowed * self.interval_share).min(self.max) * context.rng.f64()) as Micros
    }
}

impl Fleet {
    /// Applies a list or a change; `interval` is the mean time between two attempts.
    pub fn apply(&mut self, context: &mut Context, kind: ListKind, entries: Vec<ServerEntry>, interval: f64) {
        if kind != ListKind::Delta {
            self.mark_unlisted_removed(&entries);
            self.count_usable(context);
        }
        for entry in entries {
            self.insert(context, entry, interval);
        }
        self.heard_discovery |= kind != ListKind::CachedSnapshot;
        self.servers.retain(|server| server.entry.state != ServerState::Removed);
        self.recount_zones();
        self.choose_preferred(&context.settings);
        for (&id, zone) in &mut self.zones {
            zone.update_fair_share(&context.settings, id);
        }
        self.count_usable(context);
    }

    /// Adds or changes a server; one whose process was started anew begins without a history.
    fn insert(&mut self, context: &mut Context, mut entry: ServerEntry, interval: f64) {
        entry.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        let listed_start = entry.started;
        let index = self.index_or_placeholder(&entry);
        let server = &mut self.servers[index];
        self.ready -= usize::from(server.is_ready());
        let mean_pause = slow_start::mean_pause(interval, self.ready, &context.settings.rules);
        if server.listed_start == listed_start && !server.breakers.0.is_empty() {
            entry.started = server.entry.started;
            server.entry = entry;
        } else {
            entry.started = slow_start::effective_start(context.now, listed_start, self.heard_discovery);
            let breakers = Breakers::new(context.settings.classes.len());
            let in_flight = server.in_flight;
            *server = Server { entry, listed_start, in_flight, breakers, ..Server::default() };
            slow_start::pause(context, server, mean_pause, &PauseAfter::Discovery);
        }
        self.ready += usize::from(server.is_ready());
    }

    /// Counts what a list or a breaker changed, and how much of each limit may be used.
    pub fn count_usable(&mut self, context: &mut Context) {
        context.servers_examined += self.servers.len() as u64;
        self.zones.values_mut().for_each(|zone| zone.usable_share = 0.0);
        for server in self.servers.iter().filter(|server| server.is_usable()) {
            self.zones.entry(server.entry.zone).or_default().add_usable_server();
        }
        self.recount_servers();
    }

    /// Chooses the preferred servers of each zone: a stretch of the ring of servers, where neighbours among
    /// the balancers take neighbouring stretches.
    fn choose_preferred(&mut self, settings: &Settings) {
        self.sort_servers();
        let balancers = settings.balancer_count as usize;
        let mut start = 0;
        for servers in self.servers.chunk_by_mut(|a, b| a.entry.zone == b.entry.zone) {
            let count = servers.len();
            let id = servers[0].entry.zone;
            let zone = self.zones.entry(id).or_default();
            zone.preferred.clear();
            zone.others.clear();
            let own_zone_factor = if id == settings.zone { f64::from(settings.zone_count) } else { 1.0 };
            let preferred = BALANCERS_PER_SERVER * count as f64 * own_zone_factor / balancers as f64;
            let first = settings.balancer_index as usize * count / balancers;
            for (offset, server) in servers.iter_mut().enumerate() {
                server.preferred = (offset + count - first % count) % count < preferred.ceil() as usize;
                let indexes = if server.preferred { &mut zone.preferred } else { &mut zone.others };
                indexes.push(start + offset);
            }
            start += count;
        }
    }
}
