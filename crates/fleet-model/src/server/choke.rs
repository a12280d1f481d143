//! Metastable overload: a server that is crowded for too long becomes slow (it chokes), and stays slow until it has
//! been nearly idle for a while or a time limit has passed.

use std::collections::VecDeque;

use zincstand_policy::Micros;

use crate::scenario::Choke;

/// Number of samples of the busy time of a choked server within the window over which its utilization is measured.
const SAMPLES_PER_WINDOW: u64 = 10;

/// Busy time of a server up to an instant, in microseconds.
#[derive(Clone, Copy)]
struct BusySample {
    at: Micros,
    busy_time: f64,
}

/// Choke state of a server, with the observations that decide when it chokes or recovers.
pub(super) struct ChokeState {
    settings: Choke,
    choked_since: Option<Micros>,
    ever_choked: bool,
    crowded_since: Option<Micros>,
    /// Samples of the busy time while the server is choked, the oldest first.
    busy_samples: VecDeque<BusySample>,
}

impl ChokeState {
    /// Creates the state of a server that is not choked.
    pub fn new(settings: Choke) -> ChokeState {
        ChokeState {
            settings,
            choked_since: None,
            ever_choked: false,
            crowded_since: None,
            busy_samples: VecDeque::new(),
        }
    }

    /// Whether the server is choked now.
    pub fn is_choked(&self) -> bool {
        self.choked_since.is_some()
    }

    /// Whether the server has choked at least once.
    pub fn has_ever_choked(&self) -> bool {
        self.ever_choked
    }

    /// Returns the factor by which work takes longer.
    pub fn slowdown(&self) -> f64 {
        if self.is_choked() { self.settings.slowdown } else { 1.0 }
    }

    /// Returns the number of running and waiting jobs above which a server with this number of cores is crowded.
    pub fn crowding_limit(&self, cores: f64) -> f64 {
        (1.0 + self.settings.queue_threshold) * cores
    }

    /// Returns the time at which the state must be updated if no earlier event updates it. `None` if it will not
    /// change.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let choke_at = self.crowded_since.map(|since| (since + self.settings.time_to_choke.0).max(now + 1));
        let sample_at =
            self.choked_since.map(|_| now + (self.settings.recovery_window.0 / SAMPLES_PER_WINDOW).max(1));
        [choke_at, sample_at].into_iter().flatten().min()
    }

    /// Updates the state. `excess_jobs` is the number of running and waiting jobs beyond the cores, and `busy_time` is
    /// the time for which the cores were busy so far, in microseconds.
    pub fn update(&mut self, now: Micros, excess_jobs: f64, cores: f64, busy_time: f64) {
        match self.choked_since {
            Some(since) => self.recover_if_nearly_idle(now, since, busy_time),
            None => self.choke_if_crowded(now, excess_jobs, cores),
        }
    }

    /// Resets the state when the process of the server ends.
    pub fn reset(&mut self) {
        self.choked_since = None;
        self.crowded_since = None;
        self.busy_samples.clear();
    }

    fn recover_if_nearly_idle(&mut self, now: Micros, since: Micros, busy_time: f64) {
        let window = self.settings.recovery_window.0;
        let sample_interval = window / SAMPLES_PER_WINDOW;
        if self.busy_samples.back().is_none_or(|last| now >= last.at + sample_interval) {
            self.busy_samples.push_back(BusySample { at: now, busy_time });
        }
        while self.busy_samples.len() > 1 && self.busy_samples[1].at + window <= now {
            self.busy_samples.pop_front();
        }
        let first = self.busy_samples[0];
        let busy_since_first = busy_time - first.busy_time;
        let nearly_idle = now >= first.at + window
            && busy_since_first < self.settings.recovery_utilization * (now - first.at) as f64;
        if nearly_idle || now >= since + self.settings.max_duration.0 {
            self.reset();
        }
    }

    fn choke_if_crowded(&mut self, now: Micros, excess_jobs: f64, cores: f64) {
        if excess_jobs <= self.settings.queue_threshold * cores {
            self.crowded_since = None;
            return;
        }
        let since = *self.crowded_since.get_or_insert(now);
        if now >= since + self.settings.time_to_choke.0 {
            self.choked_since = Some(now);
            self.ever_choked = true;
            self.crowded_since = None;
        }
    }
}
