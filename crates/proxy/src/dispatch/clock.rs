//! The policy's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use zincstand_policy::Micros;

/// Unix time that is read once at the start and then advanced by the runtime's monotonic clock. The policy needs Unix time,
/// because endpoint lists give the start times of servers in Unix time. The monotonic clock prevents jumps of the policy's
/// time when the system's clock is set.
pub(super) struct Clock {
    unix_at_start: Micros,
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts now.
    pub(super) fn new() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_at_start: unix_time.as_micros() as Micros, start: Instant::now() }
    }

    /// Returns the current time, in microseconds of Unix time.
    pub(super) fn now(&self) -> Micros {
        self.unix_at_start + self.start.elapsed().as_micros() as Micros
    }

    /// Returns the runtime's instant for `time`, in microseconds of Unix time, or the clock's start if `time` is earlier.
    pub(super) fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time.saturating_sub(self.unix_at_start))
    }
}
