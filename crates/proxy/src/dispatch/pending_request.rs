//! The submission of a request, and the client's side of it.

use std::rc::Rc;

use tokio::sync::oneshot;
use zincstand_policy::{Event, Micros, RequestId};

use crate::dispatch::active_requests::ActiveRequest;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::messages::{BodyEnd, Failure, FinalResponse, IncomingRequest};
use crate::dispatch::transport::Transport;
use crate::log::log_line;

/// The policy is given this much less than the client's time: it allows for the response's way back and the
/// granularity of timers.
const POLICY_MARGIN: Micros = 10_000;

impl<T: Transport> Dispatcher<T> {
    /// Takes a request; its final response comes through what is returned.
    pub fn submit(self: &Rc<Self>, incoming: IncomingRequest<T::Request>) -> PendingRequest<T> {
        let (sender, response) = oneshot::channel();
        let now = self.clock.now();
        let time_left = incoming.time_left;
        let deadline = (!incoming.body_pending).then_some(now + time_left);
        let id = self.requests.borrow_mut().insert(ActiveRequest {
            request: Rc::new(incoming.request),
            responder: Some(sender),
            deadline,
            time_left,
            attempts_started: 0,
            attempts: Vec::new(),
            failure: Failure::DeadlineExceeded,
        });
        if let Some(deadline) = deadline {
            self.set_last_resort(id, deadline);
        }
        self.submit_event(Event::Request {
            id,
            class: incoming.class,
            time_left: time_left.saturating_sub(POLICY_MARGIN),
            tenant: incoming.tenant,
            work: incoming.estimated_work,
            marked_retry: incoming.marked_retry,
            body_pending: incoming.body_pending,
        });
        PendingRequest { dispatcher: self.clone(), request: id, response }
    }
}

/// A submitted request whose final response is awaited. Dropped before the response, it tells the dispatcher that the
/// client has disconnected.
pub struct PendingRequest<T: Transport> {
    dispatcher: Rc<Dispatcher<T>>,
    pub(super) request: RequestId,
    response: oneshot::Receiver<FinalResponse<T::Response>>,
}

impl<T: Transport> PendingRequest<T> {
    /// Waits for the final response.
    pub async fn final_response(mut self) -> FinalResponse<T::Response> {
        self.receive().await
    }

    /// Waits for the final response to a request whose body is still arriving. `body_end` resolves when the body
    /// has ended.
    ///
    /// # Errors
    /// How the body ended, if it ended before its last byte and before a response.
    pub async fn final_response_after_body(
        mut self,
        body_end: impl Future<Output = BodyEnd>,
    ) -> Result<FinalResponse<T::Response>, BodyEnd> {
        tokio::select! {
            biased;
            response = self.receive() => return Ok(response),
            end = body_end => match end {
                BodyEnd::Complete => self.dispatcher.body_completed(self.request),
                end => return Err(end),
            },
        }
        Ok(self.receive().await)
    }

    async fn receive(&mut self) -> FinalResponse<T::Response> {
        (&mut self.response).await.unwrap_or_else(|_| {
            log_line!("defect: request {} was dropped without a response", self.request);
            FinalResponse::Failed(Failure::Upstream)
        })
    }
}

impl<T: Transport> Drop for PendingRequest<T> {
    fn drop(&mut self) {
        self.dispatcher.client_disconnected(self.request);
    }
}
