//! Reads the beginning of a body. One that is short is buffered and forwarded complete, so that a request can be
//! repeated and a connection given back early; a longer one is streamed, each side at the pace of the other.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, sleep_until};

/// Bytes of a body that are buffered at most; a longer body is streamed.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Bytes of the longest body that is forwarded at all.
pub const MAX_STREAMED_BODY: u64 = 32 << 20;
/// A response of undeclared length is streamed after this time, with what has come of it by then.
const MAX_RESPONSE_BUFFERING: Duration = Duration::from_millis(100);

/// The beginning of a body.
pub enum BodyPrefix {
    /// The complete body.
    Complete(Bytes),
    /// What has come, and the source of the rest.
    More(Bytes, Incoming),
    /// The peer broke it off, or its framing is invalid.
    Broken,
    /// It is longer than [`MAX_STREAMED_BODY`].
    TooLong,
}

/// Reads a body until it is complete or longer than [`MAX_BUFFERED_BODY`]. One of undeclared length is read no
/// longer than `max_wait`, if that is given, but until something has come.
pub async fn read_prefix(mut body: Incoming, max_wait: Option<Duration>) -> BodyPrefix {
    let declared_length = body.size_hint().exact();
    if declared_length.is_some_and(|length| length > MAX_STREAMED_BODY) {
        return BodyPrefix::TooLong;
    }
    let wait_until = max_wait.filter(|_| declared_length.is_none()).map(|wait| Instant::now() + wait);
    let mut buffered = BytesMut::new();
    loop {
        let frame = match wait_until.filter(|_| !buffered.is_empty()) {
            None => body.frame().await,
            Some(wait_until) => tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = sleep_until(wait_until) => return BodyPrefix::More(buffered.freeze(), body),
            },
        };
        match frame {
            None => return BodyPrefix::Complete(buffered.freeze()),
            Some(Err(_)) => return BodyPrefix::Broken,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    buffered.extend_from_slice(data);
                }
            }
        }
        if buffered.len() > MAX_BUFFERED_BODY {
            return BodyPrefix::More(buffered.freeze(), body);
        }
    }
}

/// Reads a response's body as far as it is buffered; see [`read_prefix`].
pub async fn read_response_prefix(body: Incoming) -> BodyPrefix {
    match body.size_hint().exact() {
        // It will be streamed whatever comes: there is no reason to wait for any of it.
        Some(length) if length > MAX_BUFFERED_BODY as u64 && length <= MAX_STREAMED_BODY => {
            BodyPrefix::More(Bytes::new(), body)
        }
        _ => read_prefix(body, Some(MAX_RESPONSE_BUFFERING)).await,
    }
}
