//! A request body that is forwarded while it arrives. Bytes are read from the client only as the upstream accepts them.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::dispatch::BodyEnd;
use crate::upstream::body_prefix::MAX_STREAMED_BODY_BYTES;
use crate::upstream::downstream_client::DownstreamClient;

/// Maximum number of bytes that a client may have written and the proxy not read: the largest send buffer (4 MiB) and the
/// largest receive buffer (6 MiB) that Linux gives a socket by default.
const MAX_UNREAD_BYTES: u64 = 10 << 20;

/// A request body of which the beginning is buffered and the rest is still arriving. The request can be sent again until
/// an attempt has read from the rest.
pub struct RequestBodyStream {
    /// The buffered beginning, which each attempt sends from its start.
    prefix: Bytes,
    /// Length of the complete body in bytes; `None` if the client has not declared it.
    declared_length: Option<u64>,
    rest: RefCell<Incoming>,
    client: Rc<dyn DownstreamClient>,
    /// Number of bytes of the rest that were forwarded to an upstream.
    rest_forwarded: Cell<u64>,
    /// Whether an attempt has begun to read the rest.
    rest_consumed: Cell<bool>,
    /// When a part of the body was last read of which more than [`MAX_UNREAD_BYTES`] were to follow: the client cannot
    /// have written its last byte before. `None` if there was no such part.
    last_incomplete_at: Cell<Option<Instant>>,
    /// How the body has ended; `None` while it is arriving.
    end: Cell<Option<BodyEnd>>,
    /// Notified when `end` is set.
    ended: Notify,
}

impl RequestBodyStream {
    /// Creates a body that begins with `prefix` and continues with `rest`, which arrives from `client`.
    pub fn new(prefix: Bytes, rest: Incoming, client: Rc<dyn DownstreamClient>) -> Rc<RequestBodyStream> {
        // No attempt is reading the rest yet, so the client's time limit does not run.
        client.set_waiting_for_body(false);
        let declared_length = rest.size_hint().exact().map(|length| length + prefix.len() as u64);
        Rc::new(RequestBodyStream {
            prefix,
            declared_length,
            rest: RefCell::new(rest),
            client,
            rest_forwarded: Cell::new(0),
            rest_consumed: Cell::new(false),
            last_incomplete_at: Cell::new(None),
            end: Cell::new(None),
            ended: Notify::new(),
        })
    }

    /// Returns the length of the complete body in bytes; `None` if the client has not declared it.
    pub fn declared_length(&self) -> Option<u64> {
        self.declared_length
    }

    /// Returns whether an attempt has begun to read the rest. The rest is not buffered, so the request cannot be sent
    /// again.
    pub fn is_consumed(&self) -> bool {
        self.rest_consumed.get()
    }

    /// Returns how the body has ended; `None` while it is arriving.
    pub fn end(&self) -> Option<BodyEnd> {
        self.end.get()
    }

    /// Returns for how long the complete body may have been with the proxy's machine: since the proxy last waited for the
    /// client, or last knew that the client could not have written all of the rest.
    pub fn max_age(&self) -> Duration {
        let earliest_end = self.client.earliest_body_end();
        let earliest_end = self.last_incomplete_at.get().map_or(earliest_end, |at| at.max(earliest_end));
        earliest_end.elapsed()
    }

    /// Returns the number of bytes in the prefix and in the forwarded part of the rest. Once the complete body has
    /// arrived, this is the length of the body.
    pub fn length_so_far(&self) -> u64 {
        self.prefix.len() as u64 + self.rest_forwarded.get()
    }

    /// Waits for the end of the body. Only one task may wait at a time.
    pub async fn wait_for_end(&self) -> BodyEnd {
        loop {
            if let Some(end) = self.end.get() {
                return end;
            }
            self.ended.notified().await;
        }
    }

    fn set_end(&self, end: BodyEnd) {
        self.end.set(Some(end));
        self.ended.notify_one();
    }

    /// Polls the next frame of the rest. After an error the request cannot be completed.
    fn poll_rest(&self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.end.get() {
            Some(BodyEnd::Complete) => return Poll::Ready(None),
            Some(_) => return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
            None => self.rest_consumed.set(true),
        }
        let mut rest = self.rest.borrow_mut();
        loop {
            let polled = Pin::new(&mut *rest).poll_frame(context);
            self.client.set_waiting_for_body(polled.is_pending());
            let frame = match ready!(polled) {
                None => {
                    self.set_end(BodyEnd::Complete);
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    self.set_end(BodyEnd::Broken);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                Some(Ok(frame)) => frame,
            };
            // Trailers belong to the client's connection and are not forwarded.
            let Some(data) = frame.data_ref() else { continue };
            self.rest_forwarded.set(self.rest_forwarded.get() + data.len() as u64);
            if self.length_so_far() > MAX_STREAMED_BODY_BYTES {
                self.set_end(BodyEnd::TooLong);
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            if self.declared_length.is_some_and(|length| length > self.length_so_far() + MAX_UNREAD_BYTES) {
                self.last_incomplete_at.set(Some(Instant::now()));
            }
            // Hyper may not poll again after the last byte of a body of declared length, so its end is recorded here.
            if rest.is_end_stream() {
                self.set_end(BodyEnd::Complete);
            }
            return Poll::Ready(Some(Ok(frame)));
        }
    }
}

/// A request body that hyper sends to an upstream.
pub enum OutgoingBody {
    /// The complete body.
    Complete(Full<Bytes>),
    /// A body that is still arriving from the client.
    Streamed {
        /// The buffered beginning; `None` once it was sent.
        prefix: Option<Bytes>,
        /// The source of the rest.
        stream: Rc<RequestBodyStream>,
    },
}

impl OutgoingBody {
    /// Creates a body of which all bytes are available.
    pub fn complete(body: Bytes) -> OutgoingBody {
        OutgoingBody::Complete(Full::new(body))
    }

    /// Creates a body that sends the stream from its beginning.
    pub fn streamed(stream: &Rc<RequestBodyStream>) -> OutgoingBody {
        OutgoingBody::Streamed { prefix: Some(stream.prefix.clone()), stream: stream.clone() }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            OutgoingBody::Complete(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            OutgoingBody::Streamed { prefix, stream } => {
                match prefix.take().filter(|prefix| !prefix.is_empty()) {
                    Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
                    None => stream.poll_rest(context),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Complete(body) => body.is_end_stream(),
            OutgoingBody::Streamed { prefix, stream } => {
                prefix.is_none() && stream.end() == Some(BodyEnd::Complete)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Complete(body) => body.size_hint(),
            OutgoingBody::Streamed { prefix, stream } => {
                let sent = if prefix.is_some() { 0 } else { stream.length_so_far() };
                let remaining = |length: u64| SizeHint::with_exact(length.saturating_sub(sent));
                stream.declared_length.map_or_else(SizeHint::default, remaining)
            }
        }
    }
}
