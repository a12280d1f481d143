//! The start, abort and completion of attempts.

use std::rc::Rc;

use zincstand_policy::{Event, Micros, Outcome, RequestId, ResponseEnd, ServerId};

use crate::dispatch::attempt_messages::NewAttempt;
use crate::dispatch::completion::{
    AttemptCompletion, AttemptId, AttemptResult, CompletionHandler, ResponseSender,
};
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::timers::TimerKind;
use crate::dispatch::transport::Transport;

/// The time limits of an attempt, in microseconds.
#[derive(Clone, Copy)]
pub(super) struct SendLimits {
    /// Time after which the attempt has timed out; 0 allows all the time that the client has left.
    pub(super) time_limit: Micros,
    /// Time within which the first byte must be written; `None` without a limit.
    pub(super) begin_within: Option<Micros>,
}

impl<T: Transport> Dispatcher<T> {
    /// Starts an attempt that the policy has decided on. An attempt that the settings or the state of the request forbid is not sent, and the policy
    /// is notified with [`Outcome::NotSent`].
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        now: Micros,
        request: RequestId,
        server: ServerId,
        limits: SendLimits,
    ) {
        // If the client has disconnected, the upstream would process a request whose response nobody reads, or receive the
        // beginning of a body that will never be complete.
        if self.requests.client_disconnected(request) {
            self.on_client_disconnect(request);
        }
        let target = self.endpoints.target(server);
        let SendLimits { time_limit, begin_within } = limits;
        let new_attempt = NewAttempt { request, server, target, started: now, time_limit, begin_within };
        let Some(attempt) = self.requests.register_attempt(&new_attempt, &self.limits) else {
            self.report_inactive_request(request, server);
            return;
        };
        self.requests.log_retry(attempt.id);
        let (Some(request_to_send), Some(target)) = (attempt.request, target) else {
            self.complete_attempt(AttemptResult::without_response(attempt.id, Outcome::NotSent));
            return;
        };
        let sender = ResponseSender { server, class: attempt.class };
        let completion = AttemptCompletion::new(self.clone(), attempt.id, sender);
        let check = self.begin_check(attempt.id);
        let handle = self.transport.send(target, request_to_send, attempt.time_limit, check, completion);
        self.requests.set_handle(attempt.id, handle);
        if let Some(begin_within) = begin_within {
            self.set_timer(now + begin_within, TimerKind::BeginLimit(attempt.id));
        }
        if attempt.limit_runs {
            self.set_timer(now + attempt.time_limit, TimerKind::AttemptLimit(attempt.id));
        }
    }

    /// Notifies the policy that an attempt was not sent because its request is not active any more. The event is only
    /// queued: an attempt starts while the actions of an earlier event are applied, and the queue is handled after that.
    fn report_inactive_request(&self, request: RequestId, server: ServerId) {
        self.events.push(Event::Outcome {
            request,
            attempt: 0,
            server,
            outcome: Outcome::NotSent,
            latency: 0,
            finished: true,
            body_consumed: false,
            load: None,
        });
    }

    /// Aborts an attempt. If its request was not written completely, the upstream cannot have run it; the policy then
    /// gets an outcome that allows a retry even if the request is not idempotent.
    pub(super) fn abort_attempt(self: &Rc<Self>, id: AttemptId, outcome: Outcome) {
        let Some(handle) = self.requests.take_handle(id) else { return };
        let may_have_run = self.transport.abort(handle);
        let outcome = match outcome {
            Outcome::TimedOut if !may_have_run => Outcome::ConnectFailed,
            Outcome::Cancelled if !may_have_run => Outcome::NotSent,
            other => other,
        };
        self.complete_attempt(AttemptResult::without_response(id, outcome));
    }

    /// Records the result of an attempt and notifies the policy. Only the first result of an attempt counts.
    pub(super) fn complete_attempt(self: &Rc<Self>, result: AttemptResult<T::Response>) {
        let request = result.id.request;
        let (id, outcome) = (result.id, result.outcome);
        let Some(event) = self.requests.finish_attempt(self.clock.now(), result) else { return };
        self.requests.log_failed_attempt(id, outcome);
        self.submit_event(event);
        self.requests.remove_if_done(request);
    }
}

impl<T: Transport> CompletionHandler<T::Response> for Dispatcher<T> {
    fn attempt_completed(self: Rc<Self>, result: AttemptResult<T::Response>) {
        self.complete_attempt(result);
    }

    fn response_ended(self: Rc<Self>, sender: ResponseSender, end: ResponseEnd) {
        self.submit_event(response_end_event(sender, end));
    }

    fn queue_response_end(&self, sender: ResponseSender, end: ResponseEnd) {
        self.events.push(response_end_event(sender, end));
    }
}

fn response_end_event(sender: ResponseSender, end: ResponseEnd) -> Event {
    Event::ResponseEnded { server: sender.server, class: sender.class, end }
}
