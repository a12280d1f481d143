//! Which headers are end-to-end, and the names of those that the proxy reads.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The id of a request, the same in each of its attempts.
pub(super) const REQ_ID: HeaderName = HeaderName::from_static("req-id");
/// The key under which a server executes a request once.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that concern one connection or the framing of one message.
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// The same, without a name in the library; the last two are for this proxy.
const HOP_BY_HOP_NAMES: [&str; 4] = ["keep-alive", "proxy-connection", "srv-load", "srv-declined"];

/// The headers that are passed on: all but those that concern the connection or the framing, or that the
/// `Connection` header names.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
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
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
