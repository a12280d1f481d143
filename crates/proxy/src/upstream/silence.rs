//! Tells an upstream that has gone silent in the middle of a response from one that pauses.

use std::time::Duration;

use tokio::time::Instant;

use crate::upstream::body_prefix::MAX_BUFFERED_BODY_BYTES;

/// How long after the client's deadline a response ends that has been silent for long enough.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);
/// Maximum pause in a response of over [`MAX_BUFFERED_BODY_BYTES`], of which only the first bytes have to arrive by the
/// client's deadline.
const MAX_PAUSE_OF_LONG_RESPONSE: Duration = Duration::from_secs(2);
/// Maximum pause in a response that may be short, as a multiple of the client's time at the start of the response.
const MAX_PAUSE_TIMES: u32 = 2;
/// Lower bound of that pause.
const SHORTEST_MAX_PAUSE: Duration = Duration::from_millis(500);
/// Upper bound of that pause.
const LONGEST_MAX_PAUSE: Duration = Duration::from_millis(1750);
/// A response may pause for this many times its longest pause so far.
const PAUSE_GROWTH: u32 = 2;
/// Silence that never counts as a pause.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// The silence of an upstream in the middle of a response. Only the time counts in which the proxy waits for the
/// upstream, and not that in which the client accepts no bytes.
pub struct Silence {
    /// When the client stops waiting; `None` until it is known.
    deadline: Option<Instant>,
    /// Maximum pause while the response may be short.
    max_pause: Duration,
    /// Start of the current wait for more bytes; `None` while the proxy does not wait.
    since: Option<Instant>,
    longest_pause: Duration,
    /// Number of body bytes that are known to belong to the response.
    known_bytes: u64,
}

impl Silence {
    /// Creates the state of a response of which `known_bytes` bytes have arrived or were declared.
    pub fn new(known_bytes: u64) -> Silence {
        let max_pause = LONGEST_MAX_PAUSE;
        Silence { deadline: None, max_pause, since: None, longest_pause: Duration::ZERO, known_bytes }
    }

    /// Sets for how long the client waits for the response.
    pub fn set_time_left(&mut self, now: Instant, time_left: Duration) {
        self.deadline = Some(now + time_left);
        self.max_pause = (time_left * MAX_PAUSE_TIMES).clamp(SHORTEST_MAX_PAUSE, LONGEST_MAX_PAUSE);
    }

    /// Records the arrival of bytes.
    pub fn record_bytes(&mut self, bytes: usize, now: Instant) {
        self.known_bytes = self.known_bytes.saturating_add(bytes as u64);
        if let Some(since) = self.since.take() {
            self.longest_pause = self.longest_pause.max(now - since);
        }
    }

    /// Records that no bytes have arrived. Returns when the response has to be cut off if none arrive until then;
    /// `None` while the client's deadline is unknown.
    pub fn record_nothing(&mut self, now: Instant) -> Option<Instant> {
        let since = *self.since.get_or_insert(now);
        let cut_off_at = self.deadline? + DEADLINE_GRACE;
        Some(cut_off_at.max(since + self.longest_expected_pause()))
    }

    /// Records the end of the response.
    pub fn record_end(&mut self) {
        self.since = None;
    }

    /// Returns since when the proxy has waited for more bytes; `None` while it does not.
    pub fn since(&self) -> Option<Instant> {
        self.since
    }

    fn longest_expected_pause(&self) -> Duration {
        let is_long = self.known_bytes > MAX_BUFFERED_BODY_BYTES as u64;
        let max_pause = if is_long { MAX_PAUSE_OF_LONG_RESPONSE } else { self.max_pause };
        max_pause.max((self.longest_pause * PAUSE_GROWTH).min(MAX_PAUSE))
    }
}

#[cfg(test)]
mod tests;
