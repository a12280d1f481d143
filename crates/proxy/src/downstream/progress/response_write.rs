//! How far the response to the current request has been written, and since when the client has not read it.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// How long a socket may accept no byte of a response before the client counts as having stopped reading.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The state of the current response on the sending side.
#[derive(Default)]
pub(super) struct ResponseWrite {
    /// When the socket began to accept no more bytes; `None` while it accepts them.
    blocked_since: Cell<Option<Instant>>,
    /// Whether hyper has the complete response; some of its bytes may not be written yet.
    response_complete: Cell<bool>,
}

impl ResponseWrite {
    /// Records that hyper has the complete response.
    pub(super) fn record_response_complete(&self) {
        self.response_complete.set(true);
    }

    /// Records that hyper has written all of its buffer. Returns whether this was the end of a complete response.
    pub(super) fn record_flush(&self) -> bool {
        self.blocked_since.set(None);
        self.response_complete.replace(false)
    }

    /// Records that the socket accepted no byte.
    pub(super) fn record_blocked(&self) {
        if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(Instant::now()));
        }
    }

    /// Records that the socket accepted bytes or failed.
    pub(super) fn record_unblocked(&self) {
        self.blocked_since.set(None);
    }

    /// Returns whether the socket currently accepts no more bytes.
    pub(super) fn is_blocked(&self) -> bool {
        self.blocked_since.get().is_some()
    }

    /// Returns when the client counts as having stopped reading; `None` while the socket accepts bytes.
    pub(super) fn stall_deadline(&self) -> Option<Instant> {
        self.blocked_since.get().map(|since| since + WRITE_STALL_TIMEOUT)
    }
}
