//! A response body that is forwarded while it arrives. Bytes are read from the upstream only as the client accepts them.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use crate::upstream::body_prefix::MAX_STREAMED_BODY_BYTES;
use crate::upstream::connection_lease::ConnectionLease;

/// Maximum time without a byte from the upstream while the client is waiting for more. After that time the response
/// fails.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A response body of which the rest is still arriving, with the connection that it arrives on.
pub struct ResponseBodyStream {
    /// The buffered beginning; `None` if it is empty or was returned.
    prefix: Option<Bytes>,
    rest: Incoming,
    /// Number of bytes returned so far, including the prefix.
    forwarded: u64,
    /// The connection; `None` once the body was read to its end and the connection was put back.
    lease: Option<ConnectionLease>,
    /// Ends [`STALL_TIMEOUT`] after the last byte that arrived.
    stall_timer: Pin<Box<Sleep>>,
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
        ResponseBodyStream {
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            rest,
            forwarded: 0,
            lease: Some(lease),
            stall_timer: Box::pin(sleep(STALL_TIMEOUT)),
        }
    }

    /// Polls the next frame of the body. After an error the rest is lost, so the client's connection must be closed.
    pub fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(prefix) = self.prefix.take() {
            self.forwarded += prefix.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        loop {
            let frame = match Pin::new(&mut self.rest).poll_frame(context) {
                Poll::Pending => {
                    ready!(self.stall_timer.as_mut().poll(context));
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
                Poll::Ready(None) => {
                    self.return_connection();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(io::Error::other(error)))),
                Poll::Ready(Some(Ok(frame))) => frame,
            };
            // Trailers belong to the upstream's connection and are not forwarded.
            let Some(data) = frame.data_ref() else { continue };
            self.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
            self.forwarded += data.len() as u64;
            if self.forwarded > MAX_STREAMED_BODY_BYTES {
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            if self.rest.is_end_stream() {
                self.return_connection();
            }
            return Poll::Ready(Some(Ok(frame)));
        }
    }

    /// Returns whether the body was read to its end.
    pub fn is_complete(&self) -> bool {
        self.lease.is_none()
    }

    /// Returns the number of bytes left, or a hint without bounds if the upstream has not declared the length.
    pub fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, |prefix| prefix.len() as u64);
        let total = |rest: u64| SizeHint::with_exact(prefix + rest);
        self.rest.size_hint().exact().map_or_else(SizeHint::default, total)
    }

    /// Puts the connection back into the pool, after the body was read to its end.
    fn return_connection(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.return_to_pool();
        }
    }
}
