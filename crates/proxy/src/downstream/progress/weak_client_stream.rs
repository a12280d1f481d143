//! Access to a client stream that may have been dropped: whether the client is still connected, and when the last byte
//! of its request arrived.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Weak;
use std::task::{Context, Poll};

use tokio::time::Instant;

use crate::downstream::client_stream::ClientStream;
use crate::downstream::connection_stage::ConnectionStage;

/// A reference to a client stream that does not keep its socket open. Once the connection has been dropped, its client
/// counts as disconnected.
pub(super) struct WeakClientStream {
    stream: Weak<RefCell<ClientStream>>,
}

impl WeakClientStream {
    /// Creates the reference to this stream.
    pub(super) fn new(stream: Weak<RefCell<ClientStream>>) -> WeakClientStream {
        WeakClientStream { stream }
    }

    /// Returns the stream, which may have been dropped.
    pub(super) fn stream(&self) -> &Weak<RefCell<ClientStream>> {
        &self.stream
    }

    /// Returns when the last byte that was passed on to hyper arrived; `None` before the first byte.
    pub(super) fn last_passed_byte_arrived_at(&self) -> Option<Instant> {
        let stream = self.stream.upgrade();
        stream.and_then(|stream| stream.borrow().last_passed_byte_arrived_at())
    }

    /// Returns when the last byte arrived that was read but not yet passed on to hyper; `None` if there is none.
    pub(super) fn last_buffered_byte_arrived_at(&self) -> Option<Instant> {
        let stream = self.stream.upgrade();
        stream.and_then(|stream| stream.borrow().last_buffered_byte_arrived_at())
    }

    /// Returns the memory in bytes of the input that was read and not passed on; 0 if the stream was dropped.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.stream.upgrade().map_or(0, |stream| stream.borrow().buffered_capacity())
    }

    /// Drops all input from now on; see [`ClientStream::drop_input`].
    pub(super) fn drop_input(&self) {
        if let Some(stream) = self.stream.upgrade() {
            stream.borrow_mut().drop_input();
        }
    }

    /// Sets whether the connection is reset when its socket is closed; see
    /// [`Socket::set_reset_on_close`](crate::sockets::Socket::set_reset_on_close).
    pub(super) fn set_reset_on_close(&self, reset: bool) {
        if let Some(stream) = self.stream.upgrade() {
            stream.borrow().socket().set_reset_on_close(reset);
        }
    }

    /// Returns whether the input cannot be read as another request; see [`ClientStream::ends_before_next_request`].
    pub(super) fn input_ends_before_next_request(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| stream.borrow().ends_before_next_request())
    }

    /// Becomes ready once the client of an open request has disconnected; pending in every other stage, in which the
    /// framer sees the end of input. See [`ClientStream::poll_disconnected`].
    pub(super) fn poll_disconnected(&self, stage: ConnectionStage, cx: &mut Context<'_>) -> Poll<()> {
        match self.stream.upgrade() {
            Some(stream) if stage == ConnectionStage::Open => stream.borrow_mut().poll_disconnected(cx),
            _ => Poll::Pending,
        }
    }

    /// Returns whether the client of an open request has disconnected. Must be called from the connection's own task,
    /// which is woken when this changes.
    pub(super) async fn disconnected_now(&self, stage: ConnectionStage) -> bool {
        poll_fn(|cx| Poll::Ready(self.check_disconnected(stage, cx))).await
    }

    fn check_disconnected(&self, stage: ConnectionStage, cx: &mut Context<'_>) -> bool {
        match self.stream.upgrade() {
            Some(stream) if stage == ConnectionStage::Open => stream.borrow_mut().disconnected_now(cx),
            _ => false,
        }
    }

    /// Returns whether the client has disconnected. For callers in tasks other than the connection's own.
    pub(super) fn is_disconnected(&self, stage: ConnectionStage) -> bool {
        let Some(stream) = self.stream.upgrade() else { return true };
        let mut stream = stream.borrow_mut();
        match stage {
            ConnectionStage::Open => stream.disconnected(),
            ConnectionStage::Body => stream.ended_early(),
            ConnectionStage::Idle | ConnectionStage::Head => false,
        }
    }
}
