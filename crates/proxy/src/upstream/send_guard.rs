//! The last check of an attempt, made immediately before its first byte is written. It applies to every attempt,
//! whether the connection is pooled or new.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::dispatch::{BeginCheck, StaleReason};
use crate::log::{limited_log_line, log_line};
use crate::upstream::request::UpstreamRequest;

/// Maximum time from preparing a request to writing its first byte. The head states the client's remaining time as of
/// the preparation. When the upstream reads the head, the stated time may exceed the actual remaining time by at most
/// 150 ms.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(120);

/// Number of attempts that this process suppressed for [`SuppressionReason::PreparedTooLongAgo`], for the log.
static PREPARED_TOO_LONG_AGO_COUNT: AtomicU64 = AtomicU64::new(0);

/// Why an attempt was suppressed before its first byte.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SuppressionReason {
    /// The client has disconnected.
    ClientDisconnected,
    /// More than [`MAX_WRITE_DELAY`] passed since the request was prepared, because the process or the connection's
    /// task was delayed.
    PreparedTooLongAgo,
    /// The decision to start the attempt no longer holds.
    Stale(StaleReason),
}

impl Display for SuppressionReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            SuppressionReason::ClientDisconnected => formatter.write_str("the client has disconnected"),
            SuppressionReason::PreparedTooLongAgo => formatter.write_str("it was prepared too long ago"),
            SuppressionReason::Stale(reason) => reason.fmt(formatter),
        }
    }
}

/// The check before the first byte of one attempt. Created when the attempt's request is prepared.
pub struct SendGuard {
    request: Rc<UpstreamRequest>,
    begin_check: Option<BeginCheck>,
    prepared_at: Instant,
    suppression: Rc<Cell<Option<SuppressionReason>>>,
}

impl SendGuard {
    /// Creates the guard of a request that is prepared now. If the attempt is suppressed, the reason is stored in
    /// `suppression`.
    pub fn new(
        request: Rc<UpstreamRequest>,
        begin_check: Option<BeginCheck>,
        suppression: Rc<Cell<Option<SuppressionReason>>>,
    ) -> SendGuard {
        SendGuard { request, begin_check, prepared_at: Instant::now(), suppression }
    }

    /// Returns whether the first byte may be written now.
    pub fn may_write(&self) -> bool {
        let suppression = self.check();
        self.suppression.set(suppression);
        if let Some(reason) = suppression {
            let name = self.request.name();
            limited_log_line!("request: attempt suppressed before its first byte: {reason} (id {name})");
        }
        suppression.is_none()
    }

    /// Returns why the attempt must be suppressed; `None` if it may be sent.
    fn check(&self) -> Option<SuppressionReason> {
        if self.request.client_disconnected() {
            return Some(SuppressionReason::ClientDisconnected);
        }
        if let Some(Err(reason)) = self.begin_check.as_ref().map(|check| check()) {
            return Some(SuppressionReason::Stale(reason));
        }
        let waited = self.prepared_at.elapsed();
        if waited <= MAX_WRITE_DELAY {
            return None;
        }
        let count = PREPARED_TOO_LONG_AGO_COUNT.fetch_add(1, Ordering::Relaxed) + 1;
        log_line!("invariant: an attempt was held back that was prepared {waited:?} ago, {count} so far");
        Some(SuppressionReason::PreparedTooLongAgo)
    }
}
