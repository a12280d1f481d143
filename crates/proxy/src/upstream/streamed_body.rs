//! A response's body that is forwarded while it comes: nothing is read from the upstream that the client does not take.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use crate::upstream::body_prefix::MAX_STREAMED_BODY;
use crate::upstream::connection_lease::ConnectionLease;

/// A response of which nothing comes for this long, while the client waits for more, is broken off.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A response's body of which the rest is still coming, with the connection that it comes on.
pub struct StreamedBody {
    prefix: Option<Bytes>,
    rest: Incoming,
    forwarded: u64,
    /// Given back when the body has been read to its end.
    lease: Option<ConnectionLease>,
    stall_timer: Pin<Box<Sleep>>,
}

impl fmt::Debug for StreamedBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("StreamedBody").field("forwarded", &self.forwarded).finish_non_exhaustive()
    }
}

impl StreamedBody {
    /// A body that begins with `prefix` and goes on with `rest`, which comes on the leased connection.
    pub fn new(prefix: Bytes, rest: Incoming, lease: ConnectionLease) -> StreamedBody {
        StreamedBody {
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            rest,
            forwarded: 0,
            lease: Some(lease),
            stall_timer: Box::pin(sleep(STALL_TIMEOUT)),
        }
    }

    /// The next part of the body. After an error the rest never comes, so the client's connection must be closed.
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
                    self.give_back_connection();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(io::Error::other(error)))),
                Poll::Ready(Some(Ok(frame))) => frame,
            };
            // Trailers belong to the upstream's connection and are not forwarded.
            let Some(data) = frame.data_ref() else { continue };
            self.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
            self.forwarded += data.len() as u64;
            if self.forwarded > MAX_STREAMED_BODY {
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            if self.rest.is_end_stream() {
                self.give_back_connection();
            }
            return Poll::Ready(Some(Ok(frame)));
        }
    }

    /// Whether the body was read to its end.
    pub fn is_complete(&self) -> bool {
        self.lease.is_none()
    }

    /// How many bytes are still to come, where the upstream has declared the length.
    pub fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, |prefix| prefix.len() as u64);
        let total = |rest: u64| SizeHint::with_exact(prefix + rest);
        self.rest.size_hint().exact().map_or_else(SizeHint::default, total)
    }

    /// The body was read to its end: its connection takes the next request.
    fn give_back_connection(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.give_back();
        }
    }
}
