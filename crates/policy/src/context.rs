//! What decisions have in common: the settings, the time of the event at hand, and the random numbers.

use crate::event::Micros;
use crate::settings::Settings;

pub(crate) struct Context {
    pub settings: Settings,
    /// Time of the event that is being handled.
    pub now: Micros,
    pub rng: fastrand::Rng,
    /// Servers that decisions have looked at so far.
    pub servers_examined: u64,
}

impl Context {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Context { settings, now: 0, rng: fastrand::Rng::with_seed(seed), servers_examined: 0 }
    }
}
