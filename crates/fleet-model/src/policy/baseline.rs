//! Behaviour that all baselines share: one retry, and compliance with the rules on draining servers and on repeated
//! requests.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

use zincstand_policy::{
    Action, EndReason, Event, Idempotency, ListKind, Micros, Outcome, RequestId, ServerEntry, ServerId,
    ServerState, Settings,
};

use super::Policy;
use super::full_knowledge::FullKnowledge;
use super::known_state::{KnownServer, OpenRequest, PossibleRun};
use super::selection::{Selector, Strategy};
use crate::server::GroundTruth;

/// Largest number of attempts of a request whose class permits repeats.
const MAX_ATTEMPTS: u32 = 2;
/// Interval at which the baseline with full knowledge tries to send a queued request. All baselines give a request up
/// when no more than twice this time is left.
const QUEUE_RETRY_INTERVAL: Micros = 5_000;
/// Difference between the token of the timer of a queued request and the id of the request. It keeps token 0 unused.
const QUEUE_TOKEN_OFFSET: u64 = 1;

/// An attempt that ended without answering its request.
struct FailedAttempt {
    server: ServerId,
    outcome: Outcome,
    latency: Micros,
}

/// A policy that chooses servers by a single strategy.
pub(super) struct Baseline {
    strategy: Strategy,
    settings: Settings,
    selector: Selector,
    servers: BTreeMap<ServerId, KnownServer>,
    /// Ids of the servers that accept requests, in ascending order.
    ready: Vec<ServerId>,
    requests: BTreeMap<RequestId, OpenRequest>,
}

impl Policy for Baseline {
    fn handle(&mut self, now: Micros, event: Event, truth: &GroundTruth<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { kind, entries } => self.update_list(kind, entries),
            Event::Request { id, class, time_left, .. } => {
                let request = OpenRequest {
                    class,
                    arrived: now,
                    deadline: now + time_left,
                    attempts_sent: 0,
                    possible_run: None,
                    last_server: None,
                };
                self.requests.insert(id, request);
                self.try_send(now, id, truth, actions);
            }
            Event::Outcome { request, server, outcome, finished, latency, .. } => {
                if let Some(known) = self.servers.get_mut(&server) {
                    known.in_flight = known.in_flight.saturating_sub(1);
                }
                if finished {
                    self.requests.remove(&request);
                } else {
                    let failed = FailedAttempt { server, outcome, latency };
                    self.retry_or_give_up(now, request, &failed, truth, actions);
                }
            }
            Event::ClientDisconnected { request } => {
                self.requests.remove(&request);
            }
            Event::Timer { token } => self.try_send(now, token - QUEUE_TOKEN_OFFSET, truth, actions),
            Event::BodyComplete { .. }
            | Event::FirstByte { .. }
            | Event::HealthChecked { .. }
            | Event::ResponseStarted { .. }
            | Event::ResponseEnded { .. } => {}
        }
    }
}

impl Baseline {
    /// Creates a baseline that knows no servers.
    pub fn new(strategy: Strategy, settings: Settings, seed: u64) -> Baseline {
        Baseline {
            strategy,
            selector: Selector::new(strategy, settings.balancer_index as usize, seed),
            settings,
            servers: BTreeMap::new(),
            ready: Vec::new(),
            requests: BTreeMap::new(),
        }
    }

    fn update_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        match kind {
            ListKind::Failed => return,
            ListKind::Delta => {}
            ListKind::Snapshot | ListKind::CachedSnapshot => {
                let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.id).collect();
                self.servers.retain(|id, _| listed.contains(id));
            }
        }
        for entry in entries {
            if entry.state == ServerState::Removed {
                self.servers.remove(&entry.id);
            } else if let Some(known) = self.servers.get_mut(&entry.id) {
                known.entry = entry;
            } else {
                self.servers.insert(entry.id, KnownServer { entry, in_flight: 0 });
            }
        }
        let ready = self.servers.values().filter(|known| known.entry.state == ServerState::Ready);
        self.ready = ready.map(|known| known.entry.id).collect();
    }

    fn retry_or_give_up(
        &mut self,
        now: Micros,
        id: RequestId,
        failed: &FailedAttempt,
        truth: &GroundTruth<'_>,
        actions: &mut Vec<Action>,
    ) {
        let cell = self.servers.get(&failed.server).map_or(0, |known| known.entry.cell);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !failed.outcome.never_ran() {
            let run = PossibleRun { sent_at: now - failed.latency, cell };
            request.possible_run.get_or_insert(run);
        }
        let repeatable = match (self.settings.classes[request.class].idempotency, request.possible_run) {
            (Idempotency::NotIdempotent, Some(_)) => false,
            (Idempotency::WithKey { window, .. }, Some(run)) => {
                now + self.settings.tick < run.sent_at + window
            }
            _ => true,
        };
        let max_attempts = MAX_ATTEMPTS.min(self.settings.limits.max_attempts);
        if repeatable && request.attempts_sent < max_attempts && now < request.deadline {
            self.try_send(now, id, truth, actions);
        } else {
            self.give_up(id, actions);
        }
    }

    /// Gives a request up. Rejects it if no server can have executed it or it is idempotent, and fails it otherwise.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        let idempotent = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        let reason = EndReason::NoRetryAllowed;
        actions.push(if idempotent || request.possible_run.is_none() {
            Action::Reject { request: id, retry_after: 0, reason }
        } else {
            Action::Fail { request: id, reason }
        });
    }

    fn try_send(&mut self, now: Micros, id: RequestId, truth: &GroundTruth<'_>, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let knowledge = FullKnowledge { settings: &self.settings, servers: &self.servers, truth, now };
        let has_full_knowledge = self.strategy == Strategy::FullKnowledge;
        if now + 2 * QUEUE_RETRY_INTERVAL >= request.deadline
            || (has_full_knowledge && knowledge.is_too_late(request))
        {
            return self.give_up(id, actions);
        }
        let candidates = candidates(request, &self.settings, &self.servers, &self.ready);
        if candidates.is_empty() {
            return self.give_up(id, actions);
        }
        let server = if has_full_knowledge {
            let Some(server) = knowledge.choose(&candidates, request) else {
                // No server can take the request now: it stays queued until a slot becomes free or it is too late.
                actions.push(Action::Timer { delay: QUEUE_RETRY_INTERVAL, token: id + QUEUE_TOKEN_OFFSET });
                return;
            };
            server
        } else {
            self.selector.choose(&candidates, request.last_server, &self.servers)
        };
        self.send(now, id, server, actions);
    }

    fn send(&mut self, now: Micros, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.in_flight += 1;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts_sent += 1;
        request.last_server = Some(server);
        let limit = request.deadline - now;
        actions.push(Action::Send { request: id, server, limit, begin_within: None });
    }
}

/// Returns the ready servers that may receive a request. After an attempt that a server may have executed, a request
/// with an idempotency key may only be sent to the cell that has received the key.
fn candidates<'a>(
    request: &OpenRequest,
    settings: &Settings,
    servers: &BTreeMap<ServerId, KnownServer>,
    ready: &'a [ServerId],
) -> Cow<'a, [ServerId]> {
    let has_key = matches!(settings.classes[request.class].idempotency, Idempotency::WithKey { .. });
    match request.possible_run {
        Some(run) if has_key => {
            let in_cell = |id: &&ServerId| servers.get(id).is_some_and(|known| known.entry.cell == run.cell);
            Cow::Owned(ready.iter().filter(in_cell).copied().collect())
        }
        _ => Cow::Borrowed(ready),
    }
}
