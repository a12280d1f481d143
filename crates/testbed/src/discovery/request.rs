//! The requests that watchers send to discovery.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum length of a request head.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Upper limit on the wait that a watch may request.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 32;

/// A request to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryRequest {
    /// The complete list.
    Snapshot,
    /// The changes since a version. The response is sent as soon as the version changes, or after the wait.
    Watch {
        /// The version that the watcher has applied.
        version: u64,
        /// The maximum wait for a change.
        wait: Duration,
    },
    /// Any other method or path, which gets the status 404.
    Unknown,
}

impl DiscoveryRequest {
    /// Parses the method and the target of a request.
    fn parse(method: Option<&str>, target: &str) -> DiscoveryRequest {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if method != Some("GET") || path != "/registry/instances" {
            return DiscoveryRequest::Unknown;
        }
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse::<u64>().ok())
        };
        match value("index") {
            None => DiscoveryRequest::Snapshot,
            Some(version) => {
                let wait = Duration::from_millis(value("wait").unwrap_or(0));
                DiscoveryRequest::Watch { version, wait: wait.min(MAX_WAIT) }
            }
        }
    }
}

/// A request that was read completely.
pub struct ReceivedRequest {
    /// The request.
    pub request: DiscoveryRequest,
    /// The length of its head in bytes.
    pub length: usize,
}

/// Reads the next request. Returns `None` once the peer has closed the connection or has sent an invalid request.
pub async fn read_request(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<ReceivedRequest> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        match head.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => {
                let request = DiscoveryRequest::parse(head.method, head.path.unwrap_or_default());
                let _ = buffer.split_to(length);
                return Some(ReceivedRequest { request, length });
            }
            Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => {}
            _ => return None,
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
