//! The submission of a request, and the client's side of it.

use std::rc::Rc;

use tokio::sync::oneshot;
use zincstand_policy::{Event, Micros, Outcome, RequestId};

use crate::dispatch::active_request::ActiveRequest;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::messages::{BodyEnd, Failure, FinalResponse, IncomingRequest};
use crate::dispatch::timers::TimerKind;
use crate::dispatch::transport::Transport;
use crate::log::log_line;

/// Subtracted from the time that the client has left before that time is passed to the policy, in microseconds. The margin
/// allows for the transfer of the response to the client and for the granularity of timers.
const POLICY_DEADLINE_MARGIN: Micros = 10_000;

impl<T: Transport> Dispatcher<T> {
    /// Submits a request to the policy. The returned [`PendingRequest`] receives its final response.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest<T::Request>) -> PendingRequest<T> {
        let (sender, response) = oneshot::channel();
        let now = self.clock.now();
        let time_left = incoming.time_left;
        let fixed_deadline = (!incoming.body_pending).then_some(now + time_left);
        let active = ActiveRequest::new(incoming.request, incoming.class, sender, fixed_deadline, time_left);
        let deadline = active.deadline(now);
        let id = self.requests.insert(active);
        self.set_deadline_timer(id, deadline);
        self.submit_event(Event::Request {
            id,
            class: incoming.class,
            time_left: deadline.saturating_sub(now + POLICY_DEADLINE_MARGIN),
            tenant: incoming.tenant,
            work: incoming.estimated_work,
            marked_retry: incoming.marked_retry,
            body_pending: incoming.body_pending,
        });
        PendingRequest { dispatcher: self.clone(), request: id, response }
    }

    /// Handles the arrival of the last byte of a request's body. The limits of its attempts start now, and the request may
    /// take `max_time_left` microseconds at most.
    pub(super) fn on_body_complete(self: &Rc<Self>, request: RequestId, max_time_left: Micros) {
        let now = self.clock.now();
        let Some(completion) = self.requests.complete_body(request, now, max_time_left) else { return };
        self.set_deadline_timer(request, completion.deadline);
        for limit in completion.attempt_limits {
            self.set_timer(now + limit.time_limit, TimerKind::AttemptLimit(limit.attempt));
        }
        let time_left = completion.time_left.saturating_sub(POLICY_DEADLINE_MARGIN);
        self.submit_event(Event::BodyComplete { request, time_left });
    }

    /// Handles the disconnection of a client. Does nothing if its request already has the final response.
    pub(super) fn on_client_disconnect(self: &Rc<Self>, request: RequestId) {
        if self.requests.take_responder(request).is_none() {
            return;
        }
        self.requests.log_client_disconnect(request);
        self.submit_event(Event::ClientDisconnected { request });
        self.abort_attempts_without_client(request, Outcome::Cancelled);
        self.requests.remove_if_done(request);
    }

    /// Aborts the attempts of a request without client that would otherwise hold a connection for a body that never ends,
    /// or make an upstream process a request whose response nobody reads.
    pub(super) fn abort_attempts_without_client(self: &Rc<Self>, request: RequestId, outcome: Outcome) {
        for attempt in self.requests.attempts_without_client(request) {
            self.abort_attempt(attempt, outcome);
        }
    }
}

/// A submitted request whose final response is awaited. If it is dropped before the response, the dispatcher treats
/// the client as disconnected.
pub struct PendingRequest<T: Transport> {
    dispatcher: Rc<Dispatcher<T>>,
    /// The request's id.
    pub(super) request: RequestId,
    response: oneshot::Receiver<FinalResponse<T::Response>>,
}

impl<T: Transport> PendingRequest<T> {
    /// Waits for the final response and returns it.
    pub async fn final_response(mut self) -> FinalResponse<T::Response> {
        self.receive().await
    }

    /// Waits for the final response to a request whose body is still arriving. `body_end` resolves when the body
    /// has ended; the request may then take `max_time_left` microseconds at most.
    ///
    /// # Errors
    /// Returns how the body ended if it ended before its last byte and before a response.
    pub async fn final_response_after_body(
        mut self,
        body_end: impl Future<Output = BodyEnd>,
        max_time_left: impl FnOnce() -> Micros,
    ) -> Result<FinalResponse<T::Response>, BodyEnd> {
        tokio::select! {
            biased;
            response = self.receive() => return Ok(response),
            end = body_end => match end {
                BodyEnd::Complete => self.dispatcher.on_body_complete(self.request, max_time_left()),
                end => return Err(end),
            },
        }
        Ok(self.receive().await)
    }

    async fn receive(&mut self) -> FinalResponse<T::Response> {
        (&mut self.response).await.unwrap_or_else(|_| {
            if !self.dispatcher.requests.client_disconnected(self.request) {
                let request = self.request;
                log_line!("defect: request dropped without a response (request {request})");
            }
            FinalResponse::Failed(Failure::Upstream)
        })
    }
}

impl<T: Transport> Drop for PendingRequest<T> {
    fn drop(&mut self) {
        self.dispatcher.on_client_disconnect(self.request);
    }
}
