//! How far a client connection is with its present request, and until when it may take.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::downstream::body_pace::BodyPace;
use crate::downstream::client_stream::ClientStream;
use crate::downstream::framing::Framing;
use crate::downstream::idle_connections::{IdleConnection, IdleConnections};
use crate::downstream::request_stage::RequestStage;

/// How long a connection without an open request is kept.
pub const IDLE_TIME: Duration = Duration::from_secs(2);
/// A head may take this long from its first byte: clients may take 2 s for it.
const HEAD_TIME: Duration = Duration::from_millis(2400);
/// A request may take this long from its first byte to its last, and longer while its body keeps coming.
const REQUEST_TIME: Duration = Duration::from_millis(2800);
/// A connection's first request may take this long from the connection on, including the silence before it.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(2800);
/// A client that takes nothing of its answer for this long has stopped reading.
const WRITE_STALL_TIME: Duration = Duration::from_secs(10);

/// Why a request cannot be passed on to hyper; its connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProtocolError {
    /// Its head cannot be parsed, or where it ends is ambiguous.
    MalformedHead,
    /// Its head does not end within the bound.
    HeadTooLarge,
}

/// The progress of one client connection, shared by the framer below hyper and the request handler above it.
pub struct ConnectionProgress {
    idle_connections: Rc<IdleConnections>,
    stream: Weak<RefCell<ClientStream>>,
    task: RefCell<Option<AbortHandle>>,
    stage: Cell<RequestStage>,
    stage_since: Cell<Instant>,
    head_since: Cell<Instant>,
    /// Until when the first request must have come completely; `None` once one has.
    first_request_deadline: Cell<Option<Instant>>,
    /// Its entry among the connections that may be closed for others.
    idle_key: Cell<Option<u64>>,
    protocol_error: Cell<Option<ProtocolError>>,
    /// The present request's body is in chunks: where it ends is known to hyper alone.
    chunked: Cell<bool>,
    /// A part of the present request has not been read.
    unread: Cell<bool>,
    /// Since when the client has taken nothing of its answer.
    write_blocked_since: Cell<Option<Instant>>,
    body_pace: BodyPace,
    /// The present request has its answer, of which the last bytes are still to be written.
    answered: Cell<bool>,
}

impl ConnectionProgress {
    /// A connection that has just been accepted.
    pub fn new(
        idle_connections: Rc<IdleConnections>,
        stream: &Rc<RefCell<ClientStream>>,
    ) -> Rc<ConnectionProgress> {
        ConnectionProgress::with_stream(idle_connections, Rc::downgrade(stream))
    }

    fn with_stream(
        idle_connections: Rc<IdleConnections>,
        stream: Weak<RefCell<ClientStream>>,
    ) -> Rc<ConnectionProgress> {
        let now = Instant::now();
        Rc::new(ConnectionProgress {
            idle_connections,
            stream,
            task: RefCell::default(),
            stage: Cell::new(RequestStage::Open),
            stage_since: Cell::new(now),
            head_since: Cell::new(now),
            first_request_deadline: Cell::new(Some(now + FIRST_REQUEST_TIME)),
            idle_key: Cell::default(),
            protocol_error: Cell::default(),
            chunked: Cell::default(),
            unread: Cell::default(),
            write_blocked_since: Cell::default(),
            body_pace: BodyPace::default(),
            answered: Cell::default(),
        })
    }

    /// Sets the task that serves the connection, to be aborted when it is closed for others; the connection is
    /// idle from now on.
    pub fn set_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
        self.enter(RequestStage::Idle);
    }

    /// What the connection is doing.
    pub fn stage(&self) -> RequestStage {
        self.stage.get()
    }

    /// The first byte of a head has come.
    pub fn head_started(&self) {
        self.enter(RequestStage::Head);
    }

    /// A head has come completely.
    pub fn head_received(&self, framing: Framing) {
        self.chunked.set(framing == Framing::Chunked);
        self.unread.set(framing != Framing::Length(0));
        self.enter(RequestStage::Body);
    }

    /// What has come cannot be passed on.
    pub fn reject(&self, error: ProtocolError) {
        self.protocol_error.set(Some(error));
        self.unread.set(true);
    }

    /// The request has come completely.
    pub fn request_complete(&self) {
        self.unread.set(false);
        self.first_request_deadline.set(None);
        self.enter(RequestStage::Open);
    }

    /// The request has its answer: once that is written, the next request may pass.
    pub fn response_complete(&self) {
        self.answered.set(true);
    }

    /// The request's answer is the connection's last: what the client may still send is ignored.
    pub fn last_answer(&self) {
        self.enter(RequestStage::Open);
    }

    /// Everything that was to be written has been. Returns whether the connection has become idle by that.
    pub fn flushed(&self) -> bool {
        self.write_blocked_since.set(None);
        let is_idle = self.answered.replace(false);
        if is_idle {
            self.first_request_deadline.set(None);
            self.enter(RequestStage::Idle);
        }
        is_idle
    }

    /// How long ago the last byte of the present request came, which has come completely.
    pub fn request_age(&self) -> Duration {
        let stream = self.stream.upgrade();
        let last_byte = stream.and_then(|stream| stream.borrow().last_passed_at());
        last_byte.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// The socket has taken nothing of what was to be written.
    pub fn write_blocked(&self) {
        if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(Instant::now()));
        }
    }

    /// The socket has taken something of what was to be written, or has failed.
    pub fn write_unblocked(&self) {
        self.write_blocked_since.set(None);
    }

    /// Whether more of the body is wanted now. What the upstream does not take yet is not.
    pub fn set_body_wanted(&self, wanted: bool) {
        self.body_pace.set_wanted(wanted);
    }

    /// How fast the body comes.
    pub fn body_pace(&self) -> &BodyPace {
        &self.body_pace
    }

    /// Whether nothing behind the present request can be a request: where this one ends is known to hyper alone, or
    /// some of what came behind it was dropped.
    pub fn is_last_request(&self) -> bool {
        self.chunked.get() || self.stream.upgrade().is_some_and(|stream| stream.borrow().overflowed())
    }

    /// Ready once the client of an open request has disconnected; see [`ClientStream::poll_disconnected`].
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        match self.stream.upgrade() {
            Some(stream) if self.stage() == RequestStage::Open => stream.borrow_mut().poll_disconnected(cx),
            _ => Poll::Pending,
        }
    }

    /// Whether the client of an open request has disconnected by now, even if the runtime has not looked at its
    /// socket since. For the connection's own task, which is woken when that changes.
    pub async fn disconnected_now(&self) -> bool {
        poll_fn(|cx| Poll::Ready(self.check_disconnected(cx))).await
    }

    fn check_disconnected(&self, cx: &mut Context<'_>) -> bool {
        match self.stream.upgrade() {
            Some(stream) if self.stage() == RequestStage::Open => stream.borrow_mut().disconnected_now(cx),
            _ => false,
        }
    }

    /// Whether the client has disconnected, for any other task. To be asked before the first byte of each attempt:
    /// however long the connection's own task waits for its turn, this asks the kernel, unless it was asked just
    /// now. A connection that was dropped has no client.
    pub fn client_disconnected(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return true };
        let mut stream = stream.borrow_mut();
        match self.stage() {
            RequestStage::Open => stream.disconnected(),
            RequestStage::Body => stream.ended_early(),
            RequestStage::Idle | RequestStage::Head => false,
        }
    }

    /// When the connection has been in its stage for too long; `None` while it is not the client that is waited
    /// for. A client that is first silent and then slow, each for less than its own limit, is still closed within
    /// 3 s in all.
    pub fn deadline(&self, idle_time: Duration) -> Option<Instant> {
        match self.stage() {
            RequestStage::Idle => Some(self.before_first_deadline(self.stage_since.get() + idle_time)),
            RequestStage::Head => Some(self.before_first_deadline(self.head_since.get() + HEAD_TIME)),
            RequestStage::Body => {
                let deadline = self.before_first_deadline(self.head_since.get() + REQUEST_TIME);
                self.body_pace.deadline().map(|pace_deadline| deadline.max(pace_deadline))
            }
            RequestStage::Open => self.write_blocked_since.get().map(|since| since + WRITE_STALL_TIME),
        }
    }

    /// What was wrong with the connection's last request, if it could not be passed on.
    pub fn protocol_error(&self) -> Option<ProtocolError> {
        self.protocol_error.get()
    }

    /// Whether the client may still be sending a part of its request.
    pub fn unread(&self) -> bool {
        self.unread.get()
    }

    /// Whether an earlier answer is not written completely, so that nothing can be said after it.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.get().is_some()
    }

    fn before_first_deadline(&self, deadline: Instant) -> Instant {
        self.first_request_deadline.get().map_or(deadline, |first| deadline.min(first))
    }

    fn enter(&self, stage: RequestStage) {
        let now = Instant::now();
        match stage {
            RequestStage::Head => self.head_since.set(now),
            RequestStage::Body => self.body_pace.restart(now),
            RequestStage::Idle | RequestStage::Open => {}
        }
        self.leave_idle_connections();
        self.stage.set(stage);
        self.stage_since.set(now);
        if let Some(task) = &*self.task.borrow() {
            let connection = IdleConnection { since: now, task: task.clone(), stream: self.stream.clone() };
            self.idle_key.set(self.idle_connections.insert(stage, connection));
        }
    }

    fn leave_idle_connections(&self) {
        if let Some(key) = self.idle_key.take() {
            self.idle_connections.remove(self.stage.get(), key);
        }
    }
}

impl Drop for ConnectionProgress {
    fn drop(&mut self) {
        self.leave_idle_connections();
    }
}

#[cfg(test)]
mod tests;
