//! One attempt: a request that is sent on one connection, and how many of its bytes were written.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::task::AbortHandle;
use tokio::time::Instant;
use zincstand_policy::{Micros, Outcome};

use crate::discovery::endpoint::Target;
use crate::dispatch::BeginCheck;
use crate::upstream::connection_lease::ConnectionLease;
use crate::upstream::pool::{AcquiredConnection, ConnectionOrigin, ConnectionPool};
use crate::upstream::request::UpstreamRequest;
use crate::upstream::response::{ExchangeResult, read_response};
use crate::upstream::send_guard::{SendGuard, SuppressionReason};
use crate::upstream::upstream_connection::UpstreamConnection;

/// How much of an attempt's request has been written. Shared between the attempt's task and its [`Attempt`], which may
/// abort the task at any time.
pub struct AttemptProgress {
    request: Rc<UpstreamRequest>,
    /// The dispatcher's check before the first byte; `None` for a health check.
    begin_check: Option<BeginCheck>,
    /// The write of the request; `None` until the attempt has a connection.
    write: RefCell<Option<RequestWrite>>,
    /// Why the attempt was suppressed before its first byte; `None` if it was not.
    suppression: Rc<Cell<Option<SuppressionReason>>>,
}

/// The write of a request on one connection.
struct RequestWrite {
    /// The task that reads and writes the connection's socket.
    driver: AbortHandle,
    /// Bytes written on the connection since it was opened.
    bytes_written: Rc<Cell<u64>>,
    /// The value of `bytes_written` before this request.
    bytes_written_before: u64,
}

impl AttemptProgress {
    /// Creates the progress of an attempt for which nothing has been written.
    pub fn new(request: &Rc<UpstreamRequest>, begin_check: Option<BeginCheck>) -> Rc<AttemptProgress> {
        Rc::new(AttemptProgress {
            request: request.clone(),
            begin_check,
            write: RefCell::new(None),
            suppression: Rc::default(),
        })
    }

    /// Returns whether a byte of the request was written.
    pub fn has_begun(&self) -> bool {
        let write = self.write.borrow();
        write.as_ref().is_some_and(|write| write.bytes_written.get() > write.bytes_written_before)
    }

    /// Records that the request is about to be written on the connection, and sets the check before its first byte.
    fn prepare_write(&self, connection: &UpstreamConnection) {
        let bytes_written = connection.bytes_written().clone();
        let bytes_written_before = bytes_written.get();
        // The connection's task writes when the runtime polls it next. The client may disconnect before that.
        let guard = SendGuard::new(self.request.clone(), self.begin_check.clone(), self.suppression.clone());
        connection.set_first_byte_check(Box::new(move || guard.may_write()));
        let driver = connection.driver().clone();
        *self.write.borrow_mut() = Some(RequestWrite { driver, bytes_written, bytes_written_before });
    }

    /// Returns whether the upstream may have received the complete request and run it. False only if the request's last
    /// byte was certainly not written.
    pub fn may_have_run(&self) -> bool {
        // The length is unknown until the last byte of the body has arrived from the client. Before that, the last byte
        // cannot have been written.
        let Some(body_length) = self.request.body.complete_length() else { return false };
        // Hyper writes the head, whose length is not known here, so the head counts as one byte. At worst the result
        // becomes true too early; it is false only if the last byte was not written.
        let min_length = body_length + 1;
        let write = self.write.borrow();
        write
            .as_ref()
            .is_some_and(|write| write.bytes_written.get() - write.bytes_written_before >= min_length)
    }

    /// Returns whether the attempt's failure was caused by the client, which did not send a complete body, or by this
    /// proxy, which suppressed the attempt. The upstream is then not at fault.
    fn caused_by_client_or_proxy(&self) -> bool {
        self.request.body.is_truncated() || self.suppression.get().is_some()
    }

    /// Returns the outcome of an attempt that could not be sent or received no response. `returned_unwritten` is whether
    /// hyper returned the request, which means that it had not begun to write it.
    fn outcome_of_send_error(&self, returned_unwritten: bool) -> Outcome {
        if self.caused_by_client_or_proxy() {
            Outcome::NotSent
        } else if !returned_unwritten && self.may_have_run() {
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

    /// Returns whether a byte of the request was written.
    pub fn has_begun(&self) -> bool {
        self.progress.has_begun()
    }

    /// Aborts the attempt and closes its connection. Returns whether the upstream may have run the request.
    pub fn abort(self) -> bool {
        // The connection's task is aborted first, so that no byte is written after the written bytes are counted.
        if let Some(write) = &*self.progress.write.borrow() {
            write.driver.abort();
        }
        self.task.abort();
        self.progress.may_have_run()
    }
}

/// Sends a request on one connection and reads its response. If a pooled connection turns out to be closed before a
/// byte of the request was written, another connection is used. A request that was written in part is never written
/// again.
///
/// The deadline header of the forwarded request states `time_limit`, in microseconds, minus the time taken to acquire a
/// connection; `None` forwards no deadline.
pub async fn exchange(
    pool: &Rc<ConnectionPool>,
    target: Target,
    time_limit: Option<Micros>,
    progress: &AttemptProgress,
) -> ExchangeResult {
    let start = Instant::now();
    loop {
        let AcquiredConnection { mut connection, origin } = match pool.acquire(target).await {
            Ok(acquired) => acquired,
            Err(error) => return Outcome::from(error).into(),
        };
        // The client may have disconnected while this task was waiting to be polled or for a connection.
        if progress.request.client_disconnected() {
            return ExchangeResult { connection: Some(connection), ..Outcome::NotSent.into() };
        }
        progress.prepare_write(&connection);
        let time_left = time_limit.map(|limit| limit.saturating_sub(start.elapsed().as_micros() as Micros));
        let request = progress.request.to_http(target.address, time_left);
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let lease = ConnectionLease::new(pool.clone(), target.server, connection);
                return read_response(response, lease).await;
            }
            Err(mut error) => {
                // Hyper returns a request that it has not begun to write.
                let returned_unwritten = error.take_message().is_some();
                // The failed connection may have consumed a part of a streamed body, and that part is not buffered for
                // another connection.
                let may_send_again = returned_unwritten && !progress.request.body_consumed();
                if may_send_again && origin == ConnectionOrigin::Pooled {
                    continue;
                }
                return progress.outcome_of_send_error(returned_unwritten).into();
            }
        }
    }
}
