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
    let connection_options: Vec<&str> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let is_hop_by_hop = |name: &HeaderName| {
        HOP_BY_HOP.contains(name)
            || HOP_BY_HOP_NAMES.contains(&name.as_str())
            || connection_options.iter().any(|option| option.eq_ignore_ascii_case(name.as_str()))
    };
    let removed: Vec<HeaderName> = headers.keys().filter(|name| is_hop_by_hop(name)).cloned().collect();
    for name in &removed {
        headers.remove(name);
    }
    headers
}
