//! A connection's entry in the set of connections that may be evicted to free capacity for others.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::downstream::client_stream::ClientStream;
use crate::downstream::connection_stage::ConnectionStage;
use crate::downstream::evictable_connections::{EvictableConnection, EvictableConnections};

/// Keeps a connection registered as evictable while its stage allows that. Removes the entry when dropped.
pub(super) struct EvictionEntry {
    evictable_connections: Rc<EvictableConnections>,
    /// The task that serves the connection; `None` until it is set.
    task: RefCell<Option<AbortHandle>>,
    /// The id of the current entry; `None` while the connection may not be evicted.
    entry_id: Cell<Option<EntryId>>,
}

/// Identifies an entry of [`EvictableConnections`].
#[derive(Clone, Copy)]
struct EntryId {
    stage: ConnectionStage,
    key: u64,
}

impl EvictionEntry {
    /// Creates the entry of a connection whose task is not set yet. The connection cannot be evicted until then.
    pub(super) fn new(evictable_connections: Rc<EvictableConnections>) -> EvictionEntry {
        EvictionEntry { evictable_connections, task: RefCell::default(), entry_id: Cell::default() }
    }

    /// Sets the task to abort when the connection is evicted. It takes effect at the next [`update`](Self::update).
    pub(super) fn set_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Replaces the entry with one for the stage that the connection entered at `stage_entered_at`.
    pub(super) fn update(
        &self,
        stage: ConnectionStage,
        stage_entered_at: Instant,
        stream: &Weak<RefCell<ClientStream>>,
    ) {
        self.remove();
        if let Some(task) = &*self.task.borrow() {
            let connection =
                EvictableConnection { stage_entered_at, task: task.clone(), stream: stream.clone() };
            let key = self.evictable_connections.insert(stage, connection);
            self.entry_id.set(key.map(|key| EntryId { stage, key }));
        }
    }

    fn remove(&self) {
        if let Some(entry_id) = self.entry_id.take() {
            self.evictable_connections.remove(entry_id.stage, entry_id.key);
        }
    }
}

impl Drop for EvictionEntry {
    fn drop(&mut self) {
        self.remove();
    }
}
