//! A response body that is forwarded while it arrives. Bytes are read from the upstream only as the client accepts them.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until};
use zincstand_policy::ResponseEnd;

use crate::dispatch::ResponseCompletion;
use crate::upstream::body_prefix::MAX_STREAMED_BODY_BYTES;
use crate::upstream::connection_lease::ConnectionLease;
use crate::upstream::response::UpstreamResponse;
use crate::upstream::silence::Silence;

/// Silence that counts against the upstream if the client leaves during it.
const MIN_COUNTED_SILENCE: Duration = Duration::from_millis(400);

/// Why a response is cut off.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum ResponseError {
    /// The upstream sent nothing more, and the client's deadline has passed.
    #[error("its upstream is silent and the deadline has passed")]
    Silent,
    /// The connection to the upstream failed, or the framing is invalid.
    #[error("its upstream broke it off")]
    Broken,
    /// The body exceeds [`MAX_STREAMED_BODY_BYTES`].
    #[error("it is too long")]
    TooLong,
}

impl From<ResponseError> for ResponseEnd {
    fn from(error: ResponseError) -> ResponseEnd {
        match error {
            ResponseError::Silent => ResponseEnd::Silent,
            ResponseError::Broken | ResponseError::TooLong => ResponseEnd::Broken,
        }
    }
}

/// A response body of which the rest is still arriving, with the connection that it arrives on.
pub struct ResponseBodyStream {
    /// The buffered beginning; `None` if it is empty or was returned.
    prefix: Option<Bytes>,
    rest: Incoming,
    /// Number of bytes returned so far, including the prefix.
    forwarded: u64,
    /// The connection; `None` once the body was read to its end and the connection was put back.
    lease: Option<ConnectionLease>,
    silence: Silence,
    /// Set to the time at which the response is cut off if no bytes arrive; `None` before the first wait for bytes.
    cut_off_timer: Option<Pin<Box<Sleep>>>,
    /// Reports the end of the response; `None` once it was reported.
    completion: Option<ResponseCompletion<UpstreamResponse>>,
}

impl fmt::Debug for ResponseBodyStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ResponseBodyStream")
            .field("forwarded", &self.forwarded)
            .finish_non_exhaustive()
    }
}

impl ResponseBodyStream {
    /// Creates a body that begins with `prefix` and continues with `rest`, which arrives on the leased connection.
    pub fn new(prefix: Bytes, rest: Incoming, lease: ConnectionLease) -> ResponseBodyStream {
        let known_bytes = prefix.len() as u64 + rest.size_hint().lower();
        ResponseBodyStream {
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            rest,
            forwarded: 0,
            lease: Some(lease),
            silence: Silence::new(known_bytes),
            cut_off_timer: None,
            completion: None,
        }
    }

    /// Sets the callback that reports the end of the response.
    pub fn set_completion(&mut self, completion: ResponseCompletion<UpstreamResponse>) {
        self.completion = Some(completion);
    }

    /// Sets for how long the client waits. A response that is silent then is cut off.
    pub fn set_time_left(&mut self, time_left: Duration) {
        self.silence.set_time_left(Instant::now(), time_left);
    }

    /// Returns since when the proxy has waited for more bytes of the body; `None` while it does not.
    pub fn silent_since(&self) -> Option<Instant> {
        self.silence.since()
    }

    /// Polls the next frame of the body.
    ///
    /// # Errors
    ///
    /// Why the response is cut off. The rest is lost, so the client's connection must be closed.
    pub fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        if let Some(prefix) = self.prefix.take() {
            self.forwarded += prefix.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        loop {
            let frame = match Pin::new(&mut self.rest).poll_frame(context) {
                Poll::Pending => {
                    return self.poll_cut_off(context).map(|()| Some(self.fail(ResponseError::Silent)));
                }
                Poll::Ready(None) => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(self.fail(ResponseError::Broken))),
                Poll::Ready(Some(Ok(frame))) => frame,
            };
            // Trailers belong to the upstream's connection and are not forwarded.
            let Some(data) = frame.data_ref() else { continue };
            self.silence.record_bytes(data.len(), Instant::now());
            self.forwarded += data.len() as u64;
            if self.forwarded > MAX_STREAMED_BODY_BYTES {
                return Poll::Ready(Some(self.fail(ResponseError::TooLong)));
            }
            if self.rest.is_end_stream() {
                self.complete();
            }
            return Poll::Ready(Some(Ok(frame)));
        }
    }

    /// Returns whether the body was read to its end.
    pub fn is_complete(&self) -> bool {
        self.lease.is_none()
    }

    /// Returns the number of bytes returned so far.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Returns the number of bytes left, or a hint without bounds if the upstream has not declared the length.
    pub fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, |prefix| prefix.len() as u64);
        let total = |rest: u64| SizeHint::with_exact(prefix + rest);
        self.rest.size_hint().exact().map_or_else(SizeHint::default, total)
    }

    /// Becomes ready once the response has to be cut off because nothing more arrives.
    fn poll_cut_off(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(cut_off_at) = self.silence.record_nothing(Instant::now()) else { return Poll::Pending };
        let timer = self.cut_off_timer.get_or_insert_with(|| Box::pin(sleep_until(cut_off_at)));
        if timer.deadline() != cut_off_at {
            timer.as_mut().reset(cut_off_at);
        }
        timer.as_mut().poll(context)
    }

    /// Puts the connection back into the pool, after the body was read to its end.
    fn complete(&mut self) {
        self.silence.record_end();
        if let Some(lease) = self.lease.take() {
            lease.return_to_pool();
        }
        self.report(ResponseEnd::Complete);
    }

    fn fail<T>(&mut self, error: ResponseError) -> Result<T, ResponseError> {
        self.report(error.into());
        Err(error)
    }

    fn report(&mut self, end: ResponseEnd) {
        if let Some(completion) = self.completion.take() {
            completion.report(end);
        }
    }
}

impl Drop for ResponseBodyStream {
    /// Reports a response that its client did not wait for although its upstream was silent.
    fn drop(&mut self) {
        if self.silent_since().is_some_and(|since| since.elapsed() >= MIN_COUNTED_SILENCE)
            && let Some(completion) = self.completion.take()
        {
            completion.report_on_drop(ResponseEnd::Silent);
        }
    }
}
