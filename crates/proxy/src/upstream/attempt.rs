//! One attempt: a request sent on one connection, and how far it was written.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::task::AbortHandle;
use tokio::time::Instant;
use zincstand_policy::{Micros, Outcome};

use crate::discovery::endpoint::Target;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::connection_lease::ConnectionLease;
use crate::upstream::pool::{ConnectionOrigin, ConnectionPool, PooledConnection};
use crate::upstream::request::UpstreamRequest;
use crate::upstream::response::{ExchangeResult, read_response};
use crate::upstream::send_guard::{HeldBack, SendGuard};

/// How far an attempt's request has been written. Shared between the attempt's task and its [`Attempt`], which may
/// abort it at any time.
pub struct AttemptProgress {
    request: Rc<UpstreamRequest>,
    writing: RefCell<Option<RequestWriting>>,
    /// Why it was ended before its first byte was written, if it was.
    held_back: Rc<Cell<Option<HeldBack>>>,
}

/// The connection on which a request is written.
struct RequestWriting {
    driver: AbortHandle,
    /// Bytes written on the connection in all.
    written: Rc<Cell<u64>>,
    /// What of them was written before this request.
    written_before: u64,
}

impl AttemptProgress {
    /// Nothing written yet.
    pub fn new(request: &Rc<UpstreamRequest>) -> Rc<AttemptProgress> {
        Rc::new(AttemptProgress {
            request: request.clone(),
            writing: RefCell::new(None),
            held_back: Rc::default(),
        })
    }

    /// Whether the attempt has a connection: its request is being written or has been.
    pub fn has_connection(&self) -> bool {
        self.writing.borrow().is_some()
    }

    /// The request is about to be handed to the connection.
    fn start_writing(&self, connection: &UpstreamConnection) {
        let written = connection.written().clone();
        let written_before = written.get();
        // The connection's task waits for its turn before it writes, and the client may disconnect meanwhile.
        let guard = SendGuard::new(self.request.clone(), self.held_back.clone());
        connection.set_first_byte_check(Box::new(move || guard.may_write()));
        let driver = connection.driver().clone();
        *self.writing.borrow_mut() = Some(RequestWriting { driver, written, written_before });
    }

    /// Whether the upstream may have received the complete request. False only if its last byte was certainly not
    /// written.
    pub fn may_have_run(&self) -> bool {
        // While the last byte of the body has not come from the client, it cannot have been written.
        let Some(body_length) = self.request.body.complete_length() else { return false };
        // The head is at least one byte.
        let least_bytes = body_length + 1;
        let writing = self.writing.borrow();
        writing.as_ref().is_some_and(|writing| writing.written.get() - writing.written_before >= least_bytes)
    }

    /// Whether the upstream has no part in the failure: the client has disconnected or broken its body off, or the
    /// attempt was held back here.
    fn failed_on_this_side(&self) -> bool {
        self.request.body.is_broken_off() || self.held_back.get().is_some()
    }

    /// What a request means that could not be sent or got no response.
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
    /// An attempt that this task carries out.
    pub fn new(task: AbortHandle, progress: Rc<AttemptProgress>) -> Attempt {
        Attempt { task, progress }
    }

    /// Whether it has a connection: its request is being written or has been.
    pub fn has_connection(&self) -> bool {
        self.progress.has_connection()
    }

    /// Ends the attempt and closes its connection at once; returns whether the upstream may have run the request.
    pub fn abort(self) -> bool {
        // The connection first: nothing may be written after the written bytes have been counted.
        if let Some(writing) = &*self.progress.writing.borrow() {
            writing.driver.abort();
        }
        self.task.abort();
        self.progress.may_have_run()
    }
}

/// Sends a request on one connection and reads its response. A pooled connection that turns out to be closed before
/// anything was written on it is replaced by the next one; nothing is ever written twice.
///
/// The time left in the forwarded request is `time_limit`, less the time that getting a connection has taken.
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
        // The client may have disconnected while the attempt waited for its turn or its connection.
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
                // Hyper hands the request back if it has not begun to write it.
                let was_handed_back = error.take_message().is_some();
                // A body that is still coming may have lost a part to the connection that did not write it.
                let may_be_repeated = was_handed_back && !progress.request.body_consumed();
                if may_be_repeated && origin == ConnectionOrigin::Pooled {
                    continue;
                }
                return progress.outcome_of_send_error(was_handed_back).into();
            }
        }
    }
}
