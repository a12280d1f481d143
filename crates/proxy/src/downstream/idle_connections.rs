//! The connections that may be closed to make room for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Weak;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::downstream::client_stream::ClientStream;
use crate::downstream::request_stage::RequestStage;

/// A connection that became idle less than this ago is not closed for others: its request may be on its way.
const IDLE_PROTECTION: Duration = Duration::from_millis(100);
/// A connection whose head began to arrive less than this ago is not closed for others.
const HEAD_PROTECTION: Duration = Duration::from_secs(1);

/// The connections that may be closed for others, each kind in the order in which they came into their state.
#[derive(Default)]
pub struct IdleConnections {
    /// Those on which no byte of a request has come.
    idle: RefCell<ConnectionsByAge>,
    /// Those on which a part of a request's head has come.
    receiving_head: RefCell<ConnectionsByAge>,
    next_key: Cell<u64>,
}

/// Keys are given in ascending order, so the first entry is the oldest.
type ConnectionsByAge = BTreeMap<u64, IdleConnection>;

/// A connection that may be closed for others.
pub struct IdleConnection {
    /// Since when it has been in its state.
    pub since: Instant,
    /// The task that serves it.
    pub task: AbortHandle,
    /// Its socket.
    pub stream: Weak<RefCell<ClientStream>>,
}

impl IdleConnection {
    /// Whether the kernel holds more of what the client has sent.
    fn has_unread_bytes(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| stream.borrow().socket().has_unread_bytes())
    }

    fn has_unread_input(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| stream.borrow().has_unread_input())
    }
}

/// The result of [`IdleConnections::close_oldest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseOutcome {
    /// One is closed once its task has been dropped.
    Closed,
    /// None may be closed before this time, which can be past where the oldest ones have unread requests.
    NotBefore(Instant),
    /// No connection is idle or in the middle of a head.
    NoCandidates,
}

impl IdleConnections {
    /// Closes the connection that has been idle longest, or else the one that has been longest in the middle of a
    /// head. Connections that have just come into that state are protected.
    pub fn close_oldest(&self) -> CloseOutcome {
        // A request that has come and was not read yet would be reset with its connection.
        let idle = close_oldest_of(&self.idle, IDLE_PROTECTION, |idle| !idle.has_unread_input());
        if idle == CloseOutcome::Closed {
            return CloseOutcome::Closed;
        }
        // The rest of a head may have come, and its request is taken then.
        let receiving_head =
            close_oldest_of(&self.receiving_head, HEAD_PROTECTION, |slow| !slow.has_unread_bytes());
        match (idle, receiving_head) {
            (CloseOutcome::NotBefore(idle), CloseOutcome::NotBefore(receiving_head)) => {
                CloseOutcome::NotBefore(idle.min(receiving_head))
            }
            (idle, CloseOutcome::NoCandidates) => idle,
            (_, receiving_head) => receiving_head,
        }
    }

    /// Adds a connection that has entered a stage; returns its key, or `None` if it may not be closed in that stage.
    pub fn insert(&self, stage: RequestStage, connection: IdleConnection) -> Option<u64> {
        let connections = self.connections(stage)?;
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        connections.borrow_mut().insert(key, connection);
        Some(key)
    }

    /// Removes a connection that was inserted for a stage, unless it has been closed.
    pub fn remove(&self, stage: RequestStage, key: u64) {
        if let Some(connections) = self.connections(stage) {
            connections.borrow_mut().remove(&key);
        }
    }

    fn connections(&self, stage: RequestStage) -> Option<&RefCell<ConnectionsByAge>> {
        match stage {
            RequestStage::Idle => Some(&self.idle),
            RequestStage::Head => Some(&self.receiving_head),
            RequestStage::Body | RequestStage::Open => None,
        }
    }
}

/// Closes the oldest connection that is no longer protected and may be closed.
fn close_oldest_of(
    connections: &RefCell<ConnectionsByAge>,
    protection: Duration,
    may_close: impl Fn(&IdleConnection) -> bool,
) -> CloseOutcome {
    let mut connections = connections.borrow_mut();
    let Some(oldest) = connections.values().next() else { return CloseOutcome::NoCandidates };
    let unprotected_from = oldest.since + protection;
    let closable = connections
        .iter()
        .take_while(|(_, connection)| connection.since + protection <= Instant::now())
        .find(|(_, connection)| may_close(connection))
        .map(|(&key, _)| key);
    match closable.and_then(|key| connections.remove(&key)) {
        Some(connection) => {
            connection.task.abort();
            CloseOutcome::Closed
        }
        None => CloseOutcome::NotBefore(unprotected_from),
    }
}
