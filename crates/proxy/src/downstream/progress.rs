//! The progress of a client connection with its current request, and the time limit of its current stage.

mod downstream_client_impl;
mod eviction_entry;
mod request_input;
mod response_write;
mod stage_clock;
mod weak_client_stream;

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::downstream::body_pace::BodyPace;
use crate::downstream::client_stream::ClientStream;
use crate::downstream::connection_stage::ConnectionStage;
use crate::downstream::evictable_connections::EvictableConnections;
use crate::downstream::framing::Framing;
use crate::downstream::progress::eviction_entry::EvictionEntry;
use crate::downstream::progress::request_input::RequestInput;
use crate::downstream::progress::response_write::ResponseWrite;
use crate::downstream::progress::stage_clock::StageClock;
use crate::downstream::progress::weak_client_stream::WeakClientStream;
use crate::memory::MemoryCause;

pub use crate::downstream::progress::request_input::Rejection;

/// How long a connection may stay open without a request.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The progress of one client connection. The framer below hyper and the request handler above hyper share it: the
/// framer records what is read and written, the handler records when a request and its response are complete.
pub struct ConnectionProgress {
    clock: StageClock,
    input: RequestInput,
    body_pace: BodyPace,
    response: ResponseWrite,
    client: WeakClientStream,
    eviction: EvictionEntry,
    /// Notified when another task rejects the current request.
    rejected: Notify,
    /// The id of the newest request, for the log; empty before the first request. A copy, because a header value keeps the
    /// memory of the whole head.
    request_name: RefCell<String>,
}

impl ConnectionProgress {
    /// Creates the progress of a connection that has just been accepted.
    pub fn new(
        evictable_connections: Rc<EvictableConnections>,
        stream: &Rc<RefCell<ClientStream>>,
    ) -> Rc<ConnectionProgress> {
        ConnectionProgress::with_stream(evictable_connections, Rc::downgrade(stream))
    }

    fn with_stream(
        evictable_connections: Rc<EvictableConnections>,
        stream: Weak<RefCell<ClientStream>>,
    ) -> Rc<ConnectionProgress> {
        Rc::new(ConnectionProgress {
            clock: StageClock::new(Instant::now()),
            input: RequestInput::default(),
            body_pace: BodyPace::new(Instant::now()),
            response: ResponseWrite::default(),
            client: WeakClientStream::new(stream),
            eviction: EvictionEntry::new(evictable_connections),
            rejected: Notify::new(),
            request_name: RefCell::default(),
        })
    }

    /// Sets the task that serves the connection and enters [`ConnectionStage::Idle`]. The task is aborted when the
    /// connection is closed to free capacity for others.
    pub fn set_task(&self, task: AbortHandle) {
        self.eviction.set_task(task);
        self.enter(ConnectionStage::Idle);
    }

    /// Records the id of a request whose head was read, in the form for the log.
    pub fn record_request_name(&self, name: &str) {
        let mut recorded = self.request_name.borrow_mut();
        recorded.clear();
        recorded.push_str(name);
    }

    /// Returns the id of the newest request, for the log; `-` before the first request.
    pub fn request_name(&self) -> String {
        let name = self.request_name.borrow();
        if name.is_empty() { "-".to_owned() } else { name.clone() }
    }

    /// Returns the connection's stage.
    pub fn stage(&self) -> ConnectionStage {
        self.clock.stage()
    }

    /// Records the first byte of a request head.
    pub fn record_head_started(&self) {
        self.enter(ConnectionStage::Head);
    }

    /// Records a complete request head and the framing of its body.
    pub fn record_head(&self, framing: Framing) {
        self.input.record_head(framing);
        self.enter(ConnectionStage::Body);
    }

    /// Records that the current request is not served.
    pub fn record_rejection(&self, rejection: Rejection) {
        self.input.record_rejection(rejection);
    }

    /// Rejects the current request because memory is short, and wakes the connection's task to end the connection.
    pub fn reject(&self, cause: MemoryCause) {
        self.record_rejection(Rejection::MemoryShort(cause));
        self.rejected.notify_one();
    }

    /// Waits until the connection is rejected from another task.
    pub async fn wait_for_rejection(&self) {
        self.rejected.notified().await;
    }

    /// Records the last byte of the current request.
    pub fn record_request_complete(&self) {
        self.input.record_end();
        self.clock.lift_first_request_deadline();
        self.enter(ConnectionStage::Open);
    }

    /// Records that hyper has the complete response. The next request is read once the response has been written.
    pub fn record_response_complete(&self) {
        self.response.record_response_complete();
    }

    /// Records since when the proxy has waited for the upstream to send more of the response; `None` while it does not.
    pub fn record_upstream_silence(&self, since: Option<Instant>) {
        self.response.record_upstream_silence(since);
    }

    /// Returns since when the proxy has waited for the upstream to send more of the response; `None` while it does not.
    pub fn upstream_silent_since(&self) -> Option<Instant> {
        self.response.upstream_silent_since()
    }

    /// Records a response whose end only the end of the connection tells. Until it is complete, the connection is reset
    /// when it is closed, whatever closes it: a plain close would make the response look complete.
    pub fn record_close_delimited_response(&self) {
        self.response.record_close_delimited();
        self.client.set_reset_on_close(true);
    }

    /// Returns whether such a response is incomplete, so that the connection must not be shut down.
    pub fn must_reset(&self) -> bool {
        self.response.is_close_delimited()
    }

    /// Records that the connection closes after the current response. Further input is not read as a request, and is
    /// dropped.
    pub fn record_last_response(&self) {
        self.client.drop_input();
        self.enter(ConnectionStage::Open);
    }

    /// Records that hyper has written all of its buffer. Returns whether the buffer contained the end of a response, so
    /// that the connection has become idle.
    pub fn record_flush(&self) -> bool {
        let was_close_delimited = self.response.is_close_delimited();
        let is_idle = self.response.record_flush();
        if is_idle {
            if was_close_delimited {
                self.client.set_reset_on_close(false);
            }
            self.clock.lift_first_request_deadline();
            self.enter(ConnectionStage::Idle);
        }
        is_idle
    }

    /// Returns how long ago the last byte of the current request arrived; zero if the connection was dropped. The
    /// request must be complete.
    pub fn request_age(&self) -> Duration {
        self.client.last_passed_byte_arrived_at().map_or(Duration::ZERO, |arrived_at| arrived_at.elapsed())
    }

    /// Records that the socket accepted no byte of a response.
    pub fn record_write_blocked(&self) {
        self.response.record_blocked();
    }

    /// Records that the socket accepted bytes of a response, or failed.
    pub fn record_write_unblocked(&self) {
        self.response.record_unblocked();
    }

    /// Returns the pace at which the current request's body arrives.
    pub fn body_pace(&self) -> &BodyPace {
        &self.body_pace
    }

    /// Returns whether input after the current request cannot be read as a request: only hyper knows where a chunked
    /// body ends, and input that exceeded the buffer was dropped.
    pub fn is_last_request(&self) -> bool {
        self.input.is_chunked() || self.client.input_ends_before_next_request()
    }

    /// Becomes ready once the client of an open request has disconnected; see [`ClientStream::poll_disconnected`].
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.client.poll_disconnected(self.stage(), cx)
    }

    /// Returns whether the client of an open request has disconnected, even if the runtime has not polled its socket
    /// since. Must be called from the connection's own task, which is woken when this changes.
    pub async fn disconnected_now(&self) -> bool {
        self.client.disconnected_now(self.stage()).await
    }

    /// Returns whether the client has disconnected, for callers in any other task. Call it before the first byte of
    /// each attempt: the connection's own task may be waiting to run, so this queries the kernel unless it did so
    /// within the last millisecond. A connection that was dropped counts as disconnected.
    pub fn client_disconnected(&self) -> bool {
        self.client.is_disconnected(self.stage())
    }

    /// Returns the deadline of the current stage; `None` while the proxy does not wait for the client. `idle_timeout`
    /// limits the idle stage. The stages of the connection's first request share one deadline, so that a client cannot
    /// use up the limit of each stage in turn; only a body that arrives steadily extends it.
    pub fn deadline(&self, idle_timeout: Duration) -> Option<Instant> {
        match self.stage() {
            ConnectionStage::Idle => Some(self.clock.idle_deadline(idle_timeout)),
            ConnectionStage::Head => Some(self.clock.head_deadline()),
            ConnectionStage::Body => {
                let deadline = self.clock.request_deadline();
                self.body_pace.deadline().map(|pace_deadline| deadline.max(pace_deadline))
            }
            ConnectionStage::Open => self.response.stall_deadline(),
        }
    }

    /// Returns since when the connection has been in its stage.
    pub fn stage_entered_at(&self) -> Instant {
        self.clock.entered_at()
    }

    /// Returns whether the connection waits for its first request.
    pub fn awaits_first_request(&self) -> bool {
        self.clock.awaits_first_request()
    }

    /// Returns why the connection's last request is not served; `None` if it may be.
    pub fn rejection(&self) -> Option<Rejection> {
        self.input.rejection()
    }

    /// Returns the memory in bytes of the input that was read and not passed on to hyper.
    pub fn buffered_bytes(&self) -> usize {
        self.client.buffered_bytes()
    }

    /// Returns when the newest byte in the read-ahead buffer arrived, or when the connection entered its stage if the buffer
    /// is empty.
    pub fn last_input_at(&self) -> Instant {
        self.client.last_buffered_byte_arrived_at().unwrap_or_else(|| self.clock.entered_at())
    }

    /// Returns since when the socket has accepted no byte of the response; `None` while it accepts them.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.response.blocked_since()
    }

    /// Returns whether the client may still be sending a part of the current request.
    pub fn has_unread_request(&self) -> bool {
        self.input.is_unread()
    }

    /// Returns whether a response is partly written and the socket accepts no more: another response would be written
    /// into the middle of it.
    pub fn is_write_blocked(&self) -> bool {
        self.response.is_blocked()
    }

    fn enter(&self, stage: ConnectionStage) {
        let now = Instant::now();
        if stage == ConnectionStage::Body {
            self.body_pace.restart(now, self.client.last_buffered_byte_arrived_at().unwrap_or(now));
        }
        self.clock.enter(stage, now);
        self.eviction.update(stage, now, self.client.stream());
    }
}

#[cfg(test)]
mod tests;
