//! The policy's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use zincstand_policy::Micros;

/// Unix time read once at the start, and the runtime's monotonic clock from there on. It is based on Unix time because
/// endpoint lists give start times in it; it never jumps when the system's clock is set.
pub(super) struct Clock {
    unix_at_start: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(super) fn new() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_at_start: unix_time.as_micros() as Micros, start: Instant::now() }
    }

    /// The present time, in microseconds of Unix time.
    pub(super) fn now(&self) -> Micros {
        self.unix_at_start + self.start.elapsed().as_micros() as Micros
    }

    /// The runtime's instant for `time`; the start for anything earlier.
    pub(super) fn instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time.saturating_sub(self.unix_at_start))
    }
}
