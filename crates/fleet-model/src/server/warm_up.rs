//! Work that reaches a warming server, and the rule by which the server collapses under too much of it.

use std::collections::VecDeque;

use zincstand_policy::Micros;

/// Work that has reached a warming server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpWork {
    /// Time of arrival.
    pub at: Micros,
    /// Work in microseconds.
    pub work: f64,
    /// Whether the sender had been notified of the start of the server.
    pub informed: bool,
}

/// Rule by which a warming server collapses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverloadRule {
    /// Multiple of its current capacity that a server may receive within the window.
    pub factor: f64,
    /// Length of the window.
    pub window: Micros,
}

/// Work that has reached a warming server within the window of the rule.
#[derive(Default)]
pub(super) struct WarmUpWorkWindow {
    arrived: VecDeque<WarmUpWork>,
}

impl WarmUpWorkWindow {
    /// Removes all work.
    pub fn clear(&mut self) {
        self.arrived.clear();
    }

    /// Adds work and removes the work that arrived before the window. If the rest exceeds `limit`, returns the share
    /// of the work whose senders had been notified of the start.
    pub fn add(&mut self, arrived: WarmUpWork, window: Micros, limit: f64) -> Option<f64> {
        self.arrived.push_back(arrived);
        while self.arrived.front().is_some_and(|first| first.at + window < arrived.at) {
            self.arrived.pop_front();
        }
        let sum: f64 = self.arrived.iter().map(|arrived| arrived.work).sum();
        let heaviest = self.arrived.iter().map(|arrived| arrived.work).fold(0.0, f64::max);
        // The heaviest request does not count: one heavy request is chance, and not overload caused by the balancers.
        if sum - heaviest <= limit {
            return None;
        }
        let informed: f64 =
            self.arrived.iter().filter(|arrived| arrived.informed).map(|arrived| arrived.work).sum();
        Some(informed / sum)
    }
}
