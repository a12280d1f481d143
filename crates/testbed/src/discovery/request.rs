//! The requests that watchers send to discovery.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Bytes of the longest head of a request that is read.
pub const MAX_HEAD: usize = 16 << 10;
/// The longest that a watch may wait, whatever it asks.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// Header lines that a request may have.
const MAX_HEADERS: usize = 32;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryRequest {
    /// The complete list.
    Snapshot,
    /// What has changed since a version, as soon as something has.
    Watch {
        /// The version that the watcher holds.
        version: u64,
        /// How long it waits for a change.
        wait: Duration,
    },
    /// Something that discovery does not offer.
    Unknown,
}

impl DiscoveryRequest {
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

/// A request that has been read.
pub struct ReceivedRequest {
    /// What it asks for.
    pub request: DiscoveryRequest,
    /// Its length in bytes.
    pub length: usize,
}

/// Reads the next request; none once the peer has closed the connection or sent what is no request.
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
            Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD => {}
            _ => return None,
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
