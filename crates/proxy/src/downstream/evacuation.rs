//! Divides the time between an evacuation and the moment at which all clients must have been sent away. 4 s after the call,
//! no connection may be idle or carry a request that arrived in the last 2 s.

use std::time::Duration;

use tokio::time::Instant;
use zincstand_policy::Micros;

/// Time from the start of an evacuation until which an idle connection may be used again. A client may take 2.4 s to send
/// the head of its last request, so every head has arrived within [`RESPONSE_TIME_LIMIT`].
const REUSE_TIME: Duration = Duration::from_millis(1400);
/// A request that arrives within this time from the start of an evacuation may use its complete deadline.
const FULL_DEADLINE_WINDOW: Duration = Duration::from_millis(1800);
/// Time from the start of an evacuation by which later requests have a response: 0.2 s before the limit.
const RESPONSE_TIME_LIMIT: Duration = Duration::from_millis(3800);
/// Time from the start of an evacuation until which requests are limited to [`RESPONSE_TIME_LIMIT`].
const LIMITED_WINDOW_END: Duration = Duration::from_millis(4100);

/// Returns until when an idle connection may be used again.
pub fn reusable_until(evacuated_at: Instant) -> Instant {
    evacuated_at + REUSE_TIME
}

/// Returns the time in microseconds that a request may take whose last byte arrives now. `evacuated_at` is the start of
/// the evacuation that is in force; `None` if there is none.
pub fn request_time_limit(evacuated_at: Option<Instant>) -> Micros {
    match evacuated_at.map(|at| at.elapsed()) {
        Some(elapsed) if elapsed > FULL_DEADLINE_WINDOW && elapsed < LIMITED_WINDOW_END => {
            RESPONSE_TIME_LIMIT.saturating_sub(elapsed).as_micros() as Micros
        }
        _ => Micros::MAX,
    }
}
