//! How the time between the order to stop and the kill is used.

use std::time::Duration;

use tokio::time::Instant;
use zincstand_policy::Micros;

/// The platform kills the process after the longest deadline, or after this where the deadline is longer ...
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// ... and this much more; a margin is already taken off.
const KILL_GRACE: Duration = Duration::from_millis(500);
/// Fraction of the time in which connections and requests are still accepted: the front needs it to find other
/// balancers ...
const ACCEPTING_FRACTION: f64 = 0.37;
/// ... and the least, whatever the deadlines: new connections come for 0.4 s after the order.
const MIN_ACCEPTING_TIME: Duration = Duration::from_millis(500);
/// A request that comes within this time of the order may use its whole deadline.
const FULL_DEADLINE_TIME: Duration = Duration::from_millis(600);
/// How long a connection that has carried nothing is still kept once the listener is closed.
pub(super) const UNUSED_CONNECTION_GRACE: Duration = Duration::from_millis(200);

/// The time that the process has for a graceful shutdown.
#[derive(Clone, Copy)]
pub struct ShutdownBudget {
    total: Duration,
}

impl ShutdownBudget {
    /// The budget of a proxy whose classes have at most this deadline.
    pub fn new(longest_deadline: Micros) -> ShutdownBudget {
        ShutdownBudget { total: Duration::from_micros(longest_deadline).min(MAX_DEADLINE) + KILL_GRACE }
    }

    /// How long after the order to stop the last answer is given.
    pub fn total(self) -> Duration {
        self.total
    }

    /// How long after the order to stop a listener that no other process shares still accepts connections.
    pub fn accepting_time(self) -> Duration {
        self.total.mul_f64(ACCEPTING_FRACTION).max(MIN_ACCEPTING_TIME).min(self.total)
    }

    /// How much time a request may take that has come by now: what comes late is answered before the kill.
    pub fn request_time(self, stop_requested: Option<Instant>) -> Micros {
        match stop_requested {
            Some(stop) if stop.elapsed() > FULL_DEADLINE_TIME => {
                self.total.saturating_sub(stop.elapsed()).as_micros() as Micros
            }
            _ => Micros::MAX,
        }
    }
}
