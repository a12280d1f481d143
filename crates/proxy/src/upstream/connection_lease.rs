//! The hold that a response has on the connection it comes on.

use std::rc::Rc;

use tokio::task::spawn_local;
use zincstand_policy::ServerId;

use crate::upstream::connection::UpstreamConnection;
use crate::upstream::pool::ConnectionPool;

/// A connection whose response is still being read.
pub struct ConnectionLease {
    pool: Rc<ConnectionPool>,
    server: ServerId,
    connection: UpstreamConnection,
}

impl ConnectionLease {
    /// A lease on a connection of this pool to this upstream.
    pub fn new(
        pool: Rc<ConnectionPool>,
        server: ServerId,
        connection: UpstreamConnection,
    ) -> ConnectionLease {
        ConnectionLease { pool, server, connection }
    }

    /// Ends the lease without putting the connection back.
    pub fn into_connection(self) -> UpstreamConnection {
        self.connection
    }

    /// Puts the connection back: the response was read to its end.
    pub fn give_back(self) {
        spawn_local(async move { self.pool.put_when_ready(self.server, self.connection).await });
    }
}
