//! The rate of recent events.

use crate::event::Micros;

/// Rate of recent events, from a count that decays with time.
pub(crate) struct DecayingRate {
    /// Decayed number of events.
    recent_count: f64,
    /// Time from which events are counted.
    started_at: Micros,
    /// Half-life of the count, in microseconds.
    half_life: f64,
}

impl DecayingRate {
    /// Creates a rate without events. `half_life` is in microseconds.
    pub fn new(half_life: f64) -> Self {
        DecayingRate { recent_count: 0.0, started_at: 0, half_life }
    }

    /// Starts counting at `now`.
    pub fn start(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// Counts an event.
    pub fn record(&mut self) {
        self.recent_count += 1.0;
    }

    /// Multiplies the count by `remaining`.
    pub fn decay(&mut self, remaining: f64) {
        self.recent_count *= remaining;
    }

    /// Half-life of the count, in microseconds.
    pub fn half_life(&self) -> f64 {
        self.half_life
    }

    /// Time from which events are counted.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Decayed number of events.
    pub fn recent_count(&self) -> f64 {
        self.recent_count
    }

    /// Continues the count of an earlier process, which began at `started_at`.
    pub fn import(&mut self, started_at: Micros, recent_count: f64) {
        self.started_at = started_at;
        self.recent_count = recent_count;
    }

    /// Mean interval between two events, in microseconds.
    ///
    /// Shortly after the start the count is below that of a steady rate, and the interval is corrected for
    /// that. With fewer than `min_events` it is not corrected.
    pub fn mean_interval(&self, now: Micros, min_events: f64) -> f64 {
        let remaining = 0.5_f64.powf((now - self.started_at) as f64 / self.half_life);
        let steady_share = if self.recent_count < min_events { 1.0 } else { 1.0 - remaining };
        self.half_life * std::f64::consts::LOG2_E * steady_share / self.recent_count.max(1.0)
    }
}

#[cfg(test)]
mod tests;
