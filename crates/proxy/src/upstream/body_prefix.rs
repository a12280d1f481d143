//! Reads the beginning of a message body. A short body is buffered and forwarded complete: its request can be retried,
//! and the connection of a response can be reused early. A longer body is streamed with backpressure.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, sleep_until};

/// Maximum length in bytes of a buffered body; a longer body is streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum length in bytes of a streamed body; a longer body is rejected.
pub const MAX_STREAMED_BODY_BYTES: u64 = 32 << 20;
/// Maximum time for buffering a response of undeclared length. After that time the response is streamed, beginning with
/// the bytes buffered so far.
const MAX_RESPONSE_BUFFERING_TIME: Duration = Duration::from_millis(100);

/// The beginning of a body.
pub enum BodyPrefix {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a longer or slower body, and the source of the rest.
    More(Bytes, Incoming),
    /// The body ended early, or its framing is invalid.
    Broken,
    /// The declared length exceeds [`MAX_STREAMED_BODY_BYTES`].
    TooLong,
}

/// Reads a body until it is complete or longer than [`MAX_BUFFERED_BODY_BYTES`]. A body of undeclared length is read for at
/// most `max_wait`, but at least until its first bytes arrive; `None` sets no time limit.
pub async fn read_prefix(mut body: Incoming, max_wait: Option<Duration>) -> BodyPrefix {
    let declared_length = body.size_hint().exact();
    if declared_length.is_some_and(|length| length > MAX_STREAMED_BODY_BYTES) {
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
        if buffered.len() > MAX_BUFFERED_BODY_BYTES {
            return BodyPrefix::More(buffered.freeze(), body);
        }
    }
}

/// Reads the part of a response body that is buffered; see [`read_prefix`].
pub async fn read_response_prefix(body: Incoming) -> BodyPrefix {
    match body.size_hint().exact() {
        // The declared length already requires streaming, so there is no need to wait for the first bytes.
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 && length <= MAX_STREAMED_BODY_BYTES => {
            BodyPrefix::More(Bytes::new(), body)
        }
        _ => read_prefix(body, Some(MAX_RESPONSE_BUFFERING_TIME)).await,
    }
}
