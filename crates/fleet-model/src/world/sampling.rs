//! Counters by second, reports of broken rules, and samples of servers.

use std::collections::BTreeMap;

use super::event::WorldEvent;
use super::index::{ArrivalIndex, ProcessIndex, ServerIndex};
use super::state::{RecentEvent, TimedEvent};
use super::{MICROS_PER_SECOND, World};
use crate::scoring::{Breach, NotificationCount, Rule, Sample, TierCount};
use crate::server::AnsweredAttempts;

/// Largest number of breaches that are reported in detail. Further breaches are only counted.
const MAX_REPORTED_BREACHES: usize = 20;
/// Largest number of recent events of a process in a report of a broken rule.
const MAX_RECENT_EVENTS: usize = 24;

impl World<'_> {
    /// Returns the counters of a tier for the second of the first attempt of `arrival`.
    pub(super) fn tier_count(&mut self, arrival: ArrivalIndex, tier: usize) -> &mut TierCount {
        let second = (self.arrivals[arrival].at / MICROS_PER_SECOND) as usize;
        let tiers = self.scenario.tiers.len();
        let by_second = &mut self.metrics.tiers;
        if by_second.len() <= second {
            by_second.resize_with(second + 1, || vec![TierCount::default(); tiers]);
        }
        &mut by_second[second][tier]
    }

    /// Returns the counters of discovery for the current second.
    pub(super) fn discovery_count(&mut self) -> &mut NotificationCount {
        let second = (self.now / MICROS_PER_SECOND) as usize;
        let by_second = &mut self.metrics.notifications;
        if by_second.len() <= second {
            by_second.resize_with(second + 1, NotificationCount::default);
        }
        &mut by_second[second]
    }

    /// Records an event or action of a process, for reports of broken rules.
    pub(super) fn remember_event(&mut self, process: ProcessIndex, event: RecentEvent) {
        let recent = &mut self.processes[process].recent_events;
        if recent.len() >= MAX_RECENT_EVENTS {
            recent.pop_front();
        }
        recent.push_back(TimedEvent { at: self.now, event });
    }

    /// Records that a process broke a rule.
    pub(super) fn record_breach(
        &mut self,
        rule: Rule,
        process: ProcessIndex,
        server: Option<ServerIndex>,
        description: String,
    ) {
        self.metrics.breach_count += 1;
        if self.metrics.breaches.len() >= MAX_REPORTED_BREACHES {
            return;
        }
        let process = &self.processes[process];
        let describe = |recent: &TimedEvent| format!("{:.3} s: {}", recent.at as f64 / 1e6, recent.event);
        self.metrics.breaches.push(Breach {
            rule,
            at: self.now,
            balancer: (process.tier, process.balancer),
            server,
            description,
            preceding_events: process.recent_events.iter().map(describe).collect(),
        });
    }

    /// Samples all servers, including the learned state of the balancers.
    pub(super) fn sample_servers(&mut self) {
        let mut samples = self.server_samples();
        for server in self.servers.iter_mut() {
            server.answered = AnsweredAttempts::default();
        }
        self.add_learned_state(&mut samples);
        if let Some(all) = &mut self.samples {
            all.push(samples);
        }
        if self.now + MICROS_PER_SECOND < self.scenario.length.0 {
            self.schedule_after(MICROS_PER_SECOND, WorldEvent::SampleServers);
        }
    }

    fn server_samples(&self) -> Vec<Sample> {
        self.servers
            .iter()
            .map(|server| Sample {
                tier: server.tier,
                in_flight: server.job_count() as u32,
                up: server.is_up() && !server.vanished && !server.silent,
                choked: server.is_choked(),
                capacity_share: server.warm_share(self.now),
                open_breakers: 0,
                concurrency_limit: 0.0,
                latency: server.answered.mean_latency(),
            })
            .collect()
    }

    /// Adds the open breakers of each server, and the concurrency limit of each zone, divided evenly among its servers.
    fn add_learned_state(&self, samples: &mut [Sample]) {
        let mut up_in_zone: BTreeMap<(usize, u32), f64> = BTreeMap::new();
        for server in self.servers.iter() {
            *up_in_zone.entry((server.tier, server.zone)).or_default() += f64::from(u8::from(server.is_up()));
        }
        for process in self.processes.iter().filter(|process| process.alive) {
            let local_now = self.now + process.clock_offset;
            let Some(learned) = process.policy.learned_state(local_now) else { continue };
            for server in &learned.servers {
                let open = server.breakers.first().is_some_and(|breaker| breaker.open_until.is_some());
                samples[server.server as usize].open_breakers += u32::from(open);
            }
            for zone in &learned.zones {
                let servers_up = up_in_zone.get(&(process.tier, zone.zone)).copied().unwrap_or(1.0).max(1.0);
                let per_server = zone.concurrency_limit / servers_up;
                for (sample, server) in samples.iter_mut().zip(self.servers.iter()) {
                    if (server.tier, server.zone) == (process.tier, zone.zone) {
                        sample.concurrency_limit += per_server;
                    }
                }
            }
        }
    }
}
