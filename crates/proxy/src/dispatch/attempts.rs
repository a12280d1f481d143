//! Attempts: their start, their abort and their completion.

use std::rc::Rc;

use zincstand_policy::{Event, Micros, Outcome, RequestId, ServerId};

use crate::discovery::endpoint::Target;
use crate::dispatch::active_requests::{ActiveRequest, AttemptInFlight};
use crate::dispatch::completion::{AttemptCompletion, AttemptId, AttemptResult, CompletionHandler};
use crate::dispatch::dispatcher::{Dispatcher, LAST_RESORT_MARGIN};
use crate::dispatch::messages::{Failure, FinalResponse};
use crate::dispatch::timers::TimerKind;
use crate::dispatch::transport::Transport;

/// An attempt that was entered among the active requests and is about to be sent.
struct RegisteredAttempt<R> {
    id: AttemptId,
    /// What to send; none if a rule forbids the attempt.
    request: Option<Rc<R>>,
    time_limit: Micros,
    /// Whether the time limit runs already: it does not while the request's body is still arriving, since the
    /// upstream cannot have all of the request yet.
    limit_runs: bool,
}

impl<T: Transport> Dispatcher<T> {
    /// Starts an attempt that the policy has decided on; `time_limit` 0 stands for all the time that is left. One that
    /// the rules forbid is not sent, and the policy learns it as [`Outcome::NotSent`].
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        now: Micros,
        request: RequestId,
        server: ServerId,
        time_limit: Micros,
    ) {
        // Spares the upstream work that nobody waits for, and the beginning of a body that will never be complete.
        let disconnected =
            self.requests.borrow().get(request).is_some_and(|active| T::client_disconnected(&active.request));
        if disconnected {
            self.client_disconnected(request);
        }
        let target = self.registry.borrow().target(server);
        let Some(attempt) = self.register_attempt(now, request, server, target, time_limit) else {
            self.report_unknown_request(request, server);
            return;
        };
        let (Some(content), Some(target)) = (attempt.request, target) else {
            self.complete_attempt(AttemptResult::without_response(attempt.id, Outcome::NotSent));
            return;
        };
        let completion = AttemptCompletion::new(self.clone(), attempt.id);
        let handle = self.transport.send(target, content, attempt.time_limit, completion);
        if let Some(in_flight) = self.requests.borrow_mut().attempt_mut(attempt.id) {
            in_flight.handle = Some(handle);
        }
        if attempt.limit_runs {
            self.set_timer(now + attempt.time_limit, TimerKind::AttemptLimit(attempt.id));
        }
    }

    /// Enters an attempt among its request's; none if the request is not active any more.
    fn register_attempt(
        &self,
        now: Micros,
        request: RequestId,
        server: ServerId,
        target: Option<Target>,
        time_limit: Micros,
    ) -> Option<RegisteredAttempt<T::Request>> {
        let mut requests = self.requests.borrow_mut();
        let active = requests.get_mut(request)?;
        let number = active.attempts_started;
        active.attempts_started += 1;
        let deadline = active.deadline.unwrap_or(now + active.time_left);
        let time_left = deadline.saturating_sub(now + LAST_RESORT_MARGIN);
        let time_limit = if time_limit == 0 { time_left } else { time_limit.min(time_left) };
        let allowed = self.allows_attempt(active, number, time_limit);
        active.attempts.push(AttemptInFlight {
            number,
            server,
            target,
            started: now,
            time_limit,
            handle: None,
        });
        Some(RegisteredAttempt {
            id: AttemptId { request, number },
            request: allowed.then(|| active.request.clone()),
            time_limit,
            limit_runs: active.deadline.is_some(),
        })
    }

    /// Whether the limits of the settings and the state of the request allow an attempt, whatever the policy decided.
    fn allows_attempt(&self, active: &ActiveRequest<T>, number: u32, time_limit: Micros) -> bool {
        let is_hedge = !active.attempts.is_empty();
        active.responder.is_some()
            && (!is_hedge || self.limits.hedging)
            && number < self.limits.max_attempts
            && time_limit > 0
            && !T::body_consumed(&active.request)
    }

    /// Tells the policy that an attempt was not sent because its request is not active any more.
    fn report_unknown_request(&self, request: RequestId, server: ServerId) {
        self.pending_events.borrow_mut().push_back(Event::Outcome {
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

    /// Aborts an attempt. The upstream cannot have run one whose request was not written to its end, and the policy
    /// is told so: such an attempt may be retried even if the request is not idempotent.
    pub(super) fn abort_attempt(self: &Rc<Self>, id: AttemptId, outcome: Outcome) {
        let handle = self.requests.borrow_mut().attempt_mut(id).and_then(|in_flight| in_flight.handle.take());
        let Some(handle) = handle else { return };
        let may_have_run = self.transport.abort(handle);
        let outcome = match outcome {
            Outcome::TimedOut if !may_have_run => Outcome::ConnectFailed,
            Outcome::Cancelled if !may_have_run => Outcome::NotSent,
            other => other,
        };
        self.complete_attempt(AttemptResult::without_response(id, outcome));
    }

    /// Records the result of an attempt and tells the policy. Only the first result of an attempt counts.
    pub(super) fn complete_attempt(self: &Rc<Self>, result: AttemptResult<T::Response>) {
        let request = result.id.request;
        let Some(event) = self.record_result(result) else { return };
        self.submit_event(event);
        self.requests.borrow_mut().forget_if_done(request);
    }

    /// Removes an attempt from its request, forwards its response if it has one, and returns the event for the
    /// policy; none if the attempt is not in flight any more.
    fn record_result(&self, result: AttemptResult<T::Response>) -> Option<Event> {
        let now = self.clock.now();
        let AttemptResult { id, outcome, load, response } = result;
        let mut requests = self.requests.borrow_mut();
        let active = requests.get_mut(id.request)?;
        let position = active.attempts.iter().position(|attempt| attempt.number == id.number)?;
        let attempt = active.attempts.swap_remove(position);
        active.failure = match outcome {
            Outcome::TimedOut | Outcome::Cancelled => Failure::DeadlineExceeded,
            _ => Failure::Upstream,
        };
        if let (Outcome::Ok, Some(response)) = (outcome, response)
            && let Some(responder) = active.responder.take()
        {
            let _ = responder.send(FinalResponse::Forwarded(response));
        }
        Some(Event::Outcome {
            request: id.request,
            attempt: id.number,
            server: attempt.server,
            outcome,
            latency: now.saturating_sub(attempt.started),
            finished: active.responder.is_none(),
            body_consumed: T::body_consumed(&active.request),
            load,
        })
    }
}

impl<T: Transport> CompletionHandler<T::Response> for Dispatcher<T> {
    fn attempt_completed(self: Rc<Self>, result: AttemptResult<T::Response>) {
        self.complete_attempt(result);
    }
}
