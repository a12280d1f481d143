//! The pace at which a request body arrives. It distinguishes a slow client from a client that has stopped sending.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Number of arriving bytes that earn one second of credit. Clients of 48 kB a second must be served, and their bytes may
/// arrive a little late.
const CREDIT_BYTES_PER_SECOND: f64 = 40_000.0;
/// Maximum time credit. The connection of a client that has sent many bytes and then stops is closed within this time.
pub(super) const MAX_TIME_CREDIT: Duration = Duration::from_secs(2);

/// The time credit of a body: each arriving byte adds to it, and the time that the proxy spends waiting for more bytes
/// is deducted.
pub struct BodyPace {
    /// When the socket was first found empty; `None` if bytes have arrived since.
    empty_since: Cell<Option<Instant>>,
    /// When the proxy began to want more of the body; `None` while the upstream accepts no more bytes.
    wanted_since: Cell<Option<Instant>>,
    /// Time for which the proxy still waits for more bytes.
    credit: Cell<Duration>,
    /// When the proxy last waited for the client; when the head arrived, if it has not waited since.
    last_waited_at: Cell<Instant>,
}

impl BodyPace {
    /// Creates the pace of a connection without a body.
    pub fn new(now: Instant) -> BodyPace {
        BodyPace {
            empty_since: Cell::default(),
            wanted_since: Cell::default(),
            credit: Cell::default(),
            last_waited_at: Cell::new(now),
        }
    }

    /// Resets the credit for a new body, of which more is wanted from `now` on. The head arrived at `head_arrived_at`.
    pub fn restart(&self, now: Instant, head_arrived_at: Instant) {
        self.empty_since.set(None);
        self.wanted_since.set(Some(now));
        self.credit.set(Duration::ZERO);
        self.last_waited_at.set(head_arrived_at);
    }

    /// Sets whether the proxy wants more of the body. While the upstream accepts no more bytes, the proxy wants none,
    /// and no credit is deducted.
    pub fn set_wanted(&self, wanted: bool) {
        if !wanted {
            self.spend_credit();
            self.wanted_since.set(None);
        } else if self.wanted_since.get().is_none() {
            self.wanted_since.set(Some(Instant::now()));
        }
    }

    /// Records that bytes of the body have arrived.
    pub fn record_bytes(&self, bytes: usize) {
        self.spend_credit();
        self.empty_since.set(None);
        let earned = Duration::from_secs_f64(bytes as f64 / CREDIT_BYTES_PER_SECOND);
        self.credit.set((self.credit.get() + earned).min(MAX_TIME_CREDIT));
    }

    /// Records that the socket had nothing to read.
    pub fn record_empty(&self) {
        if self.empty_since.get().is_none() {
            self.empty_since.set(Some(Instant::now()));
        }
    }

    /// Returns the earliest time at which the body's last byte may have arrived: now while the proxy waits for the
    /// client, and otherwise when it last did so. Bytes that arrived later are unread, and the kernel does not tell when
    /// they arrived.
    pub fn earliest_end(&self) -> Instant {
        if self.waiting_since().is_some() { Instant::now() } else { self.last_waited_at.get() }
    }

    /// Returns when the credit will be used up; `None` while the proxy does not wait for the client.
    pub fn deadline(&self) -> Option<Instant> {
        self.waiting_since().map(|since| since + self.credit.get())
    }

    /// Returns since when the proxy has waited for the client: since more of the body is wanted and the socket is
    /// empty. `None` while it does not wait.
    pub fn waiting_since(&self) -> Option<Instant> {
        Some(self.empty_since.get()?.max(self.wanted_since.get()?))
    }

    /// Deducts the time waited so far from the credit.
    fn spend_credit(&self) {
        let Some(since) = self.waiting_since() else { return };
        self.credit.set(self.credit.get().saturating_sub(since.elapsed()));
        self.last_waited_at.set(Instant::now());
    }
}
