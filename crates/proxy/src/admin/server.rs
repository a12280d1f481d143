//! Accepts operators' connections, and executes the one call that each of them carries.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::admin::call::{AdminCall, RequestError};
use crate::admin::response::{self, CallResult, TextResponse};
use crate::dispatch::{Dispatcher, Transport};
use crate::lifecycle::Lifecycle;
use crate::lifecycle::overrides::OverrideError;
use crate::log::log_line;
use crate::sockets::{Socket, accept};

/// Most connections at once. One more closes the oldest, so that idle connections delay no call.
const MAX_CONNECTIONS: usize = 12;
/// Time limit of a connection, from its start until the answer was read.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest head of a request, in bytes; the least that the HTTP library takes.
const MAX_HEAD_SIZE: usize = 8192;
/// Largest body of a request, in bytes. No call has one, but clients may send one with a POST.
const MAX_BODY_SIZE: usize = 4096;

/// Serves operators' calls.
pub struct AdminServer<T: Transport> {
    dispatcher: Rc<Dispatcher<T>>,
    lifecycle: Rc<Lifecycle>,
    /// The tasks of open connections, the oldest first.
    connections: RefCell<VecDeque<AbortHandle>>,
}

impl<T: Transport> AdminServer<T> {
    /// A server without connections.
    pub fn new(dispatcher: Rc<Dispatcher<T>>, lifecycle: Rc<Lifecycle>) -> Rc<Self> {
        Rc::new(AdminServer { dispatcher, lifecycle, connections: RefCell::default() })
    }

    /// Accepts connections and answers their calls; never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            self.start_connection(Socket::new(stream));
        }
    }

    fn start_connection(self: &Rc<Self>, stream: Socket) {
        let task = spawn_local(self.clone().serve_connection(stream));
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS
            && let Some(oldest) = connections.pop_front()
        {
            oldest.abort();
        }
        connections.push_back(task.abort_handle());
    }

    async fn serve_connection(self: Rc<Self>, stream: Socket) {
        let service = service_fn(move |request| {
            let server = self.clone();
            async move { Ok::<TextResponse, Infallible>(server.answer(request).await) }
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(MAX_HEAD_SIZE);
        let connection = builder.serve_connection(stream, service);
        // Whatever ends the connection, nobody is left to be told.
        let _ = timeout(CONNECTION_TIMEOUT, connection).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> TextResponse {
        let call = AdminCall::parse(request.method(), request.uri());
        // The body is read first: closing a connection with unread bytes resets it and discards the answer.
        let body = Limited::new(request.into_body(), MAX_BODY_SIZE).collect().await;
        if body.is_err() {
            return response::request_error(&RequestError::UnreadableBody);
        }
        let call = match call {
            Ok(call) => call,
            Err(error) => return response::request_error(&error),
        };
        match self.execute(call).await {
            Ok(result) => result.into_response(),
            Err(error) => {
                log_line!("admin: operator override not saved: {error}");
                response::not_saved(&error)
            }
        }
    }

    /// Executes a call. What it asks for is in force when this returns.
    async fn execute(&self, call: AdminCall) -> Result<CallResult, OverrideError> {
        match call {
            AdminCall::Ready if self.is_ready() => Ok(CallResult::Ready),
            AdminCall::Ready => Ok(CallResult::NotReady),
            AdminCall::Exclude(upstream) => self.exclude(upstream).await,
            AdminCall::Include(upstream) => self.include(upstream).await,
            AdminCall::Evacuate => {
                self.lifecycle.set_evacuated(true).await?;
                Ok(CallResult::Evacuated)
            }
            AdminCall::Rejoin => {
                self.lifecycle.set_evacuated(false).await?;
                Ok(CallResult::Rejoined)
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.lifecycle.accepts_connections() && self.lifecycle.may_serve(self.dispatcher.has_endpoint_list())
    }

    async fn exclude(&self, upstream: String) -> Result<CallResult, OverrideError> {
        if !self.dispatcher.exclude(&upstream).await? {
            return Ok(CallResult::UnknownUpstream { upstream });
        }
        log_line!("admin: upstream {upstream} excluded by operator");
        Ok(CallResult::Excluded { upstream })
    }

    async fn include(&self, upstream: String) -> Result<CallResult, OverrideError> {
        if !self.dispatcher.include(&upstream).await? {
            return Ok(CallResult::UnknownUpstream { upstream });
        }
        log_line!("admin: upstream {upstream} included by operator");
        Ok(CallResult::Included { upstream })
    }
}
