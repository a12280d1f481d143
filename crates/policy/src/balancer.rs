//! The balancer: composes the concerns, dispatches events to them and keeps the timers.

use std::collections::{BTreeMap, VecDeque};

use crate::admission::{self, Queues};
use crate::concurrency_limit::{self, QueueSignal};
use crate::context::Context;
use crate::decaying_rate::DecayingRate;
use crate::endpoints::{FIRST_POLL, POLL_AFTER_FAILURE, PollDelay};
use crate::event::{Action, ClassId, Event, ListKind, Micros, Outcome, RequestId};
use crate::fleet::Fleet;
use crate::idle_connections::IdleConnections;
use crate::learned::LearnedState;
use crate::learned_conversion::{restore_learned, save_learned};
use crate::outlier::{self, OutlierDetector};
use crate::request::{AttemptEnd, AttemptLimit, Continuation, NewRequest, Request};
use crate::retry::{self, RetryBudget};
use crate::selection::{self, Selection};
use crate::settings::{DiscoveryMode, Settings, SettingsError};
use crate::slow_start::{self, PauseAfter};
use crate::time_limits::{self, Latencies, MIN_SAMPLES};

/// Sweeps of the queued requests in the shortest latency objective.
const SWEEPS: u64 = 64;
/// Longest time between two: a retry's backoff and a slot that falls free do not grow with the objectives.
const MAX_SWEEP_INTERVAL: Micros = 40_000;
/// Rounds of housekeeping in the longest deadline.
const HOUSEKEEPING_ROUNDS: u64 = 16;

const SWEEP_TIMER: u64 = 1;
const HOUSEKEEPING_TIMER: u64 = 2;
const POLL_TIMER: u64 = 3;

/// The decisions of one balancer.
pub struct Balancer {
    context: Context,
    /// What the event at hand has led to so far.
    actions: Vec<Action>,
    fleet: Fleet,
    requests: BTreeMap<RequestId, Request>,
    queues: Queues,
    latencies: Latencies,
    /// Retries that wait for their backoff or are bound to a group.
    retries: Vec<RequestId>,
    retry_budget: RetryBudget,
    send_rate: DecayingRate,
    outliers: OutlierDetector,
    idle_connections: IdleConnections,
    sweep_interval: Micros,
    sweep_scheduled: bool,
    /// Time of the last housekeeping; none before the first event.
    last_housekeeping: Option<Micros>,
}

impl Balancer {
    /// Creates a balancer without servers. The same seed, settings and events give the same actions.
    ///
    /// # Errors
    ///
    /// Returns what [`Settings::check`] finds wrong.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let classes = settings.classes.len();
        // Samples decay by half over the longest deadline, so a shift shows within seconds.
        let half_life = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(1) as f64;
        let shortest = settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(1);
        Ok(Balancer {
            actions: Vec::new(),
            fleet: Fleet::default(),
            requests: BTreeMap::new(),
            queues: Queues::new(classes),
            latencies: Latencies::new(classes),
            retries: Vec::new(),
            retry_budget: RetryBudget::full(),
            send_rate: DecayingRate { recent: 0.0, started_at: 0, half_life },
            outliers: OutlierDetector::new(half_life),
            idle_connections: IdleConnections::new(),
            sweep_interval: (shortest / SWEEPS).min(MAX_SWEEP_INTERVAL).max(settings.tick),
            sweep_scheduled: false,
            last_housekeeping: None,
            context: Context::new(settings, seed),
        })
    }

    /// Handles one event and appends the actions that follow, to be carried out in order. `now` must never be
    /// less than in the call before. Events about requests or servers that are not known are ignored.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.context.now = now;
        if self.last_housekeeping.is_none() {
            self.send_rate.started_at = now;
            self.housekeep();
            if self.context.settings.discovery == DiscoveryMode::Poll {
                self.schedule_poll(&FIRST_POLL);
            }
        }
        match event {
            Event::EndpointList { kind: ListKind::Failed, .. } => self.schedule_poll(&POLL_AFTER_FAILURE),
            Event::EndpointList { kind, entries } => {
                let send_interval = self.mean_send_interval();
                self.fleet.apply(&mut self.context, kind, entries, send_interval);
            }
            Event::Request { id, class, time_left, work, body_pending, .. } => {
                self.admit(id, &NewRequest { class, time_left, work, body_pending });
            }
            Event::BodyComplete { request } => self.complete_body(request),
            Event::Outcome { request, server, outcome, latency, finished, body_consumed, .. } => {
                let continuation = Continuation::new(finished, body_consumed);
                self.record_outcome(request, AttemptEnd::new(server, outcome, latency, continuation));
            }
            // A stream that has begun is the client's: no limit, no retry; its outcome frees the slot.
            Event::FirstByte { request, .. } => drop(self.requests.remove(&request)),
            Event::ClientDisconnected { request } => self.cancel(request),
            Event::Timer { token: SWEEP_TIMER } => self.sweep(),
            Event::Timer { token: HOUSEKEEPING_TIMER } => self.housekeep(),
            Event::Timer { token: POLL_TIMER } => self.actions.push(Action::Watch),
            Event::Timer { .. } | Event::HealthChecked { .. } => {}
        }
        self.send_retries();
        self.send_queued();
        if !self.sweep_scheduled && (!self.retries.is_empty() || self.queues.len() > 0) {
            self.sweep_scheduled = true;
            self.actions.push(Action::Timer { delay: self.sweep_interval, token: SWEEP_TIMER });
        }
        actions.append(&mut self.actions);
    }

    /// How many servers it has looked at so far: what calls cost, whatever the machine.
    pub fn servers_examined(&self) -> u64 {
        self.context.servers_examined
    }

    /// Exports what a balancer that takes this one's place would have to learn anew.
    pub fn learned_state(&self, now: Micros) -> LearnedState {
        save_learned(now, &self.send_rate, &self.outliers, &self.latencies, &self.queues, &self.fleet)
    }

    /// Takes over what a balancer before this one learned, unless the number of classes differs. The endpoint
    /// list must have been handled before. Prevents a replaced process from sending as many as a new fleet
    /// would take, each without a bound, to one that is busy.
    pub fn restore(&mut self, now: Micros, learned: &LearnedState) {
        if learned.classes.len() != self.latencies.classes.len() {
            return;
        }
        self.context.now = now;
        let outliers = &mut self.outliers;
        let latencies = &mut self.latencies;
        restore_learned(learned, &mut self.send_rate, outliers, latencies, &mut self.queues, &mut self.fleet);
        self.fleet.count_usable(&mut self.context);
        // What a list says of cold servers was heard before the rate was known.
        let mean_pause = self.mean_pause();
        for server in &mut self.fleet.servers {
            slow_start::pause(&mut self.context, server, mean_pause, &PauseAfter::Discovery);
        }
    }

    fn schedule_poll(&mut self, poll: &PollDelay) {
        let delay = poll.draw(&mut self.context);
        self.actions.push(Action::Timer { delay, token: POLL_TIMER });
    }

    /// Queues a request; one of an unknown class fails.
    fn admit(&mut self, id: RequestId, new: &NewRequest) {
        let settings = &self.context.settings;
        let Some(class) = settings.classes.get(new.class) else {
            return self.actions.push(Action::Fail { request: id });
        };
        let queue = &mut self.queues.classes[new.class];
        queue.recent_offered += 1.0;
        queue.queued.push_back(id);
        let useful_time = time_limits::useful_time(settings, class, new.work);
        let work_scale = self.latencies.classes[new.class].work_scale(new.work, queue.recent_offered);
        self.requests.insert(id, Request::new(new, self.context.now, useful_time, work_scale));
        let limits = self.fleet.zones.values().map(|zone| zone.concurrency_limit).sum();
        if let Some(shed) = self.queues.shed(settings, &self.latencies, limits) {
            self.reject(shed);
        }
    }

    /// Starts a request's clock. Prevents slow uploads from passing for slow servers and from holding slots.
    fn complete_body(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id).filter(|request| request.body_pending) {
            request.complete_body(self.context.now);
            self.fleet.take_slot_of(request.server_in_use());
        }
    }

    /// The client left. Prevents slow servers from passing for quick ones where the clients of the slowest
    /// calls leave: a call in flight for longer than usual counts as late. A shorter one does not: clients
    /// leave for reasons of their own too, and would close the limit beside idle servers.
    fn cancel(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        if request.body_pending {
            return self.fleet.take_slot_of(request.server_in_use());
        }
        let usual = self.latencies.classes[request.class].lowest_median * request.work_scale;
        let Some(attempt) = request.attempt else { return };
        let is_late = self.context.now.saturating_sub(attempt.origin.sent_at) as f64 > usual;
        if is_late && let Some(zone) = self.fleet.zones.get_mut(&attempt.origin.zone) {
            zone.record_late_cancel();
        }
    }

    /// Gives a request its final answer without service.
    fn reject(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let median = self.latencies.classes[request.class].histogram.p50;
        let queue_drain_time = self.queues.len() as f64 * self.mean_send_interval();
        let retry_after = admission::retry_after(&self.context, &request, median, queue_drain_time);
        let rejected = retry_after.map(|retry_after| Action::Reject { request: id, retry_after });
        self.actions.push(rejected.unwrap_or(Action::Fail { request: id }));
    }

    fn cannot_finish(&self, request: &Request) -> bool {
        self.fleet.all_draining || self.latencies.cannot_finish(&self.context, request, self.sweep_interval)
    }

    fn mean_send_interval(&self) -> f64 {
        self.send_rate.mean_interval(self.context.now, MIN_SAMPLES)
    }

    fn mean_pause(&self) -> f64 {
        slow_start::mean_pause(self.mean_send_interval(), self.fleet.ready, &self.context.settings.rules)
    }

    fn send_retries(&mut self) {
        for id in std::mem::take(&mut self.retries) {
            let Some(request) = self.requests.get(&id) else { continue };
            if self.cannot_finish(request) || retry::dedup_window_over(&self.context, request) {
                self.reject(id);
            } else if request.not_before > self.context.now {
                self.retries.push(id);
            } else if let Some(server) = self.select_server(id) {
                self.send(id, server);
            } else {
                self.retries.push(id);
            }
        }
    }

    fn send_queued(&mut self) {
        if self.queues.len() > 0 {
            let order = self.queues.class_order(&self.context.settings, &self.latencies);
            while order.iter().any(|&class| self.send_one_queued(class)) {}
        }
    }

    /// Sends or rejects one queued request of the class: the newest that may go where there is room. Prevents
    /// the slots of other zones from going to those that can hardly finish any more.
    fn send_one_queued(&mut self, class: ClassId) -> bool {
        let queued = &self.queues.classes[class].queued;
        let may_cross = |id: &RequestId| self.requests.get(id).is_none_or(|r| self.may_cross_zones(r));
        for end in [queued.len(), queued.partition_point(may_cross)] {
            let Some(position) = end.checked_sub(1) else { continue };
            let Some(&id) = self.queues.classes[class].queued.get(position) else { continue };
            if self.requests.get(&id).is_none_or(|request| self.cannot_finish(request)) {
                self.queues.classes[class].queued.remove(position);
                self.reject(id);
                return true;
            }
            if let Some(server) = self.select_server(id) {
                self.queues.classes[class].queued.remove(position);
                self.send(id, server);
                return true;
            }
        }
        false
    }

    fn may_cross_zones(&self, request: &Request) -> bool {
        selection::may_cross_zones(&self.context, request, self.latencies.known_median(request.class))
    }

    /// Index of the server that the request's next attempt goes to, if one is free.
    fn select_server(&mut self, id: RequestId) -> Option<usize> {
        let request = self.requests.get(&id)?;
        let may_cross = self.may_cross_zones(request);
        let priority = self.queues.priority(request.class);
        Selection::new(&mut self.context, &self.fleet, request, priority, may_cross).select()
    }

    /// Sends an attempt to the server at `index`.
    fn send(&mut self, id: RequestId, index: usize) {
        let mean_pause = self.mean_pause();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let AttemptLimit { duration, timeout_blame } = self.latencies.attempt_limit(&self.context, request);
        if !request.body_pending {
            self.fleet.take_slot(index);
        }
        let server = &mut self.fleet.servers[index];
        self.send_rate.recent += 1.0;
        server.breakers.start_attempt(request.class);
        slow_start::pause(&mut self.context, server, mean_pause, &PauseAfter::Attempt);
        let gap = server.idle_since.pop().map_or(0, |since| self.context.now - since);
        let mut idle_bucket = IdleConnections::bucket(gap);
        let idempotency = self.context.settings.classes[request.class].idempotency;
        if self.idle_connections.must_close(idle_bucket, idempotency) {
            self.actions.push(Action::CloseIdle { server: server.entry.id });
            server.idle_since.clear();
            idle_bucket = 0;
        }
        if request.attempts == 0 {
            self.retry_budget.deposit();
        }
        request.start_attempt(self.context.now, &server.entry, timeout_blame, idle_bucket);
        self.actions.push(Action::Send { request: id, server: server.entry.id, limit: duration });
    }

    /// Learns from the end of an attempt and decides what follows for its request.
    fn record_outcome(&mut self, id: RequestId, mut end: AttemptEnd) {
        let Some(request) = self.requests.get_mut(&id) else {
            return self.record_at_server(None, &end, QueueSignal::Unknown);
        };
        let class = request.class;
        let queue_signal = if request.body_pending {
            // What ends before its last byte gives back a slot all the same, and is no measure of latency.
            self.fleet.take_slot_of(request.server_in_use());
            QueueSignal::Unknown
        } else {
            self.latencies.record(&self.context.settings, request, &end)
        };
        if let Some(attempt) = request.attempt.take() {
            // What its request's wait cut short says no more of the server than of the queues.
            if queue_signal != QueueSignal::Unknown {
                end.timeout_blame = attempt.timeout_blame;
            }
            self.idle_connections.record(attempt.idle_bucket, &end, self.latencies.all.p50);
            if !end.outcome.never_ran() {
                request.first_run.get_or_insert(attempt.origin);
            }
        }
        self.record_at_server(Some(class), &end, queue_signal);
        match end.continuation {
            Continuation::Finished => {
                let served = f64::from(u8::from(end.outcome == Outcome::Ok));
                self.queues.classes[class].recent_served += served;
                self.requests.remove(&id);
            }
            Continuation::AnswerOnly => self.reject(id),
            Continuation::Any => self.retry_or_reject(id, end.outcome),
        }
    }

    /// Keeps the server's slots, breakers and connections, and its zone's limit.
    fn record_at_server(&mut self, class: Option<ClassId>, end: &AttemptEnd, queue_signal: QueueSignal) {
        let may_eject = outlier::may_eject(end.outcome, self.fleet.ejected, self.fleet.servers.len());
        let Some(&index) = self.fleet.index_by_id.get(&end.server) else { return };
        let server = &mut self.fleet.servers[index];
        let zone = self.fleet.zones.entry(server.entry.zone).or_default();
        let counted = (server.is_usable(), server.breakers.ejected());
        if let QueueSignal::Lateness(lateness) = queue_signal {
            zone.adjust(&mut self.context, end, lateness);
        }
        server.release_slot(zone);
        match end.outcome {
            Outcome::Rejected => {
                server.not_before = outlier::rejection_pause_end(&mut self.context, self.latencies.all.p50);
            }
            Outcome::Ok | Outcome::Error => server.idle_since.push(self.context.now),
            Outcome::TimedOut | Outcome::Cancelled => zone.abandoned_in_flight += 1.0,
            Outcome::ConnectFailed | Outcome::Reset | Outcome::NotSent => {}
        }
        let breakers = &mut server.breakers;
        if end.outcome == Outcome::Ok {
            self.outliers.record_success(breakers, class);
        } else if outlier::is_failure(end) {
            self.outliers.record_failure(&mut self.context, breakers, class, may_eject);
        } else {
            breakers.allow_next_trial(self.context.now);
        }
        if counted != (server.is_usable(), server.breakers.ejected()) {
            self.fleet.count_usable(&mut self.context);
        }
    }

    fn retry_or_reject(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let median = self.latencies.known_median(request.class).unwrap_or(0.0);
        let backoff = retry::backoff(&mut self.context, median);
        if self.retry_budget.allows(&self.context.settings, request, outcome) {
            request.not_before = self.context.now + backoff;
            self.retries.push(id);
        } else {
            self.reject(id);
        }
    }

    fn sweep(&mut self) {
        self.sweep_scheduled = false;
        for class in 0..self.queues.classes.len() {
            let queued = std::mem::take(&mut self.queues.classes[class].queued);
            let is_lost = |id: &RequestId| self.requests.get(id).is_none_or(|r| self.cannot_finish(r));
            let (lost, kept): (VecDeque<_>, VecDeque<_>) = queued.into_iter().partition(is_lost);
            self.queues.classes[class].queued = kept;
            for id in lost {
                self.reject(id);
            }
        }
    }

    /// Lets what was learned decay, and schedules the next round.
    fn housekeep(&mut self) {
        let now = self.context.now;
        let half_life = self.send_rate.half_life;
        let elapsed = (now - self.last_housekeeping.unwrap_or(now)) as f64;
        self.last_housekeeping = Some(now);
        let remaining = 0.5_f64.powf(elapsed / half_life);
        self.latencies.decay(now, elapsed, half_life);
        self.queues.decay(remaining);
        self.send_rate.recent *= remaining;
        self.idle_connections.decay(remaining);
        let median = self.latencies.all.p50;
        let abandoned = concurrency_limit::abandoned_remaining(elapsed, median, remaining);
        self.fleet.zones.values_mut().for_each(|zone| zone.abandoned_in_flight *= abandoned);
        let delay = (half_life as Micros / HOUSEKEEPING_ROUNDS).max(1);
        self.actions.push(Action::Timer { delay, token: HOUSEKEEPING_TIMER });
    }
}
