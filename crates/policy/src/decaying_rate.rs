//! The rate of recent events, counted with a decay.

use crate::event::Micros;

pub(crate) struct DecayingRate {
    /// Events, decayed.
    pub recent: f64,
    /// When the first one could have been counted.
    pub started_at: Micros,
    /// In microseconds.
    pub half_life: f64,
}

impl DecayingRate {
    /// Mean time between two events, in microseconds. One that started a moment ago has no events that
    /// decayed; with less than `min_events`, it counts as if it had been running for long.
    pub fn mean_interval(&self, now: Micros, min_events: f64) -> f64 {
        let undecayed = 0.5_f64.powf((now - self.started_at) as f64 / self.half_life);
        let decayed = if self.recent < min_events { 1.0 } else { 1.0 - undecayed };
        self.half_life * std::f64::consts::LOG2_E * decayed / self.recent.max(1.0)
    }
}
