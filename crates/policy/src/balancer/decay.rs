//! Timers, the expiry of queued requests, the decay of statistics, and the learned state.

use std::collections::VecDeque;

use super::Balancer;
use crate::concurrency_limit;
use crate::event::{Action, EndReason, Micros, RequestId};
use crate::learned::{LearnedClass, LearnedState};
use crate::settings::Settings;
use crate::slow_start::{self, PauseAfter};

/// Number of checks for expired queued requests during the shortest latency objective.
const EXPIRY_CHECKS_PER_OBJECTIVE: u64 = 64;
/// Maximum time between two expiry checks, in microseconds. Retries and queued requests are also sent at
/// these checks, so a long latency objective would otherwise lengthen backoffs and waits for a free slot.
const MAX_EXPIRY_INTERVAL: Micros = 40_000;
/// Number of decays of the statistics during the longest deadline.
const DECAYS_PER_DEADLINE: u64 = 16;

/// Token of the timer for the next expiry check.
const EXPIRY_TIMER: u64 = 1;
/// Token of the timer for the next decay of the statistics.
const DECAY_TIMER: u64 = 2;
/// Token of the timer for the next poll of discovery.
pub(super) const POLL_TIMER: u64 = 3;

/// Returns the time between two expiry checks, in microseconds.
pub(super) fn expiry_interval(settings: &Settings) -> Micros {
    let shortest = settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(1);
    (shortest / EXPIRY_CHECKS_PER_OBJECTIVE).min(MAX_EXPIRY_INTERVAL).max(settings.tick)
}

impl Balancer {
    /// Exports what the balancer has learned, for the process that replaces it.
    pub fn learned_state(&self, now: Micros) -> LearnedState {
        let mut learned = LearnedState {
            saved_at: now,
            first_started_at: self.send_rate.started_at(),
            recent_sends: self.send_rate.recent_count(),
            classes: vec![LearnedClass::default(); self.latencies.class_count()],
            ..LearnedState::default()
        };
        self.outliers.export(&mut learned);
        self.latencies.export(&mut learned);
        self.queues.export(&mut learned);
        self.fleet.export(&mut learned);
        learned
    }

    /// Imports what the replaced process had learned, unless its number of classes differs.
    ///
    /// The endpoint list must have been handled before. Without this state a new process would send as much
    /// to a busy fleet as to an idle one, and its attempts would have no learned time limit.
    pub fn restore(&mut self, now: Micros, learned: &LearnedState) {
        if learned.classes.len() != self.latencies.class_count() {
            return;
        }
        self.context.advance_to(now);
        self.send_rate.import(learned.first_started_at, learned.recent_sends);
        self.outliers.import(learned);
        self.latencies.import(learned);
        self.queues.import(learned);
        self.fleet.import(learned);
        self.fleet.recount_servers(&mut self.context);
        // The endpoint list was applied before the send rate was known, so the pauses that it set are wrong.
        let interval = self.warm_up_interval();
        for server in self.fleet.servers_mut() {
            slow_start::pause_if_warming_up(&mut self.context, server, interval, &PauseAfter::Discovery);
        }
    }

    /// Handles a timer that has expired. Unknown tokens are ignored.
    pub(super) fn handle_timer(&mut self, token: u64) {
        match token {
            EXPIRY_TIMER => self.expire_queued(),
            DECAY_TIMER => self.decay_statistics(),
            POLL_TIMER => self.actions.push(Action::Watch),
            _ => {}
        }
    }

    /// Sets the timer of the next expiry check if requests are waiting and the timer is not set yet.
    pub(super) fn schedule_expiry(&mut self) {
        let requests_wait = !self.retries.is_empty() || !self.queues.is_empty();
        if requests_wait && !self.expiry_scheduled {
            self.expiry_scheduled = true;
            self.actions.push(Action::Timer { delay: self.expiry_interval, token: EXPIRY_TIMER });
        }
    }

    /// Rejects the queued requests that cannot finish any more.
    fn expire_queued(&mut self) {
        self.expiry_scheduled = false;
        for class in 0..self.latencies.class_count() {
            let queued = self.queues.take_queued(class);
            let (expired, remaining): (VecDeque<_>, VecDeque<_>) =
                queued.into_iter().partition(|id| self.is_expired(*id));
            self.queues.put_back(class, remaining);
            for id in expired {
                self.reject(id, EndReason::CannotFinish);
            }
        }
    }

    /// Whether a queued request cannot finish any more, or has ended already.
    fn is_expired(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|request| self.cannot_finish(request))
    }

    /// Lets all statistics decay by the time since the last call, and sets the timer of the next decay.
    pub(super) fn decay_statistics(&mut self) {
        let now = self.context.now();
        let half_life = self.send_rate.half_life();
        let elapsed = (now - self.last_decay.unwrap_or(now)) as f64;
        self.last_decay = Some(now);
        let remaining = 0.5_f64.powf(elapsed / half_life);
        self.latencies.decay(now, elapsed, half_life);
        self.queues.decay(remaining);
        self.send_rate.decay(remaining);
        self.idle_connections.decay(remaining);
        let median = self.latencies.overall_median();
        self.fleet.decay_abandoned(concurrency_limit::abandoned_remaining(elapsed, median, remaining));
        let delay = (half_life as Micros / DECAYS_PER_DEADLINE).max(1);
        self.actions.push(Action::Timer { delay, token: DECAY_TIMER });
    }
}
