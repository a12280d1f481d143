//! Permits of client connections. When none is free, idle connections are evicted, and a few connections get overflow
//! permits to be rejected with a response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::downstream::evictable_connections::{EvictableConnections, Eviction};
use crate::limits::{Permit, ResizableLimit};

/// How long all regular permits must have been in use before connections get overflow permits, on which their requests
/// are rejected.
const OVERFLOW_DELAY: Duration = Duration::from_millis(250);
/// Number of overflow permits. Their connections use file descriptors that the connection limits leave free.
const OVERFLOW_PERMITS: usize = 6;
/// Fraction of the regular permits in use above which each response closes its connection, so that permits become free
/// for clients without a connection.
const NEARLY_FULL_FRACTION: f64 = 0.75;
/// Time between two tries to acquire a permit, unless a permit is released or the next eviction is due earlier.
const ACQUIRE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How the requests of a connection are handled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitKind {
    /// Requests are served.
    Regular,
    /// Requests are rejected with 503, since the proxy is at its connection limit. Readiness is still reported.
    Overflow,
}

/// The permit that a connection holds while it is open.
pub struct ConnectionPermit {
    /// How the connection's requests are handled.
    pub kind: PermitKind,
    _permit: Permit,
}

impl ConnectionPermit {
    fn new(kind: PermitKind, permit: Permit) -> ConnectionPermit {
        ConnectionPermit { kind, _permit: permit }
    }
}

/// The permits of all client connections.
pub struct ConnectionPermits {
    regular: Rc<ResizableLimit>,
    overflow: Rc<ResizableLimit>,
    /// Time of the first failure to acquire a regular permit since the last success; `None` after a success.
    full_since: Cell<Option<Instant>>,
    evictable_connections: Rc<EvictableConnections>,
}

impl ConnectionPermits {
    /// Creates `limit` regular permits. Connections in `evictable_connections` are closed when no permit is free.
    pub fn new(limit: usize, evictable_connections: Rc<EvictableConnections>) -> ConnectionPermits {
        ConnectionPermits {
            regular: ResizableLimit::new(limit),
            overflow: ResizableLimit::new(OVERFLOW_PERMITS),
            full_since: Cell::default(),
            evictable_connections,
        }
    }

    /// Changes the number of regular permits, and evicts idle connections in excess of it.
    pub fn resize(&self, limit: usize) {
        self.regular.resize(limit);
        // An evicted connection releases its permit only when the runtime drops its task, so the excess is read once,
        // before the first eviction.
        for _ in 0..self.regular.excess() {
            self.evictable_connections.evict_oldest();
        }
    }

    /// Acquires a permit for a new connection, and evicts the longest idle connections while no permit is free. Once
    /// no regular permit has been free for [`OVERFLOW_DELAY`], returns an overflow permit if one is free.
    pub async fn acquire(&self) -> ConnectionPermit {
        loop {
            if let Some(permit) = self.try_acquire_regular() {
                self.full_since.set(None);
                return permit;
            }
            let now = Instant::now();
            let full_since = self.full_since.get().unwrap_or(now);
            self.full_since.set(Some(full_since));
            let overflow_from = full_since + OVERFLOW_DELAY;
            let next_eviction = match self.evictable_connections.evict_oldest() {
                Eviction::NotBefore(time) => time,
                Eviction::Evicted | Eviction::NoCandidates => now + OVERFLOW_DELAY,
            };
            if now >= overflow_from
                && let Some(permit) = self.try_acquire_overflow()
            {
                return permit;
            }
            let retry_at = next_eviction.min(overflow_from.max(now + ACQUIRE_RETRY_DELAY));
            tokio::select! {
                () = self.regular.released() => {}
                () = sleep_until(retry_at) => {}
            }
        }
    }

    /// Acquires a permit for a connection from the queue of a listener that is being closed. If no regular permit is
    /// free, evicts an idle connection; if none can be evicted, returns an overflow permit without delay.
    pub async fn acquire_queued(&self) -> ConnectionPermit {
        loop {
            if let Some(permit) = self.try_acquire_regular() {
                return permit;
            }
            let evicted = self.evictable_connections.evict_oldest() == Eviction::Evicted;
            if !evicted && let Some(permit) = self.try_acquire_overflow() {
                return permit;
            }
            tokio::select! {
                () = self.regular.released() => {}
                () = self.overflow.released() => {}
                () = sleep(ACQUIRE_RETRY_DELAY) => {}
            }
        }
    }

    /// Acquires a permit for a connection that was accepted just before the process stopped accepting. If no regular
    /// permit is free, returns a permit of the given kind that exceeds the limit.
    pub fn acquire_or_exceed_limit(&self, permit_kind_over_limit: PermitKind) -> ConnectionPermit {
        self.try_acquire_regular().unwrap_or_else(|| {
            ConnectionPermit::new(permit_kind_over_limit, self.regular.acquire_ignoring_limit(1))
        })
    }

    /// Returns whether so few permits are free that responses should close their connections.
    pub fn is_nearly_full(&self) -> bool {
        self.regular.used_fraction() > NEARLY_FULL_FRACTION
    }

    /// Returns whether enough permits are free to spend some on connections that have not sent anything.
    pub fn has_spare_capacity(&self) -> bool {
        self.regular.used_fraction() < NEARLY_FULL_FRACTION
    }

    /// Waits until all permits are released, which means that all client connections are closed.
    pub async fn all_released(&self) {
        self.regular.all_released().await;
        self.overflow.all_released().await;
    }

    fn try_acquire_regular(&self) -> Option<ConnectionPermit> {
        let permit = self.regular.try_acquire(1)?;
        Some(ConnectionPermit::new(PermitKind::Regular, permit))
    }

    fn try_acquire_overflow(&self) -> Option<ConnectionPermit> {
        let permit = self.overflow.try_acquire(1)?;
        Some(ConnectionPermit::new(PermitKind::Overflow, permit))
    }
}
