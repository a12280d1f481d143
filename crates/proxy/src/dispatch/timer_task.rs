//! The task that fires the timers when they are due.

use std::rc::Rc;

use zincstand_policy::{Event, Micros, Outcome, RequestId};

use crate::dispatch::active_request::DEADLINE_MARGIN;
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

    /// Sets the timer that fails a request shortly before the client's deadline if the policy leaves it without a
    /// response. `deadline` is in microseconds of Unix time.
    pub(super) fn set_deadline_timer(&self, request: RequestId, deadline: Micros) {
        self.set_timer(deadline.saturating_sub(DEADLINE_MARGIN), TimerKind::RequestDeadline(request));
    }

    fn on_timer(self: &Rc<Self>, kind: TimerKind) {
        match kind {
            TimerKind::Policy { token } => self.submit_event(Event::Timer { token }),
            TimerKind::AttemptLimit(attempt) => self.abort_attempt(attempt, Outcome::TimedOut),
            TimerKind::RequestDeadline(request) => self.fail_unanswered(request),
        }
    }

    /// Fails a request that the policy has left without a response until just before the client's deadline.
    fn fail_unanswered(self: &Rc<Self>, request: RequestId) {
        let Some(responder) = self.requests.take_responder(request) else { return };
        log_line!(
            "defect: the policy left a request without a response, failed just before its deadline (request {request})"
        );
        let _ = responder.send(FinalResponse::Failed(Failure::DeadlineExceeded));
        self.submit_event(Event::ClientDisconnected { request });
        self.requests.remove_if_done(request);
    }
}
