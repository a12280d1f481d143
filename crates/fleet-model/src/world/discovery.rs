//! Discovery: detection of changes of servers, and notification of the balancers.

use std::collections::{BTreeMap, BTreeSet};

use zincstand_policy::{Event, ListKind, Micros, ServerEntry, ServerState};

use super::event::{ListedState, UpdateScope, WorldEvent};
use super::index::{ProcessIndex, ServerIndex};
use super::state::RecentEvent;
use super::{World, keys};
use crate::random::{self, Purpose};
use crate::scenario::DiscoveryMode;

/// Duration of a call to discovery.
const CALL_DURATION: Micros = 5_000;
/// Time after which discovery resumes a broken watch of a scenario with push, by sending the complete list.
const WATCH_RESUME_DELAY: Micros = 1_000_000;
/// Multiplier that spreads servers over the hash ring: 2^64 divided by the golden ratio.
const RING_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Constant that is combined with the address of a server to compute its position on the ring.
const RING_SALT: u64 = 0x9e37_79b9;

/// How discovery detects a change of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeVisibility {
    /// The server or its platform reports the change.
    Announced,
    /// Neither the server nor its platform reports the change, and discovery detects it by its own checks.
    Silent,
}

/// An entry of discovery's log.
#[derive(Clone, Copy)]
pub(super) struct Change {
    /// The server.
    pub server: ServerIndex,
    /// The state after the change.
    pub state: ListedState,
}

impl World<'_> {
    /// Lists a server that runs from the beginning of the scenario.
    pub(super) fn list_initial_server(&mut self, server: ServerIndex) {
        let tier = self.servers[server].tier;
        self.discovery_log[tier].push(Change { server, state: ListedState::Ready(None) });
    }

    /// Schedules the detection of a change of a server.
    pub(super) fn schedule_detection(
        &mut self,
        server: ServerIndex,
        state: ListedState,
        visibility: ChangeVisibility,
    ) {
        let discovery = &self.scenario.discovery;
        let notice = match (state, visibility) {
            (ListedState::Ready(_), _) => discovery.registration_delay,
            (_, ChangeVisibility::Silent) => discovery.silent_detection_delay,
            (_, ChangeVisibility::Announced) => discovery.detection_delay,
        };
        // Discovery publishes the changes of a period in one batch.
        let at = (self.now + notice.0).div_ceil(discovery.batch_interval.0) * discovery.batch_interval.0;
        self.schedule_at(at, WorldEvent::ChangeDetected { server, state });
    }

    /// Logs a detected change and schedules updates to all processes that watch.
    pub(super) fn change_detected(&mut self, server: ServerIndex, state: ListedState) {
        let tier = self.servers[server].tier;
        self.discovery_log[tier].push(Change { server, state });
        let version = self.discovery_log[tier].len() as u64;
        for process in self.processes.indexes() {
            let record = &self.processes[process];
            if record.alive && record.tier == tier && record.watching {
                self.schedule_update(process, version, UpdateScope::Delta);
            }
        }
    }

    /// Schedules an update to a process with a random delay. `version` distinguishes the key of this draw from those of
    /// other updates.
    pub(super) fn schedule_update(&mut self, process: ProcessIndex, version: u64, scope: UpdateScope) {
        let key = keys::notification_delay(process, version);
        let spread = self.scenario.discovery.max_delivery_delay.0 as f64;
        let delay = spread * random::unit(self.scenario.seed, Purpose::Notification, key);
        self.schedule_after(delay as Micros, WorldEvent::DiscoveryUpdate { process, scope });
    }

    /// Returns the list of a tier at a position of its log.
    fn list_at(&self, tier: usize, position: usize) -> Vec<Change> {
        let mut latest = BTreeMap::new();
        for change in &self.discovery_log[tier][..position] {
            latest.insert(change.server, change.state);
        }
        latest
            .into_iter()
            .filter(|(_, state)| *state != ListedState::Removed)
            .map(|(server, state)| Change { server, state })
            .collect()
    }

    /// Notifies a new process of the cached list of its predecessor, which may be out of date.
    pub(super) fn restore_cached_list(&mut self, process: ProcessIndex, position: usize) {
        let tier = self.processes[process].tier;
        let list = self.list_at(tier, position);
        self.processes[process].log_position = position;
        self.notify(process, ListKind::CachedSnapshot, &list);
    }

    /// Sends a process the complete list, or the changes that it has not received.
    pub(super) fn send_update(&mut self, process: ProcessIndex, scope: UpdateScope) {
        let record = &self.processes[process];
        if !record.alive || self.discovery_down || self.partitioned_zones[record.zone as usize] {
            return;
        }
        let tier = record.tier;
        let received = record.log_position;
        let position = self.discovery_log[tier].len();
        if scope == UpdateScope::Snapshot {
            let list = self.list_at(tier, position);
            self.processes[process].log_position = position;
            return self.notify(process, ListKind::Snapshot, &list);
        }
        if received >= position {
            return;
        }
        let key = keys::watch_failure(process, position);
        if random::unit(self.scenario.seed, Purpose::Notification, key)
            < self.scenario.discovery.failure_share
        {
            return self.break_watch(process);
        }
        let changes = self.discovery_log[tier][received..position].to_vec();
        self.processes[process].log_position = position;
        self.notify(process, ListKind::Delta, &changes);
    }

    fn break_watch(&mut self, process: ProcessIndex) {
        match self.scenario.discovery.mode {
            DiscoveryMode::Push => {
                let event = WorldEvent::DiscoveryUpdate { process, scope: UpdateScope::Snapshot };
                self.schedule_after(WATCH_RESUME_DELAY, event);
            }
            DiscoveryMode::Poll => {
                self.processes[process].watching = false;
                self.notify(process, ListKind::Failed, &[]);
            }
        }
    }

    /// Executes a call to discovery for the complete list and, if `watch`, for all later changes.
    pub(super) fn call_discovery(&mut self, process: ProcessIndex, watch: bool) {
        let key = keys::call_failure(process, self.now);
        let fails = random::unit(self.scenario.seed, Purpose::Notification, key)
            < self.scenario.discovery.failure_share;
        self.discovery_count().calls += 1;
        let record = &mut self.processes[process];
        if self.discovery_down || fails || self.partitioned_zones[record.zone as usize] {
            return self.notify(process, ListKind::Failed, &[]);
        }
        record.watching |= watch;
        let event = WorldEvent::DiscoveryUpdate { process, scope: UpdateScope::Snapshot };
        self.schedule_after(CALL_DURATION, event);
    }

    /// Delivers a list or changes to a process. Servers that operators have excluded are listed as draining.
    fn notify(&mut self, process: ProcessIndex, kind: ListKind, changes: &[Change]) {
        let record = &self.processes[process];
        let clock_offset = record.clock_offset;
        let tier = record.tier;
        let to_entry = |change| self.list_entry(change, clock_offset, tier);
        let entries: Vec<ServerEntry> = changes.iter().map(to_entry).collect();
        if matches!(kind, ListKind::Snapshot | ListKind::CachedSnapshot) {
            self.mark_unlisted_removed(process, &entries);
        }
        for entry in &entries {
            self.record_notification(process, entry, clock_offset);
        }
        // Discovery sends neither the cached list of a predecessor nor the failure of a call.
        if matches!(kind, ListKind::Delta | ListKind::Snapshot) {
            let count = self.discovery_count();
            count.messages += 1;
            count.entries += entries.len() as u64;
        }
        self.handle_policy_event(process, Event::EndpointList { kind, entries });
    }

    /// Marks the servers that are not on a complete list as removed.
    fn mark_unlisted_removed(&mut self, process: ProcessIndex, entries: &[ServerEntry]) {
        let listed: BTreeSet<ServerIndex> = entries.iter().map(|entry| entry.id).collect();
        let now = self.now;
        for (server, notification) in &mut self.processes[process].notifications {
            if !listed.contains(server) {
                notification.not_ready_since.get_or_insert(now);
            }
        }
    }

    fn list_entry(&self, change: &Change, clock_offset: Micros, tier: usize) -> ServerEntry {
        let server = &self.servers[change.server];
        let excluded = server.tier == tier && self.excluded_by_operator.contains(&change.server);
        let (state, started) = match change.state {
            ListedState::Ready(started) if excluded => (ServerState::Draining, started),
            ListedState::Ready(started) => (ServerState::Ready, started),
            ListedState::Draining => (ServerState::Draining, server.started),
            ListedState::Removed => (ServerState::Removed, server.started),
        };
        let ring_key = random::combine(server.address as u64 + 1, RING_SALT);
        ServerEntry {
            zone: server.zone,
            cell: server.cell,
            ring_position: ring_key.wrapping_mul(RING_MULTIPLIER),
            state,
            started: started.map(|at| at + clock_offset),
            ..ServerEntry::new(change.server)
        }
    }

    /// Records a notification of a process, for the rules on draining and warming servers.
    fn record_notification(&mut self, process: ProcessIndex, entry: &ServerEntry, clock_offset: Micros) {
        let now = self.now;
        let notification = self.processes[process].notifications.entry(entry.id).or_default();
        notification.known = true;
        notification.started = entry.started.map(|at| at - clock_offset);
        if entry.state == ServerState::Ready {
            notification.not_ready_since = None;
        } else {
            notification.not_ready_since.get_or_insert(now);
        }
        self.remember_event(process, RecentEvent::Notified { server: entry.id, state: entry.state });
    }

    /// Sends a process the entry of a server that operators have excluded or included again.
    pub(super) fn notify_of_exclusion(&mut self, process: ProcessIndex, server: ServerIndex) {
        let tier = self.processes[process].tier;
        let latest = self.discovery_log[tier].iter().rev().find(|change| change.server == server).copied();
        if let Some(change) = latest.filter(|change| change.state != ListedState::Removed) {
            self.notify(process, ListKind::Delta, &[change]);
        }
    }
}
