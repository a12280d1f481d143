//! The client connections that may be closed to free capacity for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Weak;
use std::time::Duration;

use hyper::StatusCode;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::downstream::client_stream::ClientStream;
use crate::downstream::connection_stage::ConnectionStage;
use crate::downstream::linger::error_response;
use crate::log::limited_log_line;

/// Minimum time in the idle stage before a connection may be evicted, since a request may already be in transit.
const IDLE_PROTECTION: Duration = Duration::from_millis(100);
/// Minimum time since the first byte of a request head before a connection may be evicted.
const HEAD_PROTECTION: Duration = Duration::from_secs(1);

/// The connections that may be evicted, by stage and in the order in which they entered it.
#[derive(Default)]
pub struct EvictableConnections {
    /// Connections in [`ConnectionStage::Idle`].
    idle: RefCell<ConnectionsByAge>,
    /// Connections in [`ConnectionStage::Head`].
    receiving_head: RefCell<ConnectionsByAge>,
    next_key: Cell<u64>,
}

/// Keys are assigned in ascending order, so the first entry is the oldest.
type ConnectionsByAge = BTreeMap<u64, EvictableConnection>;

/// A connection that may be evicted.
pub struct EvictableConnection {
    /// When the connection entered its stage.
    pub stage_entered_at: Instant,
    /// The task that serves the connection, which an eviction aborts.
    pub task: AbortHandle,
    /// The socket and read-ahead buffer.
    pub stream: Weak<RefCell<ClientStream>>,
}

impl EvictableConnection {
    /// Sends the error response if the client has begun a request, as far as its socket accepts it now.
    fn answer_incomplete_request(&self) {
        let Some(stream) = self.stream.upgrade() else { return };
        let stream = stream.borrow();
        if !stream.buffered().is_empty() {
            stream.socket().write_now(error_response(StatusCode::REQUEST_TIMEOUT).as_bytes());
        }
    }

    /// Returns whether the kernel's receive buffer has unread bytes from the client.
    fn has_unread_bytes(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| stream.borrow().socket().has_unread_bytes())
    }

    /// Returns whether the read-ahead buffer or the kernel's receive buffer has bytes from the client that were not
    /// passed on to hyper.
    fn has_unread_input(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| stream.borrow().has_unread_input())
    }
}

/// The result of [`EvictableConnections::evict_oldest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Eviction {
    /// A connection was evicted. Its socket is closed once the runtime has dropped its task.
    Evicted,
    /// No connection may be evicted yet. The protection of the oldest connection ends at this time. If that time has
    /// passed, the connection is protected by its unread input.
    NotBefore(Instant),
    /// No connection is idle or in the middle of a request head.
    NoCandidates,
}

impl EvictableConnections {
    /// Evicts the connection that has been idle longest, because memory is short.
    pub fn evict_idle(&self) -> Eviction {
        let eviction = self.evict_oldest_idle();
        if eviction == Eviction::Evicted {
            limited_log_line!("connection: closed while idle, to free memory");
        }
        eviction
    }

    /// Evicts the connection that has been idle longest. Closing a connection with unread input would reset it, and lose
    /// the request in that input.
    fn evict_oldest_idle(&self) -> Eviction {
        evict_oldest_of(&self.idle, IDLE_PROTECTION, |connection| !connection.has_unread_input())
    }

    /// Evicts the connection that has been idle longest. If none can be evicted, evicts the connection whose request
    /// head has been incomplete longest. Connections that entered their stage recently are protected.
    pub fn evict_oldest(&self) -> Eviction {
        let idle = self.evict_oldest_idle();
        if idle == Eviction::Evicted {
            limited_log_line!("connection: closed while idle, to free a permit");
            return Eviction::Evicted;
        }
        // Unread bytes in the kernel may complete the head, so its request is still served.
        let receiving_head = evict_oldest_of(&self.receiving_head, HEAD_PROTECTION, |connection| {
            !connection.has_unread_bytes()
        });
        if receiving_head == Eviction::Evicted {
            limited_log_line!("connection: closed with an incomplete request head, to free a permit");
        }
        match (idle, receiving_head) {
            (Eviction::NotBefore(idle), Eviction::NotBefore(receiving_head)) => {
                Eviction::NotBefore(idle.min(receiving_head))
            }
            (idle, Eviction::NoCandidates) => idle,
            (_, receiving_head) => receiving_head,
        }
    }

    /// Adds a connection that has entered a stage. Returns its key, or `None` if connections in that stage may not be
    /// evicted.
    pub fn insert(&self, stage: ConnectionStage, connection: EvictableConnection) -> Option<u64> {
        let connections = self.in_stage(stage)?;
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        connections.borrow_mut().insert(key, connection);
        Some(key)
    }

    /// Removes a connection that was inserted for this stage, unless it has been evicted.
    pub fn remove(&self, stage: ConnectionStage, key: u64) {
        if let Some(connections) = self.in_stage(stage) {
            connections.borrow_mut().remove(&key);
        }
    }

    fn in_stage(&self, stage: ConnectionStage) -> Option<&RefCell<ConnectionsByAge>> {
        match stage {
            ConnectionStage::Idle => Some(&self.idle),
            ConnectionStage::Head => Some(&self.receiving_head),
            ConnectionStage::Body | ConnectionStage::Open => None,
        }
    }
}

/// Evicts the oldest connection whose protection has ended and for which `may_evict` returns true.
fn evict_oldest_of(
    connections: &RefCell<ConnectionsByAge>,
    protection: Duration,
    may_evict: impl Fn(&EvictableConnection) -> bool,
) -> Eviction {
    let mut connections = connections.borrow_mut();
    let Some(oldest) = connections.values().next() else { return Eviction::NoCandidates };
    let protection_ends_at = oldest.stage_entered_at + protection;
    let candidate = connections
        .iter()
        .take_while(|(_, connection)| connection.stage_entered_at + protection <= Instant::now())
        .find(|(_, connection)| may_evict(connection))
        .map(|(&key, _)| key);
    match candidate.and_then(|key| connections.remove(&key)) {
        Some(connection) => {
            connection.answer_incomplete_request();
            connection.task.abort();
            Eviction::Evicted
        }
        None => Eviction::NotBefore(protection_ends_at),
    }
}
