//! One attempt: a request that is sent on one connection, and how many of its bytes were written.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::task::AbortHandle;
use tokio::time::Instant;
use zincstand_policy::{Micros, Outcome};

use crate::discovery::endpoint::Target;
use crate::upstream::connection_lease::ConnectionLease;
use crate::upstream::pool::{ConnectionOrigin, ConnectionPool, PooledConnection};
use crate::upstream::request::UpstreamRequest;
use crate::upstream::response::{ExchangeResult, read_response};
use crate::upstream::send_guard::{SendGuard, SendSuppressed};
use crate::upstream::upstream_connection::UpstreamConnection;

/// How much of an attempt's request has been written. Shared between the attempt's task and its [`Attempt`], which may
/// abort the task at any time.
pub struct AttemptProgress {
    request: Rc<UpstreamRequest>,
    /// The connection that the request is written on; `None` until the attempt has one.
    writing: RefCell<Option<RequestWriting>>,
    /// Why the attempt was suppressed before its first byte; `None` if it was not.
    suppressed: Rc<Cell<Option<SendSuppressed>>>,
}

/// The connection on which a request is written.
struct RequestWriting {
    /// The task that reads and writes the connection's socket.
    driver: AbortHandle,
    /// Bytes written on the connection since it was opened.
    written: Rc<Cell<u64>>,
    /// The value of `written` before this request.
    written_before: u64,
}

impl AttemptProgress {
    /// Creates the progress of an attempt of which nothing was written.
    pub fn new(request: &Rc<UpstreamRequest>) -> Rc<AttemptProgress> {
        Rc::new(AttemptProgress {
            request: request.clone(),
            writing: RefCell::new(None),
            suppressed: Rc::default(),
        })
    }

    /// Returns whether the attempt has a connection, so that its request may have been written in part.
    pub fn has_connection(&self) -> bool {
        self.writing.borrow().is_some()
    }

    /// Records that the request is about to be given to the connection, and sets the check of its first byte.
    fn start_writing(&self, connection: &UpstreamConnection) {
        let written = connection.written().clone();
        let written_before = written.get();
        // The connection's task writes when the runtime polls it next. The client may disconnect before that.
        let guard = SendGuard::new(self.request.clone(), self.suppressed.clone());
        connection.set_first_byte_check(Box::new(move || guard.may_write()));
        let driver = connection.driver().clone();
        *self.writing.borrow_mut() = Some(RequestWriting { driver, written, written_before });
    }

    /// Returns whether the upstream may have received the complete request, and thus have run it. False only if the
    /// request's last byte was certainly not written.
    pub fn may_have_run(&self) -> bool {
        // The length is unknown until the last byte of the body has arrived from the client, and a byte that has not
        // arrived was not written.
        let Some(body_length) = self.request.body.complete_length() else { return false };
        // Hyper writes the head, whose length is not known here, so the head counts as one byte. The result is then true
        // too early at worst, and false only if the last byte was not written.
        let min_length = body_length + 1;
        let writing = self.writing.borrow();
        writing.as_ref().is_some_and(|writing| writing.written.get() - writing.written_before >= min_length)
    }

    /// Returns whether the attempt failed through no fault of the upstream: the client did not complete its body, or
    /// this proxy suppressed the attempt.
    fn failed_on_this_side(&self) -> bool {
        self.request.body.is_broken_off() || self.suppressed.get().is_some()
    }

    /// Returns the outcome of an attempt that could not be sent or received no response. `was_handed_back` is whether hyper
    /// returned the request because it had not begun to write it.
    fn outcome_of_send_error(&self, was_handed_back: bool) -> Outcome {
        if self.failed_on_this_side() {
            Outcome::NotSent
        } else if !was_handed_back && self.may_have_run() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }
}

/// An attempt in flight.
pub struct Attempt {
    task: AbortHandle,
    progress: Rc<AttemptProgress>,
}

impl Attempt {
    /// Creates the handle of an attempt that is run by `task`.
    pub fn new(task: AbortHandle, progress: Rc<AttemptProgress>) -> Attempt {
        Attempt { task, progress }
    }

    /// Returns whether the attempt has a connection, so that its request may have been written in part.
    pub fn has_connection(&self) -> bool {
        self.progress.has_connection()
    }

    /// Aborts the attempt and closes its connection. Returns whether the upstream may have run the request.
    pub fn abort(self) -> bool {
        // The connection's task is aborted first, so that no byte is written after the written bytes are compared.
        if let Some(writing) = &*self.progress.writing.borrow() {
            writing.driver.abort();
        }
        self.task.abort();
        self.progress.may_have_run()
    }
}

/// Sends a request on one connection and reads its response. If a pooled connection turns out to be closed before a
/// byte of the request was written, the next connection is used. A request that was written in part is never written
/// again.
///
/// The deadline header of the forwarded request states `time_limit`, in microseconds, less the time taken to get a
/// connection; `None` forwards no deadline.
pub async fn exchange(
    pool: &Rc<ConnectionPool>,
    target: Target,
    time_limit: Option<Micros>,
    progress: &AttemptProgress,
) -> ExchangeResult {
    let start = Instant::now();
    loop {
        let PooledConnection { mut connection, origin } = match pool.acquire(target).await {
            Ok(pooled) => pooled,
            Err(error) => return Outcome::from(error).into(),
        };
        // The client may have disconnected while the attempt waited to be polled or for a connection.
        if progress.request.client_disconnected() {
            return ExchangeResult { connection: Some(connection), ..Outcome::NotSent.into() };
        }
        progress.start_writing(&connection);
        let time_left = time_limit.map(|limit| limit.saturating_sub(start.elapsed().as_micros() as Micros));
        let request = progress.request.to_http(target.address, time_left);
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let lease = ConnectionLease::new(pool.clone(), target.server, connection);
                return read_response(response, lease).await;
            }
            Err(mut error) => {
                // Hyper returns a request that it has not begun to write.
                let was_handed_back = error.take_message().is_some();
                // The failed connection may have consumed a part of a streamed body, and that part is not buffered for
                // another connection.
                let may_send_again = was_handed_back && !progress.request.body_consumed();
                if may_send_again && origin == ConnectionOrigin::Pooled {
                    continue;
                }
                return progress.outcome_of_send_error(was_handed_back).into();
            }
        }
    }
}
