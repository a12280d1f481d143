//! The table of active requests: those that have no final response yet or have attempts in flight.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use zincstand_policy as policy;
use zincstand_policy::{Event, Micros, RequestId};

use crate::discovery::endpoint::Target;
use crate::dispatch::active_request::{ActiveRequest, Responder};
use crate::dispatch::attempt_messages::{BodyCompletion, NewAttempt, RegisteredAttempt};
use crate::dispatch::begin_check::BeginConditions;
use crate::dispatch::completion::{AttemptId, AttemptResult};
use crate::dispatch::messages::{Failure, FinalResponse};
use crate::dispatch::transport::Transport;

/// All active requests by id.
pub(super) struct ActiveRequests<T: Transport> {
    by_id: RefCell<HashMap<RequestId, ActiveRequest<T>>>,
    next_id: Cell<RequestId>,
}

impl<T: Transport> ActiveRequests<T> {
    /// Returns an empty table.
    pub(super) fn new() -> ActiveRequests<T> {
        ActiveRequests { by_id: RefCell::new(HashMap::new()), next_id: Cell::new(0) }
    }

    /// Runs `operation` on the table. All accesses borrow the table here, and the borrows are never nested:
    /// operations call only methods of [`ActiveRequest`] and the queries of [`Transport`], none of which calls the
    /// dispatcher. Sending a final response here only wakes the task that waits for it.
    fn with_table<R>(&self, operation: impl FnOnce(&mut HashMap<RequestId, ActiveRequest<T>>) -> R) -> R {
        operation(&mut self.by_id.borrow_mut())
    }

    /// Runs `operation` on one request. Returns `None` if the request is not active any more.
    fn with_request<R>(
        &self,
        id: RequestId,
        operation: impl FnOnce(&mut ActiveRequest<T>) -> R,
    ) -> Option<R> {
        self.with_table(|requests| requests.get_mut(&id).map(operation))
    }

    /// Passes a request to `inspect`, if it is active.
    pub(super) fn inspect(&self, id: RequestId, inspect: impl FnOnce(&ActiveRequest<T>)) {
        self.with_request(id, |active| inspect(active));
    }

    /// Adds a request and returns its new id.
    pub(super) fn insert(&self, request: ActiveRequest<T>) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.with_table(|requests| requests.insert(id, request));
        id
    }

    /// Returns whether a request is active.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.with_table(|requests| requests.contains_key(&id))
    }

    /// Returns whether a request is active and the transport knows that its client has disconnected.
    pub(super) fn client_disconnected(&self, id: RequestId) -> bool {
        self.with_request(id, |active| active.client_disconnected()).unwrap_or(false)
    }

    /// Takes the sender of a request's final response, so that only the caller can respond. Returns `None` if the final
    /// response was sent, the client disconnected or the request is not active any more.
    pub(super) fn take_responder(&self, id: RequestId) -> Option<Responder<T::Response>> {
        self.with_request(id, ActiveRequest::take_responder)?
    }

    /// Sends a final response, unless one was sent before, and removes the request if it is done. `response` builds the
    /// response; its argument is the failure to report if the request fails now.
    pub(super) fn respond(
        &self,
        id: RequestId,
        response: impl FnOnce(Failure) -> FinalResponse<T::Response>,
    ) {
        self.with_request(id, |active| active.respond(response));
        self.remove_if_done(id);
    }

    /// Removes a request if it has no attempt in flight, and its final response was sent or its client disconnected.
    pub(super) fn remove_if_done(&self, id: RequestId) {
        self.with_table(|requests| {
            if requests.get(&id).is_some_and(ActiveRequest::is_done) {
                requests.remove(&id);
            }
        });
    }

    /// Adds an attempt to its request. Returns `None` if the request is not active any more.
    pub(super) fn register_attempt(
        &self,
        attempt: &NewAttempt,
        limits: &policy::Limits,
    ) -> Option<RegisteredAttempt<T::Request>> {
        self.with_request(attempt.request, |active| active.register_attempt(attempt, limits))
    }

    /// Stores the transport's handle of an attempt; the handle is dropped if the attempt has ended already.
    pub(super) fn set_handle(&self, id: AttemptId, handle: T::Attempt) {
        self.with_request(id.request, |active| active.set_handle(id.number, handle));
    }

    /// Takes the transport's handle of an attempt, or `None` if it is not in flight, not sent or aborted already.
    pub(super) fn take_handle(&self, id: AttemptId) -> Option<T::Attempt> {
        self.with_request(id.request, |active| active.take_handle(id.number))?
    }

    /// Returns the conditions under which an attempt may begin. Returns `None` if the attempt has ended or the client no
    /// longer waits.
    pub(super) fn begin_conditions(&self, id: AttemptId) -> Option<BeginConditions> {
        self.with_request(id.request, |active| active.begin_conditions(id.number))?
    }

    /// Returns whether an attempt is in flight and nothing of its request was written.
    pub(super) fn has_not_begun(&self, id: AttemptId) -> bool {
        self.with_request(id.request, |active| active.has_not_begun(id.number)).unwrap_or(false)
    }

    /// Removes an attempt from its request, forwards its response if it has one, and returns the event for the policy.
    /// Returns `None` if the attempt is not in flight any more.
    pub(super) fn finish_attempt(&self, now: Micros, result: AttemptResult<T::Response>) -> Option<Event> {
        self.with_request(result.id.request, |active| active.finish_attempt(now, result))?
    }

    /// Starts the time limits of a request whose body is now complete, and which may take `max_time_left` microseconds at
    /// most. Returns the limits, or `None` if the request is not active any more.
    pub(super) fn complete_body(
        &self,
        id: RequestId,
        now: Micros,
        max_time_left: Micros,
    ) -> Option<BodyCompletion> {
        self.with_request(id, |active| active.complete_body(id, now, max_time_left))
    }

    /// Returns the client's deadline, in microseconds of Unix time; see [`ActiveRequest::deadline`]. `None` if the request
    /// is not active any more or its client waits no longer.
    pub(super) fn awaited_deadline(&self, id: RequestId, now: Micros) -> Option<Micros> {
        self.with_request(id, |active| active.awaits_response().then(|| active.deadline(now)))?
    }

    /// Returns whether the body of a request is still arriving. False if the request is not active any more.
    pub(super) fn body_pending(&self, id: RequestId) -> bool {
        self.with_request(id, |active| active.body_pending()).unwrap_or(false)
    }

    /// Returns the attempts of one request that cannot be of use to anybody, ordered by number: all while its body is still
    /// arriving, and otherwise those that have not begun. None if the client still waits for the response.
    pub(super) fn attempts_without_client(&self, id: RequestId) -> Vec<AttemptId> {
        let numbers = self.with_request(id, |active| {
            if active.awaits_response() {
                Vec::new()
            } else if active.body_pending() {
                active.attempts_in_flight().collect()
            } else {
                active.unbegun_attempts(|_| true).collect()
            }
        });
        let mut numbers: Vec<u32> = numbers.unwrap_or_default();
        numbers.sort_unstable();
        numbers.into_iter().map(|number| AttemptId { request: id, number }).collect()
    }

    /// Returns the attempts of all requests that have not begun and go to a target for which `is_selected` returns true,
    /// ordered by request and number.
    pub(super) fn unbegun_attempts_to(&self, is_selected: impl Fn(Target) -> bool) -> Vec<AttemptId> {
        let mut attempts = Vec::new();
        self.with_table(|requests| {
            for (&request, active) in requests.iter() {
                let unbegun = active.unbegun_attempts(|target| target.is_some_and(&is_selected));
                attempts.extend(unbegun.map(|number| AttemptId { request, number }));
            }
        });
        // The map has no defined order, and the order in which attempts are aborted must not depend on it.
        attempts.sort_unstable();
        attempts
    }

    /// Returns how many requests are active.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.with_table(|requests| requests.len())
    }
}
