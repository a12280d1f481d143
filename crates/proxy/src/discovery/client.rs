//! One call to discovery over HTTP/1.1, on a connection that is kept for the next call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode, body::Incoming, header::HOST};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::discovery::error::DiscoveryError;
use crate::discovery::list::EndpointList;
use crate::sockets;

/// The complete list; a watch call adds its parameters.
const LIST_PATH: &str = "/registry/instances";
/// A call, its wait and its response included, takes no longer. A late call is kept so long beside the next ones.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(2200);
/// The longest response body, in bytes: three times what the largest fleet needs, and two calls at once have room in
/// 32 MB.
const MAX_LIST_BYTES: usize = 4 << 20;

/// What a call requests.
#[derive(Clone, Copy, Debug)]
pub(super) enum ListQuery {
    /// The complete list, at once.
    Snapshot,
    /// The changes since a version, as soon as there are any or when `wait` is over.
    Changes { since: u64, wait: Duration },
}

impl ListQuery {
    fn path(self) -> String {
        match self {
            ListQuery::Snapshot => LIST_PATH.to_owned(),
            ListQuery::Changes { since, wait } => {
                format!("{LIST_PATH}?index={since}&wait={}", wait.as_millis())
            }
        }
    }
}

/// A connection to discovery, kept between calls. It is closed when this is dropped.
pub(super) struct DiscoveryConnection {
    sender: SendRequest<Empty<Bytes>>,
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

    /// The kept connection if it can take another call, else a new one.
    async fn reuse_or_open(
        kept: Option<DiscoveryConnection>,
        address: SocketAddr,
    ) -> Result<DiscoveryConnection, DiscoveryError> {
        let mut connection = match kept {
            Some(kept) if !kept.sender.is_closed() => kept,
            _ => DiscoveryConnection::open(address).await?,
        };
        if connection.sender.ready().await.is_err() {
            connection = DiscoveryConnection::open(address).await?;
        }
        Ok(connection)
    }
}

/// A list and the connection that it came on, for the next call.
pub(super) struct ListResponse {
    pub(super) list: EndpointList,
    pub(super) connection: DiscoveryConnection,
}

/// Makes one call, on the kept connection if there is one. It takes [`CALL_TIMEOUT`] at most.
pub(super) async fn call(
    address: SocketAddr,
    kept: Option<DiscoveryConnection>,
    query: ListQuery,
) -> Result<ListResponse, DiscoveryError> {
    let result = timeout(CALL_TIMEOUT, call_without_timeout(address, kept, query)).await;
    result.unwrap_or(Err(DiscoveryError::Timeout(CALL_TIMEOUT)))
}

async fn call_without_timeout(
    address: SocketAddr,
    kept: Option<DiscoveryConnection>,
    query: ListQuery,
) -> Result<ListResponse, DiscoveryError> {
    let mut connection = DiscoveryConnection::reuse_or_open(kept, address).await?;
    let request = Request::get(query.path())
        .header(HOST, address.to_string())
        .body(Empty::new())
        .map_err(DiscoveryError::InvalidRequest)?;
    let response = connection.sender.send_request(request).await.map_err(DiscoveryError::Request)?;
    let list = read_list(response).await?;
    Ok(ListResponse { list, connection })
}

async fn read_list(response: Response<Incoming>) -> Result<EndpointList, DiscoveryError> {
    if response.status() != StatusCode::OK {
        return Err(DiscoveryError::Status(response.status()));
    }
    let mut body = Limited::new(response.into_body(), MAX_LIST_BYTES);
    let mut text = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(DiscoveryError::Body)?;
        if let Some(data) = frame.data_ref() {
            text.extend_from_slice(data);
        }
    }
    serde_json::from_slice(&text).map_err(DiscoveryError::Format)
}
