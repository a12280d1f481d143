//! The one guard before the first byte of an attempt: what may not be sent any more is held back here, whichever path it
//! came by, and counted.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::log::log_line;
use crate::upstream::request::UpstreamRequest;

/// A request tells its upstream the time that was left when it was prepared. Written later than this it would tell too
/// much: upstreams may be told 0.15 s more than the client has left.
const MAX_TIME_TO_FIRST_BYTE: Duration = Duration::from_millis(120);

/// Attempts that were held back because they were prepared too long ago; for the log.
static HELD_BACK_LATE: AtomicU64 = AtomicU64::new(0);

/// Why an attempt was held back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HeldBack {
    /// Its client has disconnected.
    ClientDisconnected,
    /// It was prepared too long ago: the process or its connection was held up.
    PreparedTooLongAgo,
}

/// The check of one attempt, made when its request is prepared.
pub struct SendGuard {
    request: Rc<UpstreamRequest>,
    prepared_at: Instant,
    held_back: Rc<Cell<Option<HeldBack>>>,
}

impl SendGuard {
    /// A guard for a request that is prepared now. Its verdict goes to `held_back`.
    pub fn new(request: Rc<UpstreamRequest>, held_back: Rc<Cell<Option<HeldBack>>>) -> SendGuard {
        SendGuard { request, prepared_at: Instant::now(), held_back }
    }

    /// Whether the first byte may be written now.
    pub fn may_write(&self) -> bool {
        self.held_back.set(self.verdict());
        self.held_back.get().is_none()
    }

    fn verdict(&self) -> Option<HeldBack> {
        if self.request.client_disconnected() {
            return Some(HeldBack::ClientDisconnected);
        }
        let waited = self.prepared_at.elapsed();
        if waited <= MAX_TIME_TO_FIRST_BYTE {
            return None;
        }
        let count = HELD_BACK_LATE.fetch_add(1, Ordering::Relaxed) + 1;
        log_line!("invariant: an attempt was held back that was prepared {waited:?} ago, {count} so far");
        Some(HeldBack::PreparedTooLongAgo)
    }
}
