//! One call to discovery over HTTP/1.1, on a connection that the next call can reuse.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode, body::Incoming, header::HOST};
use tokio::task::{AbortHandle, spawn_local};

use crate::discovery::buffer_budget::{BufferBudget, Reservation};
use crate::discovery::error::DiscoveryError;
use crate::discovery::list::EndpointList;
use crate::sockets;

/// Path of the complete list. A watch call adds a query to it.
const LIST_PATH: &str = "/registry/instances";
/// Maximum size of a response body, in bytes. It is twice the size of the largest fleet's list.
const MAX_LIST_BYTES: usize = 2 << 20;

/// The request of a call.
#[derive(Clone, Copy, Debug)]
pub(super) enum ListQuery {
    /// The complete list, at once.
    Snapshot,
    /// The changes since a version, as soon as there are any or at the end of the wait.
    Changes {
        /// The known version.
        since: u64,
        /// How long discovery may delay the response if there are no changes.
        wait: Duration,
    },
}

impl ListQuery {
    /// Returns the path and query of the call's URI.
    fn path(self) -> String {
        match self {
            ListQuery::Snapshot => LIST_PATH.to_owned(),
            ListQuery::Changes { since, wait } => {
                format!("{LIST_PATH}?index={since}&wait={}", wait.as_millis())
            }
        }
    }
}

/// A connection to discovery that can carry several calls. Dropping it closes the connection.
pub(super) struct DiscoveryConnection {
    sender: SendRequest<Empty<Bytes>>,
    /// The task that reads from and writes to the socket.
    driver: AbortHandle,
}

impl Drop for DiscoveryConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl DiscoveryConnection {
    async fn open(address: SocketAddr) -> Result<DiscoveryConnection, DiscoveryError> {
        let socket = sockets::connect(address).await.map_err(DiscoveryError::Connect)?;
        let (sender, connection) = http1::handshake(socket).await.map_err(DiscoveryError::Handshake)?;
        let driver = spawn_local(async move {
            let _ = connection.await;
        });
        Ok(DiscoveryConnection { sender, driver: driver.abort_handle() })
    }

    /// Returns the pooled connection if it can take another call, and otherwise opens a new one.
    async fn reuse_or_open(
        pooled: Option<DiscoveryConnection>,
        address: SocketAddr,
    ) -> Result<DiscoveryConnection, DiscoveryError> {
        let mut connection = match pooled {
            Some(pooled) if !pooled.sender.is_closed() => pooled,
            _ => DiscoveryConnection::open(address).await?,
        };
        if connection.sender.ready().await.is_err() {
            connection = DiscoveryConnection::open(address).await?;
        }
        Ok(connection)
    }
}

/// The response to a call.
pub(super) struct ListResponse {
    /// The endpoint list, complete or with the changes only.
    pub(super) list: EndpointList,
    /// The connection of the call, for the next call.
    pub(super) connection: DiscoveryConnection,
}

/// Makes one call, on the pooled connection if there is one and it is open. The call has no time limit: its caller decides
/// how long it waits, and drops the future to cancel the call. The body is buffered within `budget`.
///
/// # Errors
/// See [`DiscoveryError`].
pub(super) async fn call(
    address: SocketAddr,
    pooled: Option<DiscoveryConnection>,
    query: ListQuery,
    budget: Rc<BufferBudget>,
) -> Result<ListResponse, DiscoveryError> {
    let mut connection = DiscoveryConnection::reuse_or_open(pooled, address).await?;
    let request = Request::get(query.path())
        .header(HOST, address.to_string())
        .body(Empty::new())
        .map_err(DiscoveryError::InvalidRequest)?;
    let response = connection.sender.send_request(request).await.map_err(DiscoveryError::Request)?;
    let list = read_list(response, budget).await?;
    Ok(ListResponse { list, connection })
}

async fn read_list(
    response: Response<Incoming>,
    budget: Rc<BufferBudget>,
) -> Result<EndpointList, DiscoveryError> {
    if response.status() != StatusCode::OK {
        return Err(DiscoveryError::Status(response.status()));
    }
    let mut body = Limited::new(response.into_body(), MAX_LIST_BYTES);
    let mut reservation = Reservation::empty(budget);
    let mut text = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(DiscoveryError::Body)?;
        if let Some(data) = frame.data_ref() {
            reservation.grow(data.len())?;
            text.extend_from_slice(data);
        }
    }
    serde_json::from_slice(&text).map_err(DiscoveryError::Format)
}
