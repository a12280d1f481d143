//! Bodies that are too long to be held. They are passed on as they come, each side at the pace of the other: what
//! one does not take is not read from the other.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::downstream::ConnectionProgress;
use crate::limits::Permit;
use crate::upstream::ConnectionLease;

/// Most of a body that is held whole.
pub const MOST_HELD: usize = 64 * 1024;
/// Most of one that is passed on.
pub const MOST_PASSED: u64 = 32 << 20;
/// An answer whose length nobody tells is passed on after this, what there is of it.
const HOLD: Duration = Duration::from_millis(100);
/// An answer of which nothing comes for so long is cut off.
const STALL: Duration = Duration::from_secs(20);

type Polled = Poll<Option<io::Result<Frame<Bytes>>>>;

/// The beginning of a body.
pub enum BodyPrefix {
    /// All of it.
    Whole(Bytes),
    /// What has come and what comes.
    More(Bytes, Incoming),
    /// Its end will not come.
    Broken,
    /// It is longer than is passed on.
    TooLong,
}

/// Reads a body until it is whole or too long to be held; and no longer than `patience`, once something has come,
/// where its length is not told.
pub async fn read_prefix(mut body: Incoming, patience: Option<Duration>) -> BodyPrefix {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MOST_PASSED) {
        return BodyPrefix::TooLong;
    }
    let until = patience.filter(|_| length.is_none()).map(|patience| Instant::now() + patience);
    let mut held = BytesMut::new();
    loop {
        let frame = match until.filter(|_| !held.is_empty()) {
            None => body.frame().await,
            Some(until) => tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = sleep_until(until) => return BodyPrefix::More(held.freeze(), body),
            },
        };
        match frame {
            None => return BodyPrefix::Whole(held.freeze()),
            Some(Err(_)) => return BodyPrefix::Broken,
            Some(Ok(frame)) => held.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
        }
        if held.len() > MOST_HELD {
            return BodyPrefix::More(held.freeze(), body);
        }
    }
}

/// Reads an answer as far as it is held; see [`begin`].
pub async fn read_response_prefix(body: Incoming) -> BodyPrefix {
    // Its length is known to be too much: no reason to wait for any of it.
    match body.size_hint().exact() {
        Some(length) if length > MOST_HELD as u64 && length <= MOST_PASSED => {
            BodyPrefix::More(Bytes::new(), body)
        }
        _ => read_prefix(body, Some(HOLD)).await,
    }
}

/// How a caller's body ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyEnd {
    /// With its last byte.
    Whole,
    /// The caller left, or what it sent is no body.
    Broken,
    /// Over what is passed on.
    TooLong,
}

/// A request's body of which the beginning is kept and the rest is still coming.
pub struct RequestBodyStream {
    kept: Bytes,
    /// Of the whole body, where the caller tells it.
    length: Option<u64>,
    rest: RefCell<Incoming>,
    progress: Rc<ConnectionProgress>,
    /// Bytes of the rest that went on.
    passed: Cell<u64>,
    spent: Cell<bool>,
    end: Cell<Option<BodyEnd>>,
    ended: Notify,
}

impl RequestBodyStream {
    /// `kept` has come.
    pub fn new(kept: Bytes, rest: Incoming, progress: &Rc<ConnectionProgress>) -> Rc<RequestBodyStream> {
        progress.want(false);
        let length = rest.size_hint().exact().map(|rest| rest + kept.len() as u64);
        Rc::new(RequestBodyStream {
            kept,
            length,
            rest: RefCell::new(rest),
            progress: progress.clone(),
            passed: Cell::new(0),
            spent: Cell::new(false),
            end: Cell::new(None),
            ended: Notify::new(),
        })
    }

    /// Of the whole body, where the caller tells it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Some of what was not kept has gone on: it cannot go on again.
    pub fn consumed(&self) -> bool {
        self.spent.get()
    }

    /// How it has ended, if it has.
    pub fn ended(&self) -> Option<BodyEnd> {
        self.end.get()
    }

    /// Bytes that have gone on at the least, once it has ended.
    pub fn bytes(&self) -> u64 {
        self.kept.len() as u64 + self.passed.get()
    }

    /// How it ends, when it does.
    pub async fn end(&self) -> BodyEnd {
        loop {
            if let Some(end) = self.end.get() {
                return end;
            }
            self.ended.notified().await;
        }
    }

    fn close(&self, end: BodyEnd) {
        self.end.set(Some(end));
        self.ended.notify_one();
    }

    fn poll(&self, cx: &mut Context<'_>) -> Polled {
        match self.end.get() {
            Some(BodyEnd::Whole) => return Poll::Ready(None),
            Some(_) => return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
            None => self.spent.set(true),
        }
        let mut rest = self.rest.borrow_mut();
        loop {
            let polled = Pin::new(&mut *rest).poll_frame(cx);
            self.progress.want(polled.is_pending());
            let frame = match ready!(polled) {
                None => {
                    self.close(BodyEnd::Whole);
                    return Poll::Ready(None);
                }
                Some(Err(e)) => {
                    self.close(BodyEnd::Broken);
                    return Poll::Ready(Some(Err(io::Error::other(e))));
                }
                Some(Ok(frame)) => frame,
            };
            // Trailers are for this hop.
            let Some(data) = frame.data_ref() else { continue };
            self.passed.set(self.passed.get() + data.len() as u64);
            if self.bytes() > MOST_PASSED {
                self.close(BodyEnd::TooLong);
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            // The last byte of a known length is the end: nobody may ask for more.
            if rest.is_end_stream() {
                self.close(BodyEnd::Whole);
            }
            return Poll::Ready(Some(Ok(frame)));
        }
    }
}

/// A request's body on its way to an upstream.
pub enum Outgoing {
    /// Held whole.
    Whole(Full<Bytes>),
    /// Passed on: what is kept of it, unless that went already, and the rest.
    Streamed(Option<Bytes>, Rc<RequestBodyStream>),
}

impl Outgoing {
    /// A body that is still coming, from its beginning.
    pub fn passed(upload: &Rc<RequestBodyStream>) -> Outgoing {
        Outgoing::Streamed(Some(upload.kept.clone()), upload.clone())
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Polled {
        match self.get_mut() {
            Outgoing::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Outgoing::Streamed(kept, upload) => match kept.take().filter(|kept| !kept.is_empty()) {
                Some(kept) => Poll::Ready(Some(Ok(Frame::data(kept)))),
                None => upload.poll(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Whole(body) => body.is_end_stream(),
            Outgoing::Streamed(kept, upload) => kept.is_none() && upload.ended() == Some(BodyEnd::Whole),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Whole(body) => body.size_hint(),
            Outgoing::Streamed(kept, upload) => {
                let gone = if kept.is_some() { 0 } else { upload.bytes() };
                upload
                    .length
                    .map_or_else(SizeHint::default, |all| SizeHint::with_exact(all.saturating_sub(gone)))
            }
        }
    }
}

/// An answer of which the rest is still coming, with the connection that it comes on.
pub struct StreamedBody {
    first: Option<Bytes>,
    rest: Incoming,
    bytes: u64,
    lease: Option<ConnectionLease>,
    stall: Pin<Box<Sleep>>,
}

impl std::fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Passed").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl StreamedBody {
    /// `first` has come.
    pub fn new(first: Bytes, rest: Incoming, lease: ConnectionLease) -> StreamedBody {
        let first = Some(first).filter(|first| !first.is_empty());
        StreamedBody { first, rest, bytes: 0, lease: Some(lease), stall: Box::pin(sleep(STALL)) }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Polled {
        if let Some(first) = self.first.take() {
            self.bytes += first.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            let frame = match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.stall.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(io::Error::other(e)))),
                Poll::Ready(Some(Ok(frame))) => frame,
            };
            let Some(data) = frame.data_ref() else { continue };
            self.stall.as_mut().reset(Instant::now() + STALL);
            self.bytes += data.len() as u64;
            if self.bytes > MOST_PASSED {
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            if self.rest.is_end_stream() {
                self.end();
            }
            return Poll::Ready(Some(Ok(frame)));
        }
    }

    /// Read whole: its connection takes the next request.
    fn end(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.give_back();
        }
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        self.rest
            .size_hint()
            .exact()
            .map_or_else(SizeHint::default, |rest| SizeHint::with_exact(first + rest))
    }
}

enum Kind {
    Whole(Full<Bytes>),
    Streamed(Box<StreamedBody>, Rc<ConnectionProgress>),
}

/// An answer's body on its way to a caller, with the room that it takes.
pub struct ResponseBody {
    kind: Kind,
    /// Given back when it has gone or its caller has.
    pub room: Option<Permit>,
}

impl ResponseBody {
    /// Held whole.
    pub fn whole(body: Bytes) -> ResponseBody {
        ResponseBody { kind: Kind::Whole(Full::new(body)), room: None }
    }

    /// Passed on; at its end the caller has its answer.
    pub fn passed(passed: StreamedBody, progress: &Rc<ConnectionProgress>) -> ResponseBody {
        ResponseBody { kind: Kind::Streamed(Box::new(passed), progress.clone()), room: None }
    }

    /// Its end is still to come.
    pub fn lasts(&self) -> bool {
        matches!(self.kind, Kind::Streamed(..))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Polled {
        match &mut self.get_mut().kind {
            Kind::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Kind::Streamed(passed, progress) => {
                let polled = passed.poll(cx);
                if passed.lease.is_none() {
                    progress.answered();
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Whole(body) => body.is_end_stream(),
            Kind::Streamed(passed, _) => passed.lease.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Whole(body) => body.size_hint(),
            Kind::Streamed(passed, _) => passed.size_hint(),
        }
    }
}
