//! Serves the admin API: accepts its connections and executes the one request that each of them carries.

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

use crate::admin::request::{AdminRequest, AdminRequestError};
use crate::admin::response::{self, AdminResponse, TextResponse};
use crate::dispatch::{Dispatcher, Transport};
use crate::lifecycle::Lifecycle;
use crate::lifecycle::overrides::OverrideError;
use crate::log::log_line;
use crate::sockets::{Socket, accept};

/// Maximum number of connections. A further connection closes the oldest one, so that idle connections cannot delay a
/// request.
const MAX_CONNECTIONS: usize = 12;
/// Time limit of a connection, from its start until the end of the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of a request head, in bytes: the smallest limit that the HTTP library accepts.
const MAX_HEAD_BYTES: usize = 8192;
/// Maximum size of a request body, in bytes. No request needs a body, but HTTP clients may send one with a POST.
const MAX_BODY_BYTES: usize = 4096;

/// Serves the admin API.
pub struct AdminServer<T: Transport> {
    dispatcher: Rc<Dispatcher<T>>,
    lifecycle: Rc<Lifecycle>,
    /// The tasks of the open connections, oldest first. Borrowed only in `start_connection`, which during the borrow runs no
    /// code that could borrow it again.
    connections: RefCell<VecDeque<AbortHandle>>,
}

impl<T: Transport> AdminServer<T> {
    /// Returns a server without connections.
    pub fn new(dispatcher: Rc<Dispatcher<T>>, lifecycle: Rc<Lifecycle>) -> Rc<Self> {
        Rc::new(AdminServer { dispatcher, lifecycle, connections: RefCell::default() })
    }

    /// Accepts connections and answers their requests. Never returns.
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
        builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
        let connection = builder.serve_connection(stream, service);
        // The connection has ended in either case, so an error cannot be reported to the operator.
        let _ = timeout(CONNECTION_TIMEOUT, connection).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> TextResponse {
        let parsed = AdminRequest::parse(request.method(), request.uri());
        // The body is read even if the request is invalid: closing a connection with unread bytes resets the connection and
        // discards the response.
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
        if body.is_err() {
            return response::request_error(&AdminRequestError::UnreadableBody);
        }
        let admin_request = match parsed {
            Ok(admin_request) => admin_request,
            Err(error) => return response::request_error(&error),
        };
        match self.execute(admin_request).await {
            Ok(result) => result.into_response(),
            Err(error) => {
                log_line!("admin: operator override not saved: {error}");
                response::not_saved(&error)
            }
        }
    }

    /// Executes a request. The request has taken effect once this returns.
    ///
    /// # Errors
    /// An override cannot be saved and does not take effect.
    async fn execute(&self, request: AdminRequest) -> Result<AdminResponse, OverrideError> {
        match request {
            AdminRequest::Ready if self.is_ready() => Ok(AdminResponse::Ready),
            AdminRequest::Ready => Ok(AdminResponse::NotReady),
            AdminRequest::Exclude(upstream) => self.exclude(upstream).await,
            AdminRequest::Include(upstream) => self.include(upstream).await,
            AdminRequest::Evacuate => {
                self.lifecycle.set_evacuated(true).await?;
                Ok(AdminResponse::Evacuated)
            }
            AdminRequest::Rejoin => {
                self.lifecycle.set_evacuated(false).await?;
                Ok(AdminResponse::Rejoined)
            }
        }
    }

    fn is_ready(&self) -> bool {
        !self.lifecycle.is_shutting_down()
            && self.lifecycle.may_report_ready(self.dispatcher.has_endpoint_list())
    }

    async fn exclude(&self, upstream: String) -> Result<AdminResponse, OverrideError> {
        if !self.dispatcher.exclude(&upstream).await? {
            return Ok(AdminResponse::UnknownUpstream { upstream });
        }
        log_line!("admin: upstream {upstream} excluded by operator");
        Ok(AdminResponse::Excluded { upstream })
    }

    async fn include(&self, upstream: String) -> Result<AdminResponse, OverrideError> {
        if !self.dispatcher.include(&upstream).await? {
            return Ok(AdminResponse::UnknownUpstream { upstream });
        }
        log_line!("admin: upstream {upstream} included by operator");
        Ok(AdminResponse::Included { upstream })
    }
}
