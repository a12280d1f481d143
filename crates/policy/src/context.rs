//! State that all decisions share: the settings, the time, and the random numbers.

use crate::event::Micros;
use crate::settings::Settings;

/// Settings, time and random numbers of a balancer.
pub(crate) struct Context {
    /// The balancer's settings. They never change.
    pub settings: Settings,
    /// Source of all random numbers. Decisions are reproducible: they depend on the seed and the events only.
    pub rng: fastrand::Rng,
    now: Micros,
    servers_examined: u64,
}

impl Context {
    /// Creates the context of a balancer at time 0.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Context { settings, rng: fastrand::Rng::with_seed(seed), now: 0, servers_examined: 0 }
    }

    /// Time of the event being handled.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Sets the time of the event being handled.
    pub fn advance_to(&mut self, now: Micros) {
        self.now = now;
    }

    /// Number of servers that decisions have examined so far.
    pub fn servers_examined(&self) -> u64 {
        self.servers_examined
    }

    /// Adds to the number of servers that decisions have examined.
    pub fn count_examined(&mut self, servers: usize) {
        self.servers_examined += servers as u64;
    }
}
