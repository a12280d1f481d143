//! The task that fires the timers when they are due.

use std::rc::Rc;

use zincstand_policy::{Event, Micros, Outcome, RequestId};

use crate::dispatch::active_request::DEADLINE_MARGIN;
use crate::dispatch::completion::AttemptId;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::messages::{Failure, FinalResponse};
use crate::dispatch::timers::TimerKind;
use crate::dispatch::transport::Transport;
use crate::log::log_line;

impl<T: Transport> Dispatcher<T> {
    /// Fires the timers when they are due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next_due = self.timers.next_due();
            let earlier_timer = self.timers.earlier_timer();
            match next_due {
                Some(due) if due > self.clock.now() => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(due)) => {}
                    () = earlier_timer => {}
                },
                Some(_) => {
                    if let Some(kind) = self.timers.pop() {
                        self.on_timer(kind);
                    }
                }
                None => earlier_timer.await,
            }
        }
    }

    /// Sets a timer that is due at `due`, in microseconds of Unix time.
    pub(super) fn set_timer(&self, due: Micros, kind: TimerKind) {
        self.timers.set(due, kind, |request| self.requests.contains(request));
    }

    /// Sets the timer that fails a request shortly before the client's deadline if it has no response by then. `deadline` is
    /// in microseconds of Unix time.
    pub(super) fn set_deadline_timer(&self, request: RequestId, deadline: Micros) {
        self.set_timer(deadline.saturating_sub(DEADLINE_MARGIN), TimerKind::RequestDeadline(request));
    }

    fn on_timer(self: &Rc<Self>, kind: TimerKind) {
        match kind {
            TimerKind::Policy { token } => self.submit_event(Event::Timer { token }),
            TimerKind::AttemptLimit(attempt) => self.abort_attempt(attempt, Outcome::TimedOut),
            TimerKind::BeginLimit(attempt) => self.on_begin_limit(attempt),
            TimerKind::RequestDeadline(request) => self.on_request_deadline(request),
        }
    }

    /// Aborts an attempt that has not begun within its limit, because its connection was not established in time. The limit
    /// may be much shorter than a connection takes, so this does not count against the server.
    fn on_begin_limit(self: &Rc<Self>, attempt: AttemptId) {
        if self.requests.has_not_begun(attempt) {
            self.abort_attempt(attempt, Outcome::Cancelled);
        }
    }

    /// Fails a request whose deadline is about to pass. The deadline of a request whose body is still arriving may have
    /// moved since the timer was set.
    fn on_request_deadline(self: &Rc<Self>, request: RequestId) {
        let now = self.clock.now();
        let Some(deadline) = self.requests.awaited_deadline(request, now) else { return };
        let body_pending = self.requests.body_pending(request);
        if deadline <= now + DEADLINE_MARGIN {
            self.fail_unanswered(request, body_pending);
        } else if body_pending {
            self.set_deadline_timer(request, deadline);
        }
    }

    /// Fails a request that has no response just before the client's deadline: its upstream has not accepted its body in
    /// time, or the policy has left it without a response.
    fn fail_unanswered(self: &Rc<Self>, request: RequestId, body_pending: bool) {
        let Some(responder) = self.requests.take_responder(request) else { return };
        let _ = responder.send(FinalResponse::Failed(Failure::DeadlineExceeded));
        let stalled_attempts =
            if body_pending { self.requests.attempts_without_client(request) } else { Vec::new() };
        if stalled_attempts.is_empty() {
            log_line!(
                "defect: the policy left a request without a response, failed just before its deadline (request {request})"
            );
            self.submit_event(Event::ClientDisconnected { request });
        }
        for attempt in stalled_attempts {
            log_line!("upstream: request body not accepted by the client's deadline (request {request})");
            self.abort_attempt(attempt, Outcome::TimedOut);
        }
        self.requests.remove_if_done(request);
    }
}
