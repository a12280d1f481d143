//! The open client connections, so that the memory of some of them can be freed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use crate::downstream::progress::ConnectionProgress;

/// The open client connections, in the order in which they were accepted.
#[derive(Default)]
pub struct ConnectionRegistry {
    connections: RefCell<BTreeMap<u64, Weak<ConnectionProgress>>>,
    next_key: Cell<u64>,
}

/// A connection's entry in the registry. Dropping it removes the connection.
pub struct RegistryEntry {
    registry: Rc<ConnectionRegistry>,
    key: u64,
}

impl ConnectionRegistry {
    /// Adds a connection.
    pub fn insert(self: &Rc<Self>, connection: &Rc<ConnectionProgress>) -> RegistryEntry {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        self.connections.borrow_mut().insert(key, Rc::downgrade(connection));
        RegistryEntry { registry: self.clone(), key }
    }

    /// Returns the open connections, oldest first.
    pub fn open(&self) -> Vec<Rc<ConnectionProgress>> {
        self.connections.borrow().values().filter_map(Weak::upgrade).collect()
    }
}

impl Drop for RegistryEntry {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().remove(&self.key);
    }
}
