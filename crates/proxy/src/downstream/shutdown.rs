//! Divides the time between the shutdown signal and SIGKILL. The platform sends SIGKILL no earlier than the longest
//! deadline of the request classes, counted as 3 s if it is longer, plus 0.7 s after SIGTERM.

use std::time::Duration;

use tokio::time::Instant;
use zincstand_policy::Micros;

/// Value at which the platform caps the longest deadline when it computes the time of SIGKILL.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the longest deadline that the shutdown may use: the platform's 0.7 s less a margin of 0.2 s before SIGKILL.
const GRACE_AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// Fraction of the total time during which connections are still accepted, so that clients have time to find other
/// balancers.
const ACCEPTING_FRACTION: f64 = 0.37;
/// Minimum time during which connections are still accepted. Clients open new connections for up to 0.4 s after the
/// shutdown signal.
const MIN_ACCEPTING_TIME: Duration = Duration::from_millis(500);
/// A request that arrives within this time after the shutdown signal may use its complete deadline. Even a deadline of
/// [`MAX_DEADLINE`] then ends 0.1 s before SIGKILL.
const FULL_DEADLINE_WINDOW: Duration = Duration::from_millis(600);
/// How long a connection may wait for a request in [`Phase::ClosingListener`](crate::lifecycle::Phase::ClosingListener),
/// counted from when the connection's task observes that phase.
pub(super) const UNUSED_CONNECTION_GRACE: Duration = Duration::from_millis(200);

/// The time that the process has for a graceful shutdown.
#[derive(Clone, Copy)]
pub struct ShutdownBudget {
    total: Duration,
}

impl ShutdownBudget {
    /// Creates the budget of a proxy. `longest_deadline` is the longest deadline of its request classes in microseconds.
    pub fn new(longest_deadline: Micros) -> ShutdownBudget {
        ShutdownBudget {
            total: Duration::from_micros(longest_deadline).min(MAX_DEADLINE) + GRACE_AFTER_DEADLINE,
        }
    }

    /// Returns the time from the shutdown signal by which each request must have arrived completely, and late requests
    /// must have a response.
    pub fn total(self) -> Duration {
        self.total
    }

    /// Returns the time from the shutdown signal to the end of accepting, for a listener that no other process shares.
    pub fn accepting_time(self) -> Duration {
        self.total.mul_f64(ACCEPTING_FRACTION).max(MIN_ACCEPTING_TIME).min(self.total)
    }

    /// Returns the time in microseconds that a request arriving now may take. The time is limited only for requests
    /// that arrive more than [`FULL_DEADLINE_WINDOW`] after the shutdown signal, so that they get a response before
    /// SIGKILL. `shutdown_requested_at` is the time of that signal; `None` if there was none.
    pub fn request_time_limit(self, shutdown_requested_at: Option<Instant>) -> Micros {
        match shutdown_requested_at {
            Some(requested_at) if requested_at.elapsed() > FULL_DEADLINE_WINDOW => {
                self.total.saturating_sub(requested_at.elapsed()).as_micros() as Micros
            }
            _ => Micros::MAX,
        }
    }
}
