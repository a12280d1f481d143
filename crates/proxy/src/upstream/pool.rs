//! The pool of connections to upstreams: which are idle, how many are open in all, and how long an idle one is kept.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};
use zincstand_policy as policy;
use zincstand_policy::{Micros, Outcome, ServerId};

use crate::discovery::endpoint::Target;
use crate::sockets::{self, is_out_of_resources};
use crate::upstream::connection::{ConnectionSlot, UpstreamConnection};

/// The part of the upstreams' own idle timeout after which an idle connection is closed here, early enough that a
/// request rarely meets the upstream's close on its way.
const IDLE_TIMEOUT_PART: f64 = 0.7;
/// How long an idle connection is kept where the settings name no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// An upstream may send a second response some milliseconds after the first, which would pass for the response to
/// the next request. Connections that have been idle for this long are therefore preferred.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// The limit on establishing a connection where the settings name none.
pub const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection may take to be ready for the next request after its response was read.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why there is no connection for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectError {
    /// This process may open no further connection, which is no fault of the upstream. Nothing was sent.
    NoCapacity,
    /// The upstream refused the connection, or it was not established in time.
    Failed,
}

impl From<ConnectError> for Outcome {
    fn from(error: ConnectError) -> Outcome {
        match error {
            ConnectError::NoCapacity => Outcome::NotSent,
            ConnectError::Failed => Outcome::ConnectFailed,
        }
    }
}

/// Where a connection for a request came from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionOrigin {
    /// It was idle in the pool: the upstream may have closed it a moment ago.
    Pooled,
    /// It was opened for this request.
    New,
}

/// A connection taken for a request.
pub struct PooledConnection {
    /// The connection.
    pub connection: UpstreamConnection,
    /// Whether it has carried requests before.
    pub origin: ConnectionOrigin,
}

struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
}

/// The idle connections by upstream, and the number of all that are open.
pub struct ConnectionPool {
    /// Those of one upstream stand in the order of their last use.
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
    open_connections: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
    idle_timeout: Duration,
    connect_timeout: Duration,
    connection_added: Notify,
}

impl ConnectionPool {
    /// An empty pool that never has more than `max_connections` open.
    pub fn new(limits: &policy::Limits, max_connections: usize) -> ConnectionPool {
        let idle_timeout = (limits.idle_timeout as f64 * IDLE_TIMEOUT_PART) as Micros;
        ConnectionPool {
            idle: RefCell::default(),
            open_connections: Rc::default(),
            max_connections: Cell::new(max_connections),
            idle_timeout: duration_or(idle_timeout, DEFAULT_IDLE_TIMEOUT),
            connect_timeout: duration_or(limits.connect_timeout, DEFAULT_CONNECT_TIMEOUT),
            connection_added: Notify::new(),
        }
    }

    /// The number of open connections, idle or not.
    #[cfg(test)]
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Changes how many connections may be open. Idle ones beyond it are closed now, others when they are put back.
    pub fn resize(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        let mut excess = self.open_connections.get().saturating_sub(max_connections);
        while excess > 0 && self.close_oldest() {
            excess -= 1;
        }
    }

    /// A connection to the target: an idle one if there is any, or else a new one.
    ///
    /// # Errors
    ///
    /// See [`connect`](Self::connect).
    pub async fn acquire(&self, target: Target) -> Result<PooledConnection, ConnectError> {
        if let Some(connection) = self.take_idle(target) {
            return Ok(PooledConnection { connection, origin: ConnectionOrigin::Pooled });
        }
        let connection = self.connect(target.address).await?;
        Ok(PooledConnection { connection, origin: ConnectionOrigin::New })
    }

    /// The reusable idle connection that was used last, among those idle for [`SETTLE_TIME`] if there are any.
    pub fn take_idle(&self, target: Target) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&target.server)?;
        connections.retain(|idle| {
            idle.connection.address() == target.address && idle.since.elapsed() < self.idle_timeout
        });
        loop {
            let settled = connections.partition_point(|idle| idle.since.elapsed() >= SETTLE_TIME);
            let IdleConnection { connection, .. } = match settled {
                0 => connections.pop()?,
                count => connections.remove(count - 1),
            };
            if connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next request to this upstream, or closes it if too many are open.
    pub fn put(&self, server: ServerId, connection: UpstreamConnection) {
        if self.open_connections.get() > self.max_connections.get() {
            return;
        }
        let idle = IdleConnection { connection, since: Instant::now() };
        self.idle.borrow_mut().entry(server).or_default().push(idle);
        self.connection_added.notify_one();
    }

    /// Puts a connection back if it takes the next request at once; else returns it.
    pub fn put_if_ready(
        &self,
        server: ServerId,
        connection: UpstreamConnection,
    ) -> Option<UpstreamConnection> {
        if !connection.sender.is_ready() {
            return Some(connection);
        }
        self.put(server, connection);
        None
    }

    /// Puts a connection back as soon as it takes the next request, or closes it if that takes too long.
    pub async fn put_when_ready(&self, server: ServerId, mut connection: UpstreamConnection) {
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
            self.put(server, connection);
        }
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let not_empty = idle.values_mut().filter(|connections| !connections.is_empty());
        let oldest = not_empty.min_by_key(|connections| connections[0].since);
        oldest.map(|connections| connections.remove(0)).is_some()
    }

    /// Opens a connection. If as many as allowed are open, an idle one is closed for it.
    ///
    /// # Errors
    ///
    /// [`ConnectError::NoCapacity`] if all connections are in use or the machine has no socket left,
    /// [`ConnectError::Failed`] if the upstream cannot be reached in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, ConnectError> {
        self.make_room().await?;
        let slot = ConnectionSlot::take(&self.open_connections);
        let stream = match timeout(self.connect_timeout, sockets::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_out_of_resources(&error) => {
                self.close_oldest();
                return Err(ConnectError::NoCapacity);
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Failed),
        };
        UpstreamConnection::handshake(stream, address, slot).await.map_err(|_| ConnectError::Failed)
    }

    /// Closes idle connections until one more may be open: the limit protects the process's file descriptors.
    async fn make_room(&self) -> Result<(), ConnectError> {
        while self.open_connections.get() >= self.max_connections.get() {
            if !self.close_oldest() {
                return Err(ConnectError::NoCapacity);
            }
            // The socket is closed once the task that owns it has been dropped.
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Closes connections whose idle timeout has passed; never returns. One timer serves all of them.
    pub async fn close_expired(self: Rc<Self>) {
        loop {
            match self.drop_expired() {
                Some(oldest) => sleep_until(oldest + self.idle_timeout).await,
                None => self.connection_added.notified().await,
            }
        }
    }

    /// Drops idle connections that are too old or closed; returns since when the oldest of the others has been idle.
    fn drop_expired(&self) -> Option<Instant> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|idle| {
                idle.since.elapsed() < self.idle_timeout && !idle.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
        idle.values().filter_map(|connections| connections.first()).map(|idle| idle.since).min()
    }
}

/// A duration of the settings, where 0 means that they name none.
fn duration_or(micros: Micros, default: Duration) -> Duration {
    if micros == 0 { default } else { Duration::from_micros(micros) }
}
