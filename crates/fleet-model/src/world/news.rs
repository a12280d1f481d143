//! Discovery: what it notices, and what balancers hear of it.

use zincstand_policy::{Event, ListKind, Micros, ServerEntry, ServerState};

use super::{Ev, Note, ProcessAt, ServerAt, World};
use crate::random::{self, Purpose};
use crate::scenario::Asking;

/// A call to discovery takes this long.
const CALL: Micros = 5_000;
/// A watch that broke off is taken up again after this, with the whole list.
const AGAIN: Micros = 1_000_000;

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listed {
    Ready(Option<Micros>),
    Draining,
    Gone,
}

/// A line of discovery's log.
#[derive(Clone, Copy)]
pub(super) struct Change {
    pub server: ServerAt,
    pub state: Listed,
}

impl World<'_> {
    pub(super) fn listed_at_start(&mut self, server: ServerAt) {
        let tier = self.servers[server as usize].tier;
        self.log[tier].push(Change { server, state: Listed::Ready(None) });
    }

    /// A change that discovery will notice.
    pub(super) fn changed(&mut self, server: ServerAt, state: Listed, silent: bool) {
        let d = &self.day.discovery;
        let notice = match state {
            Listed::Ready(_) => d.add,
            _ if silent => d.silent_notice,
            _ => d.notice,
        };
        // It tells what it has noticed once a period.
        let at = (self.now + notice.0).div_ceil(d.period.0) * d.period.0;
        self.at(at, Ev::Noticed { server, state });
    }

    pub(super) fn noticed(&mut self, server: ServerAt, state: Listed) {
        let tier = self.servers[server as usize].tier;
        self.log[tier].push(Change { server, state });
        let version = self.log[tier].len() as u64;
        let d = &self.day.discovery;
        for process in 0..self.processes.len() {
            let p = &self.processes[process];
            if !p.alive || p.tier != tier || !p.watching {
                continue;
            }
            let key = random::pair(process as u64, version);
            let late = d.spread.0 as f64 * random::unit(self.day.seed, Purpose::News, key);
            self.after(late as Micros, Ev::News { process: process as ProcessAt, whole: false });
        }
    }

    /// The list as it stood at a place of the log.
    fn list(&self, tier: usize, upto: usize) -> Vec<Change> {
        let mut latest = std::collections::BTreeMap::new();
        for change in &self.log[tier][..upto] {
            latest.insert(change.server, change.state);
        }
        latest
            .into_iter()
            .filter(|(_, state)| *state != Listed::Gone)
            .map(|(server, state)| Change { server, state })
            .collect()
    }

    /// The last list of the process before, perhaps old.
    pub(super) fn tell_stale(&mut self, process: ProcessAt, heard: usize) {
        let tier = self.processes[process as usize].tier;
        let list = self.list(tier, heard);
        self.processes[process as usize].heard = heard;
        self.tell(process, ListKind::CachedSnapshot, &list);
    }

    /// Discovery tells a process what it has not heard, or everything.
    pub(super) fn tell_news(&mut self, process: ProcessAt, whole: bool) {
        let p = &self.processes[process as usize];
        if !p.alive || self.discovery_down || self.cut[p.zone as usize] {
            return;
        }
        let (tier, heard) = (p.tier, p.heard);
        let upto = self.log[tier].len();
        if whole {
            let list = self.list(tier, upto);
            self.processes[process as usize].heard = upto;
            return self.tell(process, ListKind::Snapshot, &list);
        }
        if heard >= upto {
            return;
        }
        let key = random::pair(u64::from(process) << 1 | 1, upto as u64);
        if random::unit(self.day.seed, Purpose::News, key) < self.day.discovery.failing {
            // The watch breaks off.
            return match self.day.discovery.mode {
                Asking::Push => self.after(AGAIN, Ev::News { process, whole: true }),
                Asking::Ask => {
                    self.processes[process as usize].watching = false;
                    self.tell(process, ListKind::Failed, &[]);
                }
            };
        }
        let changes = self.log[tier][heard..upto].to_vec();
        self.processes[process as usize].heard = upto;
        self.tell(process, ListKind::Delta, &changes);
    }

    /// A process asks discovery, to be kept informed or once.
    pub(super) fn ask(&mut self, process: ProcessAt, once: bool) {
        let key = random::pair(u64::from(process) << 1, self.now);
        let fails = random::unit(self.day.seed, Purpose::News, key) < self.day.discovery.failing;
        self.news_count().calls += 1;
        if self.discovery_down || fails || self.cut[self.processes[process as usize].zone as usize] {
            return self.tell(process, ListKind::Failed, &[]);
        }
        self.processes[process as usize].watching |= !once;
        self.after(CALL, Ev::News { process, whole: true });
    }

    /// Hands a list to a process; what operators have taken out drains for it, whatever the list says.
    fn tell(&mut self, process: ProcessAt, kind: ListKind, changes: &[Change]) {
        let p = &self.processes[process as usize];
        let (offset, tier) = (p.offset, p.tier);
        let entries: Vec<ServerEntry> = changes.iter().map(|c| self.entry(c, offset, tier)).collect();
        if kind != ListKind::Delta && kind != ListKind::Failed {
            // What a whole list leaves out is gone.
            let listed: std::collections::BTreeSet<ServerAt> = entries.iter().map(|e| e.id).collect();
            let now = self.now;
            for (server, told) in &mut self.processes[process as usize].told {
                if !listed.contains(server) {
                    told.out.get_or_insert(now);
                }
            }
        }
        for e in &entries {
            self.remember(process, e, offset);
        }
        // A list as last held comes from the process before, and a failed call brings nothing.
        if matches!(kind, ListKind::Delta | ListKind::Snapshot) {
            let count = self.news_count();
            (count.messages, count.entries) = (count.messages + 1, count.entries + entries.len() as u64);
        }
        self.handle(process, Event::EndpointList { kind, entries });
    }

    fn entry(&self, change: &Change, offset: Micros, tier: usize) -> ServerEntry {
        let s = &self.servers[change.server as usize];
        let by_hand = s.tier == tier && self.by_hand.contains(&change.server);
        let (state, started) = match change.state {
            Listed::Ready(started) => (ServerState::Ready, started),
            Listed::Draining => (ServerState::Draining, s.started),
            Listed::Gone => (ServerState::Removed, s.started),
        };
        let state = if by_hand && state == ServerState::Ready { ServerState::Draining } else { state };
        ServerEntry {
            zone: s.zone,
            cell: s.cell,
            ring_position: random::pair(s.place as u64 + 1, 0x9e37_79b9).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            state,
            started: started.map(|at| at + offset),
            ..ServerEntry::new(change.server)
        }
    }

    fn remember(&mut self, process: ProcessAt, entry: &ServerEntry, offset: Micros) {
        let now = self.now;
        let told = self.processes[process as usize].told.entry(entry.id).or_default();
        told.known = true;
        told.started = entry.started.map(|at| at - offset);
        if entry.state == ServerState::Ready {
            told.out = None;
        } else {
            told.out.get_or_insert(now);
        }
        self.note(process, Note::Told { server: entry.id, state: entry.state });
    }

    /// Operators take a server out at a process, or put it back with what discovery says of it.
    pub(super) fn by_hand(&mut self, process: ProcessAt, server: ServerAt) {
        let tier = self.processes[process as usize].tier;
        let latest = self.log[tier].iter().rev().find(|c| c.server == server).copied();
        if let Some(change) = latest.filter(|c| c.state != Listed::Gone) {
            self.tell(process, ListKind::Delta, &[change]);
        }
    }
}
