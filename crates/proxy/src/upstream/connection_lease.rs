//! Ownership of a connection while a response is read from it.

use std::rc::Rc;

use tokio::task::spawn_local;
use zincstand_policy::ServerId;

use crate::memory::MemoryBudget;
use crate::upstream::pool::ConnectionPool;
use crate::upstream::upstream_connection::UpstreamConnection;

/// A connection from which a response is being read. Dropping the lease closes the connection.
pub struct ConnectionLease {
    pool: Rc<ConnectionPool>,
    server: ServerId,
    connection: UpstreamConnection,
}

impl ConnectionLease {
    /// Creates a lease on a connection of `pool` to `server`.
    pub fn new(
        pool: Rc<ConnectionPool>,
        server: ServerId,
        connection: UpstreamConnection,
    ) -> ConnectionLease {
        ConnectionLease { pool, server, connection }
    }

    /// Returns the memory of the process.
    pub fn memory(&self) -> &MemoryBudget {
        self.pool.memory()
    }

    /// Returns the connection without putting it back into the pool.
    pub fn into_connection(self) -> UpstreamConnection {
        self.connection
    }

    /// Puts the connection back into the pool from a separate task, since hyper may not be ready for the next request
    /// yet. Must be called only after the response has been read to its end.
    pub fn return_to_pool(self) {
        spawn_local(async move { self.pool.put_when_ready(self.server, self.connection).await });
    }
}
