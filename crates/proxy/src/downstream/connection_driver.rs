//! Polls hyper's connection together with the conditions that end it: the client's disconnection and the deadline of
//! the connection's stage.

use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use tokio::time::{Instant, Sleep, sleep};

use crate::downstream::client_stream::ClientStream;
use crate::downstream::connection_stage::ConnectionStage;
use crate::downstream::framer::RequestFramer;
use crate::downstream::progress::ConnectionProgress;
use crate::downstream::response_body::ResponseBody;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEnd {
    /// Hyper has finished, or the client has disconnected.
    Finished,
    /// The deadline of the connection's stage has passed.
    TimedOut,
}

/// Drives one connection. Hyper owns the framer, which shares `stream` and `progress` with the driver.
pub struct ConnectionDriver<'a, S>
where
    S: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible>,
{
    connection: &'a mut http1::Connection<RequestFramer, S>,
    stream: &'a RefCell<ClientStream>,
    progress: &'a ConnectionProgress,
    /// Set to the deadline of the current stage.
    stage_timer: Pin<Box<Sleep>>,
}

impl<'a, S> ConnectionDriver<'a, S>
where
    S: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible> + Unpin,
    S::Future: Unpin,
{
    /// Creates the driver of a connection that has not been polled yet.
    pub fn new(
        connection: &'a mut http1::Connection<RequestFramer, S>,
        stream: &'a RefCell<ClientStream>,
        progress: &'a ConnectionProgress,
    ) -> ConnectionDriver<'a, S> {
        ConnectionDriver { connection, stream, progress, stage_timer: Box::pin(sleep(Duration::ZERO)) }
    }

    /// Lets hyper close the connection after the current response, or now if the connection is idle. Does nothing
    /// while a request is arriving that hyper has not seen: hyper would treat the connection as idle, and close it
    /// without a response to that request.
    pub fn start_graceful_shutdown(&mut self) {
        if !self.is_receiving_request() {
            Pin::new(&mut *self.connection).graceful_shutdown();
        }
    }

    /// Polls the connection; becomes ready at its end. `deadline` returns the deadline of the current stage, which the
    /// poll may have changed.
    pub fn poll_end(
        &mut self,
        cx: &mut Context<'_>,
        deadline: impl FnOnce() -> Option<Instant>,
    ) -> Poll<ConnectionEnd> {
        // Hyper notices a disconnected client only while it reads. Once the client has disconnected, nobody waits for
        // an open request, so the caller drops hyper's connection, which cancels the request.
        if self.connection.poll_without_shutdown(cx).is_ready()
            || self.progress.poll_disconnected(cx).is_ready()
        {
            return Poll::Ready(ConnectionEnd::Finished);
        }
        match deadline() {
            Some(deadline) => self.poll_stage_timer(cx, deadline).map(|()| ConnectionEnd::TimedOut),
            None => Poll::Pending,
        }
    }

    /// Returns whether the connection is in the idle stage although input has arrived that the runtime has not read
    /// yet.
    pub fn is_idle_with_unread_input(&self) -> bool {
        self.progress.stage() == ConnectionStage::Idle && self.stream.borrow().has_unread_input()
    }

    fn poll_stage_timer(&mut self, cx: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        if self.stage_timer.deadline() != deadline {
            self.stage_timer.as_mut().reset(deadline);
        }
        self.stage_timer.as_mut().poll(cx)
    }

    /// Returns whether a part of a request has arrived that hyper has not seen.
    fn is_receiving_request(&self) -> bool {
        match self.progress.stage() {
            ConnectionStage::Idle => self.stream.borrow().has_unread_input(),
            ConnectionStage::Head => true,
            ConnectionStage::Body | ConnectionStage::Open => false,
        }
    }
}
