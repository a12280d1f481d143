//! The pool of connections to upstreams. It owns the idle connections, limits the number of open ones and closes
//! connections that have been idle for too long.

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
use crate::log::limited_log_line;
use crate::memory::{MemoryBudget, MemoryCause, MemoryLevel};
use crate::sockets::{self, is_out_of_resources};
use crate::upstream::upstream_connection::{ConnectionSlot, UpstreamConnection};

/// Fraction of the upstreams' idle timeout after which the pool closes an idle connection. Closing earlier than the
/// upstream makes it rare that a request is sent on a connection that the upstream is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Idle timeout of pooled connections if the settings give no idle timeout for the upstreams.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Connections that have been idle for at least this long are preferred for reuse. A faulty upstream may send a second
/// response some milliseconds after the first, and it would be taken for the response to the next request.
const PREFERRED_IDLE_TIME: Duration = Duration::from_millis(20);
/// Time limit for establishing a connection if the settings give none.
pub const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a connection to become ready for the next request after its response was read.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why no connection could be acquired for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectError {
    /// This process cannot open another connection. Nothing was sent, and the upstream is not at fault.
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
    /// The connection was idle in the pool. The upstream may have closed it just before the request was sent.
    Pooled,
    /// The connection was opened for this request.
    New,
}

/// A connection acquired for one request.
pub struct AcquiredConnection {
    /// The connection.
    pub connection: UpstreamConnection,
    /// Where the connection came from.
    pub origin: ConnectionOrigin,
}

struct IdleConnection {
    connection: UpstreamConnection,
    idle_since: Instant,
}

/// The idle connections by upstream, and the number of open connections.
pub struct ConnectionPool {
    /// The idle connections of each upstream, least recently used first.
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
    /// Number of open connections, whether idle or in use. Each [`ConnectionSlot`] counts as one.
    open_connections: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
    /// The memory of the process.
    memory: Rc<MemoryBudget>,
    idle_timeout: Duration,
    connect_timeout: Duration,
    /// Notified when a connection becomes idle. [`close_expired`](Self::close_expired) waits for this while no
    /// connection is idle.
    connection_added: Notify,
}

impl ConnectionPool {
    /// Creates an empty pool that opens at most `max_connections` connections.
    pub fn new(limits: &policy::Limits, max_connections: usize, memory: Rc<MemoryBudget>) -> ConnectionPool {
        let idle_timeout = (limits.idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
        ConnectionPool {
            idle: RefCell::default(),
            open_connections: Rc::default(),
            max_connections: Cell::new(max_connections),
            memory,
            idle_timeout: duration_or(idle_timeout, DEFAULT_IDLE_TIMEOUT),
            connect_timeout: duration_or(limits.connect_timeout, DEFAULT_CONNECT_TIMEOUT),
            connection_added: Notify::new(),
        }
    }

    /// Returns the number of open connections, whether idle or in use.
    #[cfg(test)]
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Returns the memory of the process.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// Closes all idle connections, and returns how many there were.
    pub fn close_all_idle(&self) -> usize {
        self.idle.take().values().map(Vec::len).sum()
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Changes the limit on open connections. Idle connections above the limit are closed at once, connections in use
    /// when they are put back.
    pub fn resize(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        let mut excess = self.open_connections.get().saturating_sub(max_connections);
        if excess > 0 {
            limited_log_line!("upstream: {excess} connections exceed the new limit, idle ones are closed");
        }
        while excess > 0 && self.close_longest_idle() {
            excess -= 1;
        }
    }

    /// Returns an idle connection to the target, or opens one if there is none.
    ///
    /// # Errors
    ///
    /// See [`connect`](Self::connect).
    pub async fn acquire(&self, target: Target) -> Result<AcquiredConnection, ConnectError> {
        if let Some(connection) = self.take_idle(target) {
            return Ok(AcquiredConnection { connection, origin: ConnectionOrigin::Pooled });
        }
        let connection = self.connect(target.address).await?;
        Ok(AcquiredConnection { connection, origin: ConnectionOrigin::New })
    }

    /// Takes the most recently used of the connections that have been idle for [`PREFERRED_IDLE_TIME`], or of all idle
    /// connections if none has been idle for that long. Closes connections that cannot be reused, and returns `None` if
    /// no reusable one is left.
    pub fn take_idle(&self, target: Target) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&target.server)?;
        connections.retain(|entry| {
            entry.connection.address() == target.address && entry.idle_since.elapsed() < self.idle_timeout
        });
        loop {
            let preferred_count =
                connections.partition_point(|entry| entry.idle_since.elapsed() >= PREFERRED_IDLE_TIME);
            let IdleConnection { connection, .. } = match preferred_count {
                0 => connections.pop()?,
                count => connections.remove(count - 1),
            };
            if connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Puts a connection back for the next request to this upstream, or closes it if the limit on open connections
    /// is exceeded or memory is short.
    pub fn put(&self, server: ServerId, connection: UpstreamConnection) {
        if self.open_connections.get() > self.max_connections.get() {
            return;
        }
        if self.memory.level() != MemoryLevel::Normal {
            self.memory.counts().add(MemoryCause::IdleUpstream, 1);
            return;
        }
        let entry = IdleConnection { connection, idle_since: Instant::now() };
        self.idle.borrow_mut().entry(server).or_default().push(entry);
        self.connection_added.notify_one();
    }

    /// Puts a connection back if it is ready for the next request; returns it otherwise.
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

    /// Puts a connection back as soon as it is ready for the next request, or closes it after [`READY_TIMEOUT`].
    pub async fn put_when_ready(&self, server: ServerId, mut connection: UpstreamConnection) {
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
            self.put(server, connection);
        }
    }

    /// Closes the connection that has been idle longest. Returns false if no connection is idle.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let not_empty = idle.values_mut().filter(|connections| !connections.is_empty());
        let oldest = not_empty.min_by_key(|connections| connections[0].idle_since);
        oldest.map(|connections| connections.remove(0)).is_some()
    }

    /// Opens a connection. If the limit on open connections is reached, closes an idle connection first.
    ///
    /// # Errors
    ///
    /// [`ConnectError::NoCapacity`] if all connections are in use or the operating system is out of resources,
    /// [`ConnectError::Failed`] if the upstream cannot be reached in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, ConnectError> {
        self.evict_until_below_limit().await?;
        let slot = ConnectionSlot::acquire(&self.open_connections);
        let stream = match timeout(self.connect_timeout, sockets::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_out_of_resources(&error) => {
                // Frees a descriptor for the next attempt.
                self.close_longest_idle();
                return Err(ConnectError::NoCapacity);
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Failed),
        };
        UpstreamConnection::handshake(stream, address, slot).await.map_err(|_| ConnectError::Failed)
    }

    /// Closes idle connections until the number of open connections is below the limit, so that another connection does
    /// not exceed the process's limit on file descriptors.
    ///
    /// # Errors
    ///
    /// [`ConnectError::NoCapacity`] if all connections are in use.
    async fn evict_until_below_limit(&self) -> Result<(), ConnectError> {
        while self.open_connections.get() >= self.max_connections.get() {
            if !self.close_longest_idle() {
                return Err(ConnectError::NoCapacity);
            }
            limited_log_line!("upstream: idle connection closed to open another one");
            // The count decreases once the runtime has dropped the task that owns the socket.
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Closes connections whose idle timeout has passed; never returns. Sleeps until the longest idle connection expires,
    /// so that all connections share one timer.
    pub async fn close_expired(self: Rc<Self>) {
        loop {
            match self.drop_expired() {
                Some(oldest_idle_since) => sleep_until(oldest_idle_since + self.idle_timeout).await,
                None => self.connection_added.notified().await,
            }
        }
    }

    /// Drops idle connections that have expired or were closed. Returns when the longest idle of the remaining
    /// connections became idle; `None` if none remains.
    fn drop_expired(&self) -> Option<Instant> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|entry| {
                entry.idle_since.elapsed() < self.idle_timeout && !entry.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
        idle.values().filter_map(|connections| connections.first()).map(|entry| entry.idle_since).min()
    }
}

/// Converts a duration from the settings, where 0 means that none is given.
fn duration_or(micros: Micros, default: Duration) -> Duration {
    if micros == 0 { default } else { Duration::from_micros(micros) }
}
