//! One request that has no final response yet or has attempts in flight.

use std::rc::Rc;

use tokio::sync::oneshot;
use zincstand_policy as policy;
use zincstand_policy::{ClassId, Event, Micros, Outcome, RequestId, ServerId};

use crate::discovery::endpoint::Target;
use crate::dispatch::attempt_messages::{AttemptLimit, BodyCompletion, NewAttempt, RegisteredAttempt};
use crate::dispatch::begin_check::BeginConditions;
use crate::dispatch::completion::{AttemptId, AttemptResult};
use crate::dispatch::messages::{Failure, FinalResponse};
use crate::dispatch::transport::Transport;

/// A request that the policy has left without a response fails this long before the client's deadline, in microseconds, so
/// that the client still receives the response in time. Attempts end at that time at the latest.
pub(super) const DEADLINE_MARGIN: Micros = 5_000;

/// Sends the final response of a request to its [`PendingRequest`](crate::dispatch::PendingRequest).
pub(super) type Responder<R> = oneshot::Sender<FinalResponse<R>>;

/// An attempt that the policy has started and whose result is not known yet.
struct AttemptInFlight<A> {
    /// The attempt's number within its request, from 0.
    number: u32,
    server: ServerId,
    /// The server's address, or `None` if the server was not listed: such an attempt is never sent.
    target: Option<Target>,
    /// The time from which the attempt's time limit and latency count, in microseconds of Unix time.
    started: Micros,
    /// Time limit in microseconds.
    time_limit: Micros,
    /// Time before which the first byte must be written, in microseconds of Unix time; `None` without a limit.
    begin_before: Option<Micros>,
    /// The transport's handle. `None` before the attempt is sent and once it is aborted.
    handle: Option<A>,
}

/// A request that has no final response yet or has attempts in flight.
pub(super) struct ActiveRequest<T: Transport> {
    request: Rc<T::Request>,
    class: ClassId,
    /// Sends the final response. `None` once it was sent or the client disconnected.
    responder: Option<Responder<T::Response>>,
    /// The client's deadline, in microseconds of Unix time. `None` while the request's body is still arriving; see
    /// [`deadline`](Self::deadline).
    fixed_deadline: Option<Micros>,
    /// How long the client waits from the request's last byte on, in microseconds.
    time_left: Micros,
    /// How many attempts the policy has started.
    attempts_started: u32,
    attempts: Vec<AttemptInFlight<T::Attempt>>,
    /// The failure to report to the client if the request fails now.
    failure: Failure,
    /// How the last attempt ended; `None` if none has.
    last_outcome: Option<Outcome>,
}

impl<T: Transport> ActiveRequest<T> {
    /// Returns a request without attempts. `fixed_deadline` is `None` while its body is still arriving; `time_left` is how
    /// long the client waits from the last byte on.
    pub(super) fn new(
        request: T::Request,
        class: ClassId,
        responder: Responder<T::Response>,
        fixed_deadline: Option<Micros>,
        time_left: Micros,
    ) -> ActiveRequest<T> {
        ActiveRequest {
            request: Rc::new(request),
            class,
            responder: Some(responder),
            fixed_deadline,
            time_left,
            attempts_started: 0,
            attempts: Vec::new(),
            failure: Failure::DeadlineExceeded,
            last_outcome: None,
        }
    }

    /// Returns the client's deadline, in microseconds of Unix time. While the body is still arriving, this is the earliest
    /// time that it may turn out to be, and it moves with the arriving bytes.
    pub(super) fn deadline(&self, now: Micros) -> Micros {
        self.fixed_deadline.unwrap_or_else(|| self.earliest_deadline(now))
    }

    /// Returns the client's deadline if the last byte of the body arrived as early as it may have.
    fn earliest_deadline(&self, now: Micros) -> Micros {
        (now + self.time_left).saturating_sub(T::max_body_age(&self.request))
    }

    /// Returns whether the body is still arriving.
    pub(super) fn body_pending(&self) -> bool {
        self.fixed_deadline.is_none()
    }

    /// Returns whether the transport knows that the client has disconnected.
    pub(super) fn client_disconnected(&self) -> bool {
        T::client_disconnected(&self.request)
    }

    /// Returns the id that the client has given the request.
    pub(super) fn name(&self) -> &str {
        T::request_name(&self.request)
    }

    /// Returns how many attempts the policy has started.
    pub(super) fn attempts_started(&self) -> u32 {
        self.attempts_started
    }

    /// Returns how the last attempt ended, `None` if none has.
    pub(super) fn last_outcome(&self) -> Option<Outcome> {
        self.last_outcome
    }

    /// Returns whether the client still waits for the final response.
    pub(super) fn awaits_response(&self) -> bool {
        self.responder.is_some()
    }

    /// Takes the sender of the final response, so that only the caller can respond. Returns `None` if the final response was
    /// sent or the client disconnected.
    pub(super) fn take_responder(&mut self) -> Option<Responder<T::Response>> {
        self.responder.take()
    }

    /// Sends a final response, unless one was sent before. `response` builds the response; its argument is the failure to
    /// report if the request fails now.
    pub(super) fn respond(&mut self, response: impl FnOnce(Failure) -> FinalResponse<T::Response>) {
        if let Some(responder) = self.responder.take() {
            let _ = responder.send(response(self.failure));
        }
    }

    /// Returns whether the request has no attempt in flight, and its final response was sent or its client disconnected.
    pub(super) fn is_done(&self) -> bool {
        self.responder.is_none() && self.attempts.is_empty()
    }

    /// Adds an attempt, whether or not it may be sent: the policy has counted it already.
    pub(super) fn register_attempt(
        &mut self,
        attempt: &NewAttempt,
        limits: &policy::Limits,
    ) -> RegisteredAttempt<T::Request> {
        let now = attempt.started;
        let number = self.attempts_started;
        self.attempts_started += 1;
        let time_left = self.deadline(now).saturating_sub(now + DEADLINE_MARGIN);
        let time_limit = match attempt.time_limit {
            0 => time_left,
            time_limit => time_limit.min(time_left),
        };
        let allowed = self.allows_attempt(number, time_limit, limits);
        self.attempts.push(AttemptInFlight {
            number,
            server: attempt.server,
            target: attempt.target,
            started: now,
            time_limit,
            begin_before: attempt.begin_within.map(|limit| now + limit),
            handle: None,
        });
        RegisteredAttempt {
            id: AttemptId { request: attempt.request, number },
            request: allowed.then(|| self.request.clone()),
            class: self.class,
            time_limit,
            limit_runs: !self.body_pending(),
        }
    }

    /// Returns whether the limits of the settings and the state of the request allow another attempt. The policy follows
    /// these rules itself; this check limits the damage if the policy has a defect.
    fn allows_attempt(&self, number: u32, time_limit: Micros, limits: &policy::Limits) -> bool {
        let is_hedge = !self.attempts.is_empty();
        self.responder.is_some()
            && (!is_hedge || limits.hedging)
            && number < limits.max_attempts
            && time_limit > 0
            && !T::body_consumed(&self.request)
    }

    /// Stores the transport's handle of an attempt. If the attempt is not in flight any more, the handle is dropped.
    pub(super) fn set_handle(&mut self, number: u32, handle: T::Attempt) {
        if let Some(attempt) = self.attempt_mut(number) {
            attempt.handle = Some(handle);
        }
    }

    /// Takes the transport's handle of an attempt, or `None` if it is not in flight, not sent or aborted already.
    pub(super) fn take_handle(&mut self, number: u32) -> Option<T::Attempt> {
        self.attempt_mut(number)?.handle.take()
    }

    fn attempt_mut(&mut self, number: u32) -> Option<&mut AttemptInFlight<T::Attempt>> {
        self.attempts.iter_mut().find(|attempt| attempt.number == number)
    }

    /// Fixes the client's deadline and starts the limits of the attempts in flight, because the last byte of the body was
    /// read. The request may take `max_time_left` microseconds at most.
    pub(super) fn complete_body(
        &mut self,
        id: RequestId,
        now: Micros,
        max_time_left: Micros,
    ) -> BodyCompletion {
        let deadline = self.earliest_deadline(now).min(now.saturating_add(max_time_left));
        self.fixed_deadline = Some(deadline);
        let time_left = deadline.saturating_sub(now + DEADLINE_MARGIN);
        let mut attempt_limits = Vec::new();
        for attempt in &mut self.attempts {
            attempt.started = now;
            attempt_limits.push(AttemptLimit {
                attempt: AttemptId { request: id, number: attempt.number },
                time_limit: attempt.time_limit.min(time_left),
            });
        }
        BodyCompletion { deadline, time_left: deadline.saturating_sub(now), attempt_limits }
    }

    /// Returns the numbers of the attempts in flight.
    pub(super) fn attempts_in_flight(&self) -> impl Iterator<Item = u32> {
        self.attempts.iter().map(|attempt| attempt.number)
    }

    /// Removes an attempt, forwards its response if it has one, and returns the event for the policy. Returns `None`
    /// if the attempt is not in flight any more: only the first result of an attempt counts.
    pub(super) fn finish_attempt(
        &mut self,
        now: Micros,
        result: AttemptResult<T::Response>,
    ) -> Option<Event> {
        let AttemptResult { id, outcome, load, response, response_pending } = result;
        let position = self.attempts.iter().position(|attempt| attempt.number == id.number)?;
        let attempt = self.attempts.swap_remove(position);
        if !outcome.never_ran() {
            T::record_may_have_run(&self.request);
        }
        self.last_outcome = Some(outcome);
        self.failure = match outcome {
            Outcome::TimedOut | Outcome::Cancelled => Failure::DeadlineExceeded,
            _ => Failure::Upstream,
        };
        let latency = now.saturating_sub(attempt.started);
        if let (Outcome::Ok, Some(response)) = (outcome, response) {
            let is_final = self.awaits_response();
            let time_left = self.deadline(now).saturating_sub(now);
            self.respond(|_| FinalResponse::Forwarded { response, time_left });
            if is_final && response_pending {
                return Some(Event::ResponseStarted { request: id.request, server: attempt.server, latency });
            }
        }
        Some(Event::Outcome {
            request: id.request,
            attempt: id.number,
            server: attempt.server,
            outcome,
            latency,
            finished: self.responder.is_none(),
            body_consumed: T::body_consumed(&self.request),
            load,
        })
    }

    /// Returns the conditions under which an attempt may begin. Returns `None` if the attempt has ended or the client no
    /// longer waits.
    pub(super) fn begin_conditions(&self, number: u32) -> Option<BeginConditions> {
        let attempt = self.attempts.iter().find(|attempt| attempt.number == number)?;
        let ends_at = (!self.body_pending()).then_some(attempt.started + attempt.time_limit);
        let conditions =
            BeginConditions { target: attempt.target, begin_before: attempt.begin_before, ends_at };
        self.awaits_response().then_some(conditions)
    }

    /// Returns whether an attempt was handed to the transport and nothing of its request was written.
    pub(super) fn has_not_begun(&self, number: u32) -> bool {
        self.unbegun_attempts(|_| true).any(|unbegun| unbegun == number)
    }

    /// Returns the numbers of the attempts that were handed to the transport, have not begun to be written and go to a
    /// target for which `is_selected` returns true.
    pub(super) fn unbegun_attempts(
        &self,
        is_selected: impl Fn(Option<Target>) -> bool,
    ) -> impl Iterator<Item = u32> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.handle.as_ref().is_some_and(|handle| !T::has_begun(handle)))
            .filter(move |attempt| is_selected(attempt.target))
            .map(|attempt| attempt.number)
    }
}
