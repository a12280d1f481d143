//! The upstreams that discovery names: their numbers for the module, and where they are.

use std::collections::{HashMap, HashSet, VecDeque};

use zincstand_policy as policy;
use zincstand_policy::{ListKind, ServerId, ServerState};
use zincstand_settings::{Names, ring_position};

use crate::discovery::endpoint::{Endpoint, Target};
use crate::lifecycle::overrides::OperatorOverrides;

/// Names of upstreams that have left the list which are still known to operators.
const MOST_PAST: usize = 4096;

/// Numbers for names, never given twice: what still holds the number of one that is gone can't mistake another
/// for it, and one that comes back begins anew, with no breaker and no count.
struct Numbers {
    by_name: HashMap<String, u32>,
    next: u32,
}

impl Numbers {
    fn number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.by_name.get(name) {
            return number;
        }
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.by_name.insert(name.to_owned(), number);
        number
    }

    fn keep(&mut self, kept: &HashSet<u32>) {
        self.by_name.retain(|_, number| kept.contains(number));
    }
}

/// What discovery last said of an upstream, and which zone and kind it was given.
struct ConnectionPermit {
    listed: Endpoint,
    zone: u32,
    kind: u32,
}

impl ConnectionPermit {
    /// Its entry for the module. What operators have set lies over what discovery says: one that is out drains,
    /// one that came back has started then, or later if discovery says so.
    fn entry(&self, id: ServerId, orders: &OperatorOverrides) -> policy::ServerEntry {
        let l = &self.listed;
        policy::ServerEntry {
            id,
            zone: self.zone,
            kind: self.kind,
            cell: l.cell,
            // Of the instance: its address differs between balancers, the ring must not.
            ring_position: ring_position(&l.instance),
            state: match l.state {
                ServerState::Ready if orders.excluded.contains(&l.instance) => ServerState::Draining,
                state => state,
            },
            weight: if l.weight.is_finite() && l.weight > 0.0 { l.weight } else { 1.0 },
            started: l.started.max(orders.included_at.get(&l.instance).copied()),
        }
    }
}

/// All upstreams that are listed; of those that are gone the names alone are kept, and not without end.
pub struct Registry {
    servers: Numbers,
    places: HashMap<ServerId, ConnectionPermit>,
    zones: Numbers,
    /// Zones that the settings number.
    settled: u32,
    kinds: Numbers,
    orders: OperatorOverrides,
    /// Names that left the list, oldest first.
    past: VecDeque<String>,
}

impl Registry {
    /// None listed; `zones` holds the numbers that the settings use.
    pub fn new(zones: &Names) -> Registry {
        let settled = zones.as_slice().len() as u32;
        let named = zones.as_slice().iter().cloned().zip(0..).collect();
        let none = || Numbers { by_name: HashMap::new(), next: 0 };
        let zones = Numbers { by_name: named, next: settled };
        Registry {
            servers: none(),
            places: HashMap::new(),
            zones,
            settled,
            kinds: none(),
            orders: OperatorOverrides::default(),
            past: VecDeque::new(),
        }
    }

    /// Where an upstream is, if it is listed and not taken out by hand.
    pub fn target(&self, server: ServerId) -> Option<Target> {
        let place = self.places.get(&server).filter(|p| !self.orders.excluded.contains(&p.listed.instance));
        place.map(|p| Target { server, address: p.listed.address })
    }

    /// Whether something new may still go to an upstream at that address.
    pub fn takes(&self, to: Target) -> bool {
        let ready = self.places.get(&to.server).is_some_and(|p| p.listed.state == ServerState::Ready);
        ready && self.target(to.server) == Some(to)
    }

    /// Whether a list has named the upstream, be it long ago.
    pub fn knows(&self, name: &str) -> bool {
        let ordered = self.orders.excluded.contains(name) || self.orders.included_at.contains_key(name);
        ordered || self.servers.by_name.contains_key(name) || self.past.iter().any(|past| past == name)
    }

    /// Takes over what operators have set: the entries that it changes, and those that are out now.
    pub fn obey(&mut self, orders: &OperatorOverrides) -> (Vec<policy::ServerEntry>, Vec<ServerId>) {
        let before = std::mem::replace(&mut self.orders, orders.clone());
        let changed = |(id, place): (&ServerId, &ConnectionPermit)| {
            let entry = place.entry(*id, orders);
            (entry != place.entry(*id, &before)).then_some(entry)
        };
        let mut entries: Vec<_> = self.places.iter().filter_map(changed).collect();
        entries.sort_by_key(|e| e.id);
        let out = |id: &ServerId| orders.excluded.contains(&self.places[id].listed.instance);
        let left = entries.iter().map(|e| e.id).filter(out).collect();
        (entries, left)
    }

    /// The names of zones and of servers by their numbers, for a process that numbers them otherwise.
    pub fn names(&self) -> (HashMap<u32, String>, HashMap<ServerId, String>) {
        let names = |numbers: &Numbers| numbers.by_name.iter().map(|(name, n)| (*n, name.clone())).collect();
        (names(&self.zones), names(&self.servers))
    }

    /// The number of a zone that is known.
    pub fn zone(&self, name: &str) -> Option<u32> {
        self.zones.by_name.get(name).copied()
    }

    /// The number of a server that is listed.
    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.servers.by_name.get(name).copied()
    }

    fn pass(&mut self, name: String) {
        if !self.past.contains(&name) {
            self.past.push_back(name);
        }
        if self.past.len() > MOST_PAST {
            self.past.pop_front();
        }
    }

    /// Takes a list over: its entries for the module, and those that moved or are gone.
    pub fn take(&mut self, kind: ListKind, listed: &[Endpoint]) -> (Vec<policy::ServerEntry>, Vec<ServerId>) {
        let (mut entries, mut left) = (Vec::with_capacity(listed.len()), Vec::new());
        let mut named = HashSet::new();
        for l in listed {
            // Guards against names that are only ever mentioned as gone.
            if l.state == ServerState::Removed && !self.servers.by_name.contains_key(&l.instance) {
                continue;
            }
            let id = self.servers.number(&l.instance);
            let (zone, kind) = (self.zones.number(&l.zone), self.kinds.number(&l.kind));
            let place = ConnectionPermit { listed: l.clone(), zone, kind };
            entries.push(place.entry(id, &self.orders));
            let gone = l.state == ServerState::Removed;
            let before = if gone {
                self.servers.by_name.remove(&l.instance);
                self.pass(l.instance.clone());
                self.places.remove(&id)
            } else {
                named.insert(id);
                self.places.insert(id, place)
            };
            if gone || before.is_some_and(|b| b.listed.address != l.address) {
                left.push(id);
            }
        }
        if matches!(kind, ListKind::Snapshot | ListKind::CachedSnapshot) {
            left.extend(self.places.keys().filter(|id| !named.contains(id)));
            let gone = self.places.extract_if(|id, _| !named.contains(id));
            let names: Vec<_> = gone.map(|(_, place)| place.listed.instance).collect();
            names.into_iter().for_each(|name| self.pass(name));
            self.servers.keep(&named);
        }
        let zones = self.places.values().map(|p| p.zone).chain(0..self.settled).collect();
        self.zones.keep(&zones);
        let kinds = self.places.values().map(|p| p.kind).collect();
        self.kinds.keep(&kinds);
        (entries, left)
    }
}

#[cfg(test)]
mod tests;
