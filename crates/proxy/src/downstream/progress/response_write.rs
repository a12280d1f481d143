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
    /// Whether only the end of the connection tells the client the end of the response.
    close_delimited: Cell<bool>,
    /// Start of the current wait for more of the response; `None` while the proxy does not wait.
    upstream_silent_since: Cell<Option<Instant>>,
}

impl ResponseWrite {
    /// Records that hyper has the complete response.
    pub(super) fn record_response_complete(&self) {
        self.response_complete.set(true);
        self.upstream_silent_since.set(None);
    }

    /// Records since when the proxy has waited for more of the response; `None` while it does not.
    pub(super) fn record_upstream_silence(&self, since: Option<Instant>) {
        self.upstream_silent_since.set(since);
    }

    /// Returns since when the proxy has waited for more of the response; `None` while it does not.
    pub(super) fn upstream_silent_since(&self) -> Option<Instant> {
        self.upstream_silent_since.get()
    }

    /// Records a response whose end only the end of the connection tells.
    pub(super) fn record_close_delimited(&self) {
        self.close_delimited.set(true);
    }

    /// Returns whether the end of the connection would tell the client that an incomplete response is complete.
    pub(super) fn is_close_delimited(&self) -> bool {
        self.close_delimited.get()
    }

    /// Records that hyper has written all of its buffer. Returns whether this was the end of a complete response.
    pub(super) fn record_flush(&self) -> bool {
        self.blocked_since.set(None);
        let is_complete = self.response_complete.replace(false);
        if is_complete {
            self.close_delimited.set(false);
        }
        is_complete
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

    /// Returns since when the socket has accepted no byte; `None` while it accepts them.
    pub(super) fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since.get()
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
