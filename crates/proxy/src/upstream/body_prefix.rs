//! Reads the beginning of a message body. A short body is buffered and forwarded complete: its request can be retried,
//! and the connection of a response can be reused early. A longer body is streamed with backpressure.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, sleep_until};

use crate::memory::MemoryBudget;

/// Maximum length in bytes of a buffered body; a longer body is streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum length in bytes of a streamed body; a longer body is rejected.
pub const MAX_STREAMED_BODY_BYTES: u64 = 32 << 20;
/// Maximum time for buffering a response of undeclared length. After that time the response is streamed, beginning with
/// the bytes buffered so far.
const MAX_RESPONSE_BUFFERING_TIME: Duration = Duration::from_millis(100);

/// Number of bytes by which the buffer of a body grows.
const BUFFER_STEP_BYTES: usize = 8 * 1024;

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

/// Reads a body until it is complete, longer than [`MAX_BUFFERED_BODY_BYTES`] or longer than `memory` allows. A body of
/// undeclared length is read for at most `max_wait`, but at least until its first bytes arrive; `None` sets no time limit.
pub async fn read_prefix(
    mut body: Incoming,
    max_wait: Option<Duration>,
    memory: &MemoryBudget,
) -> BodyPrefix {
    let declared_length = body.size_hint().exact();
    if declared_length.is_some_and(|length| length > MAX_STREAMED_BODY_BYTES) {
        return BodyPrefix::TooLong;
    }
    let wait_until = max_wait.filter(|_| declared_length.is_none()).map(|wait| Instant::now() + wait);
    let mut buffered = Vec::new();
    loop {
        let frame = match wait_until.filter(|_| !buffered.is_empty()) {
            None => body.frame().await,
            Some(wait_until) => tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = sleep_until(wait_until) => return BodyPrefix::More(Bytes::from(buffered), body),
            },
        };
        match frame {
            None => return BodyPrefix::Complete(Bytes::from(buffered)),
            Some(Err(_)) => return BodyPrefix::Broken,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    append(&mut buffered, data);
                }
            }
        }
        if buffered.len() > MAX_BUFFERED_BODY_BYTES || !memory.may_buffer(buffered.len()) {
            return BodyPrefix::More(Bytes::from(buffered), body);
        }
    }
}

/// Appends to a buffer whose spare capacity stays below [`BUFFER_STEP_BYTES`].
fn append(buffered: &mut Vec<u8>, data: &[u8]) {
    let needed = buffered.len() + data.len();
    if needed > buffered.capacity() {
        buffered.reserve_exact(needed.next_multiple_of(BUFFER_STEP_BYTES) - buffered.len());
    }
    buffered.extend_from_slice(data);
}

/// Reads the part of a response body that is buffered; see [`read_prefix`].
pub async fn read_response_prefix(body: Incoming, memory: &MemoryBudget) -> BodyPrefix {
    match body.size_hint().exact() {
        // The declared length already requires streaming, so there is no need to wait for the first bytes.
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 && length <= MAX_STREAMED_BODY_BYTES => {
            BodyPrefix::More(Bytes::new(), body)
        }
        _ => read_prefix(body, Some(MAX_RESPONSE_BUFFERING_TIME), memory).await,
    }
}
