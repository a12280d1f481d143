//! End-to-end headers, and the names of headers that the proxy reads.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The id of a request, which all of its attempts share.
pub(super) const REQ_ID: HeaderName = HeaderName::from_static("req-id");
/// The idempotency key: a server runs requests with the same key once.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Hop-by-hop headers, which concern one connection or the framing of one message.
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// Hop-by-hop headers for which hyper has no constant. Upstreams send the last two to this proxy.
const HOP_BY_HOP_NAMES: [&str; 4] = ["keep-alive", "proxy-connection", "srv-load", "srv-declined"];

/// Removes the headers that are not forwarded: hop-by-hop headers and headers that the `Connection` header names.
pub fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|option| option.trim().parse().ok())
        .collect();
    for name in options.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
    headers
}
