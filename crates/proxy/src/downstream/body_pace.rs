//! How fast a request's body arrives: tells a slow client from one that has stopped sending.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Bytes of a body that earn the client one more second: three quarters of what the slowest honest clients send.
const BYTES_PER_SECOND: f64 = 48_000.0;
/// Most time that can be earned ahead: a client that has sent much and then stops is noticed within it.
pub(super) const MAX_CREDIT: Duration = Duration::from_secs(2);

/// The time that a body's bytes have earned, less the time for which the proxy has waited for more of them.
#[derive(Default)]
pub struct BodyPace {
    /// Since when the socket has had nothing to read.
    empty_since: Cell<Option<Instant>>,
    /// Since when more of the body is wanted; `None` while the upstream takes no more.
    wanted_since: Cell<Option<Instant>>,
    credit: Cell<Duration>,
}

impl BodyPace {
    /// A new body begins, and is wanted.
    pub fn restart(&self, now: Instant) {
        self.empty_since.set(None);
        self.wanted_since.set(Some(now));
        self.credit.set(Duration::ZERO);
    }

    /// Whether more of the body is wanted now. What the upstream does not take yet is not waited for.
    pub fn set_wanted(&self, wanted: bool) {
        if !wanted {
            self.spend_credit();
            self.wanted_since.set(None);
        } else if self.wanted_since.get().is_none() {
            self.wanted_since.set(Some(Instant::now()));
        }
    }

    /// Bytes of the body have arrived.
    pub fn record_bytes(&self, bytes: usize) {
        self.spend_credit();
        self.empty_since.set(None);
        let earned = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND);
        self.credit.set((self.credit.get() + earned).min(MAX_CREDIT));
    }

    /// There was nothing to read.
    pub fn record_empty(&self) {
        if self.empty_since.get().is_none() {
            self.empty_since.set(Some(Instant::now()));
        }
    }

    /// When the client has used up what it has earned; `None` while it is not waited for.
    pub fn deadline(&self) -> Option<Instant> {
        self.waiting_since().map(|since| since + self.credit.get())
    }

    /// Since when the client has been waited for: more is wanted, and there is nothing to read.
    fn waiting_since(&self) -> Option<Instant> {
        Some(self.empty_since.get()?.max(self.wanted_since.get()?))
    }

    fn spend_credit(&self) {
        let waited = self.waiting_since().map_or(Duration::ZERO, |since| since.elapsed());
        self.credit.set(self.credit.get().saturating_sub(waited));
    }
}
