//! Polls a client connection together with the conditions that end it: the client's disconnection and the deadline of the
//! connection's stage.

use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use tokio::time::{Instant, Sleep, sleep};

use crate::downstream::client_stream::ClientStream;
use crate::downstream::connection_stage::ConnectionStage;
use crate::downstream::framer::RequestFramer;
use crate::downstream::head_reader::{AdmittedRequest, HeadReader};
use crate::downstream::progress::ConnectionProgress;
use crate::downstream::response_body::ResponseBody;
use crate::memory::{MemoryBudget, RequestCharge};
use crate::upstream::upstream_connection::MAX_HTTP_BUFFER_BYTES;

/// The smallest size in bytes that hyper allows for each of its buffers.
const MIN_HTTP_BUFFER_BYTES: usize = 8 * 1024;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEnd {
    /// Hyper has finished, the client has disconnected, or its request was rejected.
    Finished,
    /// The deadline of the connection's stage has passed.
    TimedOut,
}

/// Hyper's connection, which exists while a request is open: between requests, and while a head arrives, a client's
/// connection takes none of its buffers.
struct OpenRequest<S>
where
    S: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible>,
{
    connection: http1::Connection<RequestFramer, S>,
    _charge: RequestCharge,
}

/// Drives one connection. Its parts share the stream and the progress with the driver.
pub struct ConnectionDriver<S>
where
    S: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible>,
{
    head_reader: HeadReader,
    /// `None` while no request is open.
    open_request: Option<OpenRequest<S>>,
    service: S,
    stream: Rc<RefCell<ClientStream>>,
    progress: Rc<ConnectionProgress>,
    /// Whether the connection closes although no request is open.
    closing: bool,
    /// Set to the deadline of the current stage.
    stage_timer: Pin<Box<Sleep>>,
}

impl<S> ConnectionDriver<S>
where
    S: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible> + Clone + Unpin,
    S::Future: Unpin,
{
    /// Creates the driver of a connection that has not been polled yet.
    pub fn new(
        stream: Rc<RefCell<ClientStream>>,
        progress: Rc<ConnectionProgress>,
        memory: Rc<MemoryBudget>,
        service: S,
    ) -> ConnectionDriver<S> {
        ConnectionDriver {
            head_reader: HeadReader::new(stream.clone(), progress.clone(), memory),
            open_request: None,
            service,
            stream,
            progress,
            closing: false,
            stage_timer: Box::pin(sleep(Duration::ZERO)),
        }
    }

    /// Closes the connection after the current response, or now if the connection is idle. Does nothing while a request head
    /// is arriving: its response closes the connection.
    pub fn start_graceful_shutdown(&mut self) {
        match &mut self.open_request {
            Some(open) => Pin::new(&mut open.connection).graceful_shutdown(),
            None => self.closing |= !self.is_receiving_head(),
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
        if self.poll_requests(cx).is_ready() || self.progress.poll_disconnected(cx).is_ready() {
            return Poll::Ready(ConnectionEnd::Finished);
        }
        match deadline() {
            Some(deadline) => self.poll_stage_timer(cx, deadline).map(|()| ConnectionEnd::TimedOut),
            None => Poll::Pending,
        }
    }

    /// Serves one request after the other. Becomes ready when no further request can be served.
    fn poll_requests(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.closing {
                return Poll::Ready(());
            }
            let Some(open) = &mut self.open_request else {
                match ready!(self.head_reader.poll_request(cx)) {
                    Ok(Some(request)) => self.open_request = Some(self.start(request)),
                    Ok(None) | Err(_) => return Poll::Ready(()),
                }
                continue;
            };
            if open.connection.poll_without_shutdown(cx).is_ready() {
                return Poll::Ready(());
            }
            if self.progress.stage() != ConnectionStage::Idle {
                return Poll::Pending;
            }
            self.open_request = None;
        }
    }

    /// Passes a request to hyper.
    fn start(&self, request: AdmittedRequest) -> OpenRequest<S> {
        let framer = RequestFramer::new(self.stream.clone(), self.progress.clone(), request.head);
        let mut builder = http1::Builder::new();
        // The buffers hold the head, and otherwise are as small as hyper allows.
        builder.max_buf_size(request.head.length.clamp(MIN_HTTP_BUFFER_BYTES, MAX_HTTP_BUFFER_BYTES));
        let connection = builder.serve_connection(framer, self.service.clone());
        OpenRequest { connection, _charge: request.charge }
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

    /// Returns whether a part of a request head has arrived.
    fn is_receiving_head(&self) -> bool {
        self.progress.stage() == ConnectionStage::Head || self.stream.borrow().has_unread_input()
    }
}
