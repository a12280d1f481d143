//! What decides for a balancer: the module, baselines that know no better, and one that knows all.

use std::collections::BTreeMap;

use zincstand_policy::{
    Action, Balancer, Event, Idempotency, LearnedState, ListKind, Micros, Outcome, RequestId, ServerEntry,
    ServerId, ServerState, Settings, SettingsError,
};

use crate::server::Truth;

/// Decides for one balancer.
pub trait Policy: Send {
    /// Takes one event and appends what is to be done. Only the policy that stands for the top reads `truth`.
    fn handle(&mut self, now: Micros, event: Event, truth: &Truth<'_>, actions: &mut Vec<Action>);

    /// What a process that takes this one's place would have to learn anew.
    fn learned_state(&self, _now: Micros) -> Option<LearnedState> {
        None
    }

    /// Takes that over.
    fn restore(&mut self, _now: Micros, _learned: &LearnedState) {}
}

impl Policy for Balancer {
    fn handle(&mut self, now: Micros, event: Event, _: &Truth<'_>, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn learned_state(&self, now: Micros) -> Option<LearnedState> {
        Some(Balancer::learned_state(self, now))
    }

    fn restore(&mut self, now: Micros, learned: &LearnedState) {
        Balancer::restore(self, now, learned);
    }
}

/// The policies that can be played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The decision module.
    Module,
    /// Any ready server.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with fewer own calls of two drawn.
    TwoChoices,
    /// Fewest own calls, without windows or breakers.
    LeastInFlight,
    /// Sees the true state of every server.
    Oracle,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 6] =
        [Kind::Module, Kind::Random, Kind::RoundRobin, Kind::TwoChoices, Kind::LeastInFlight, Kind::Oracle];

    /// Its name in commands and files.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Module => "module",
            Kind::Random => "random",
            Kind::RoundRobin => "round-robin",
            Kind::TwoChoices => "two-choices",
            Kind::LeastInFlight => "least-in-flight",
            Kind::Oracle => "oracle",
        }
    }

    /// A policy of this kind for one process.
    pub(crate) fn start(self, settings: Settings, seed: u64) -> Result<Box<dyn Policy>, SettingsError> {
        Ok(match self {
            Kind::Module => Box::new(Balancer::new(settings, seed)?),
            _ => Box::new(Plain {
                kind: self,
                rng: fastrand::Rng::with_seed(seed),
                turn: settings.balancer_index as usize,
                settings,
                servers: BTreeMap::new(),
                ready: Vec::new(),
                requests: BTreeMap::new(),
            }),
        })
    }
}

impl std::str::FromStr for Kind {
    type Err = String;

    /// The policy of that name; the error lists them.
    fn from_str(name: &str) -> Result<Kind, String> {
        let known = Kind::ALL.map(Kind::name).join(", ");
        let found = Kind::ALL.into_iter().find(|k| k.name() == name);
        found.ok_or_else(|| format!("no policy is called {name:?}; there are {known}"))
    }
}

struct Known {
    entry: ServerEntry,
    in_flight: u32,
}

struct Open {
    class: usize,
    since: Micros,
    deadline: Micros,
    sent: u32,
    /// An attempt that may have run: when, and in which cell.
    ran: Option<(Micros, u32)>,
    last: Option<ServerId>,
}

/// Picks by one simple measure, waits for nothing, tries again once, and keeps the rules on drains and repeats.
struct Plain {
    kind: Kind,
    settings: Settings,
    rng: fastrand::Rng,
    turn: usize,
    servers: BTreeMap<ServerId, Known>,
    /// Those of them that take requests.
    ready: Vec<ServerId>,
    requests: BTreeMap<RequestId, Open>,
}

/// Attempts for a request, where its class allows a repeat.
const TRIES: u32 = 2;
/// Longest queue, in shortest aims, in which the one with full sight puts a request of the class that is worth
/// most for its work, and of the one that is worth least.
const QUEUE: [f64; 2] = [1.0, 0.5];
/// It holds a request for this part of its class's aim, and refuses it then.
const HOLD: f64 = 0.2;
/// Nothing goes out with less than this part of its class's aim left.
const LEAST_LEFT: f64 = 0.6;
/// Work that the one with full sight sends to a cold server, in parts of what would push it over.
const COLD_PART: f64 = 0.25;
/// Between two looks of the one with full sight at what it holds.
const LOOK: Micros = 5_000;
const LOOK_AGAIN: u64 = 1;

/// One of them, and if there are others, not the last one.
fn other(rng: &mut fastrand::Rng, ready: &[ServerId], last: Option<ServerId>) -> ServerId {
    let at = rng.usize(..ready.len());
    if ready.len() > 1 && Some(ready[at]) == last { ready[(at + 1) % ready.len()] } else { ready[at] }
}

impl Policy for Plain {
    fn handle(&mut self, now: Micros, event: Event, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries } => self.list(kind, entries),
            Event::Request { id, class, time_left, .. } => {
                let open =
                    Open { class, since: now, deadline: now + time_left, sent: 0, ran: None, last: None };
                self.requests.insert(id, open);
                self.try_send(now, id, truth, actions);
            }
            Event::Outcome { request, server, outcome, finished: closed, latency, .. } => {
                if let Some(known) = self.servers.get_mut(&server) {
                    known.in_flight = known.in_flight.saturating_sub(1);
                }
                if closed {
                    self.requests.remove(&request);
                } else {
                    self.failed(now, request, (server, outcome, latency), truth, actions);
                }
            }
            Event::ClientDisconnected { request } => {
                self.requests.remove(&request);
            }
            Event::Timer { token } => self.try_send(now, token - LOOK_AGAIN, truth, actions),
            Event::BodyComplete { .. } | Event::FirstByte { .. } | Event::HealthChecked { .. } => {}
        }
    }
}

impl Plain {
    fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Delta {
            let listed: std::collections::BTreeSet<ServerId> = entries.iter().map(|e| e.id).collect();
            self.servers.retain(|id, _| listed.contains(id));
        }
        for entry in entries {
            if entry.state == ServerState::Removed {
                self.servers.remove(&entry.id);
                continue;
            }
            let known = self.servers.entry(entry.id).or_insert(Known { entry: entry.clone(), in_flight: 0 });
            known.entry = entry;
        }
        let takes = |k: &&Known| k.entry.state == ServerState::Ready;
        self.ready = self.servers.values().filter(takes).map(|k| k.entry.id).collect();
    }

    fn failed(
        &mut self,
        now: Micros,
        id: RequestId,
        (server, outcome, latency): (ServerId, Outcome, Micros),
        truth: &Truth<'_>,
        actions: &mut Vec<Action>,
    ) {
        let cell = self.servers.get(&server).map_or(0, |k| k.entry.cell);
        let Some(open) = self.requests.get_mut(&id) else { return };
        if !outcome.never_ran() {
            open.ran = open.ran.or(Some((now - latency, cell)));
        }
        let again = match (self.settings.classes[open.class].idempotency, open.ran) {
            (Idempotency::NotIdempotent, Some(_)) => false,
            (Idempotency::WithKey { window, .. }, Some((at, _))) => now + self.settings.tick < at + window,
            _ => true,
        };
        if again && open.sent < TRIES.min(self.settings.limits.max_attempts) && now < open.deadline {
            self.try_send(now, id, truth, actions);
        } else {
            self.end(id, actions);
        }
    }

    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.remove(&id) else { return };
        let safe = self.settings.classes[open.class].idempotency == Idempotency::Idempotent;
        actions.push(if safe || open.ran.is_none() {
            Action::Reject { request: id, retry_after: 0 }
        } else {
            Action::Fail { request: id }
        });
    }

    fn try_send(&mut self, now: Micros, id: RequestId, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        if now + 2 * LOOK >= open.deadline || (self.kind == Kind::Oracle && self.late(now, open)) {
            return self.end(id, actions);
        }
        let keyed = matches!(self.settings.classes[open.class].idempotency, Idempotency::WithKey { .. });
        let cell = open.ran.filter(|_| keyed).map(|(_, cell)| cell);
        let in_cell: Vec<ServerId>;
        let ready = match cell {
            None => &self.ready,
            Some(_) => {
                let in_it = |s: &&ServerId| self.servers.get(s).is_some_and(|k| Some(k.entry.cell) == cell);
                in_cell = self.ready.iter().filter(in_it).copied().collect();
                &in_cell
            }
        };
        let last = open.last;
        let fewest = |at: ServerId| self.servers.get(&at).map_or(0, |k| k.in_flight);
        let picked = match self.kind {
            _ if ready.is_empty() => None,
            Kind::RoundRobin => {
                self.turn += 1;
                Some(ready[self.turn % ready.len()])
            }
            Kind::TwoChoices => {
                let (a, b) = (other(&mut self.rng, ready, last), other(&mut self.rng, ready, last));
                Some(if fewest(b) < fewest(a) { b } else { a })
            }
            Kind::LeastInFlight => {
                let mut ties = Vec::new();
                let mut least = u32::MAX;
                for &at in ready.iter().filter(|s| ready.len() == 1 || Some(**s) != last) {
                    let own = fewest(at);
                    if own < least {
                        least = own;
                        ties.clear();
                    }
                    if own == least {
                        ties.push(at);
                    }
                }
                Some(ties[self.rng.usize(..ties.len())])
            }
            Kind::Oracle => match self.seen(now, ready, open, truth) {
                Some(at) => Some(at),
                // Holds what no server can take now: a place comes free before its time is over, or not.
                None => {
                    return actions.push(Action::Timer { delay: LOOK, token: id + LOOK_AGAIN });
                }
            },
            _ => Some(other(&mut self.rng, ready, last)),
        };
        let Some(server) = picked else { return self.end(id, actions) };
        if let Some(known) = self.servers.get_mut(&server) {
            known.in_flight += 1;
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.sent += 1;
        open.last = Some(server);
        actions.push(Action::Send { request: id, server, limit: open.deadline - now });
    }

    /// The server that would answer first, among those that would not be crowded or pushed over by one more.
    fn seen(&self, now: Micros, ready: &[ServerId], open: &Open, truth: &Truth<'_>) -> Option<ServerId> {
        let classes = &self.settings.classes;
        let least = classes.iter().map(|c| c.latency_objective).min().unwrap_or(0) as f64;
        // Classes with shorter aims cost less work: they get the last places.
        let rank =
            classes.iter().filter(|c| c.latency_objective < classes[open.class].latency_objective).count()
                as f64;
        let part = QUEUE[0] + (QUEUE[1] - QUEUE[0]) * rank / (classes.len() - 1).max(1) as f64;
        // What a tier above has worked on already is not given up behind it.
        let most = if self.settings.tier == 0 { least * part } else { f64::INFINITY };
        if self.settings.tier == 0 && truth.backlog_behind(0) > most {
            return None;
        }
        let mut best: Option<(f64, ServerId)> = None;
        for &id in ready {
            let (Some(state), Some(known)) = (truth.of(id), self.servers.get(&id)) else { continue };
            let pressed = state.warm_share < 1.0
                && state.backlog > COLD_PART * self.settings.rules.overload_window as f64 * state.warm_share;
            if !state.accepts || state.spare <= 1.0 || state.choked || pressed || state.backlog > most {
                continue;
            }
            let away = if known.entry.zone == self.settings.zone { 0.0 } else { 40_000.0 };
            let score = state.backlog + away + 1e3 * self.rng_free(id, now);
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Held for too long, or with too little time left.
    fn late(&self, now: Micros, open: &Open) -> bool {
        let aim = self.settings.classes[open.class].latency_objective as f64;
        let left = (open.deadline - now) as f64;
        let held = (now - open.since) as f64 > HOLD * aim && self.settings.tier == 0;
        open.sent == 0 && (held || left < LEAST_LEFT * aim / f64::from(1 + self.settings.tier))
    }

    /// A tie-break that draws nothing.
    fn rng_free(&self, server: ServerId, now: Micros) -> f64 {
        let mixed = (u64::from(server) ^ now ^ u64::from(self.settings.balancer_index) << 20)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 40) as f64 / (1u64 << 24) as f64
    }
}
