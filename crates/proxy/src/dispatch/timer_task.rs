//! The task that fires the timers when they are due.

use std::rc::Rc;

use zincstand_policy::{Event, Micros, Outcome, RequestId};

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::messages::{Failure, FinalResponse};
use crate::dispatch::timers::TimerKind;
use crate::dispatch::transport::Transport;
use crate::log::log_line;

impl<T: Transport> Dispatcher<T> {
    /// Fires the timers when they are due; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let next_due = self.timers.borrow().next_due();
            let earlier_timer = self.earlier_timer.notified();
            match next_due {
                Some(due) if due > self.clock.now() => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(due)) => {}
                    () = earlier_timer => {}
                },
                Some(_) => {
                    let timer = self.timers.borrow_mut().pop();
                    if let Some(kind) = timer {
                        self.on_timer(kind);
                    }
                }
                None => earlier_timer.await,
            }
        }
    }

    pub(super) fn set_timer(&self, due: Micros, kind: TimerKind) {
        let is_first = {
            let requests = self.requests.borrow();
            let mut timers = self.timers.borrow_mut();
            timers.prune_if_long(|request| requests.contains(request));
            timers.push(due, kind)
        };
        if is_first {
            self.earlier_timer.notify_one();
        }
    }

    fn on_timer(self: &Rc<Self>, kind: TimerKind) {
        match kind {
            TimerKind::Policy { token } => self.submit_event(Event::Timer { token }),
            TimerKind::AttemptLimit(attempt) => self.abort_attempt(attempt, Outcome::TimedOut),
            TimerKind::LastResort(request) => self.fail_unanswered(request),
        }
    }

    /// Fails a request that the policy has left without a response until just before the client's deadline.
    fn fail_unanswered(self: &Rc<Self>, request: RequestId) {
        let Some(responder) = self.requests.borrow_mut().take_responder(request) else { return };
        log_line!(
            "defect: the policy left request {request} without a response; failed just before its deadline"
        );
        let _ = responder.send(FinalResponse::Failed(Failure::DeadlineExceeded));
        self.submit_event(Event::ClientDisconnected { request });
        self.requests.borrow_mut().forget_if_done(request);
    }
}
