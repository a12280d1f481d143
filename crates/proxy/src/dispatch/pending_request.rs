//! The client's side of a submitted request.

use std::rc::Rc;

use tokio::sync::oneshot;
use zincstand_policy::RequestId;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::messages::{BodyEnd, Failure, FinalResponse};
use crate::dispatch::transport::Transport;

/// A submitted request whose final response is awaited. Dropped before the response, it tells the dispatcher that the
/// client has disconnected.
pub struct PendingRequest<T: Transport> {
    pub(super) dispatcher: Rc<Dispatcher<T>>,
    pub(super) request: RequestId,
    pub(super) response: oneshot::Receiver<FinalResponse<T::Response>>,
}

impl<T: Transport> PendingRequest<T> {
    /// Waits for the final response.
    pub async fn answer(mut self) -> FinalResponse<T::Response> {
        self.final_response().await
    }

    /// Waits for the final response to a request whose body is still arriving. `body_end` resolves when the body
    /// has ended.
    ///
    /// # Errors
    /// How the body ended, if it ended before its last byte and before a response.
    pub async fn answer_upload(
        mut self,
        body_end: impl Future<Output = BodyEnd>,
    ) -> Result<FinalResponse<T::Response>, BodyEnd> {
        tokio::select! {
            biased;
            response = self.final_response() => return Ok(response),
            end = body_end => match end {
                BodyEnd::Whole => self.dispatcher.body_completed(self.request),
                end => return Err(end),
            },
        }
        Ok(self.final_response().await)
    }

    async fn final_response(&mut self) -> FinalResponse<T::Response> {
        (&mut self.response).await.unwrap_or_else(|_| {
            eprintln!("defect: request {} was dropped without a response", self.request);
            FinalResponse::Failed(Failure::Upstream)
        })
    }
}

impl<T: Transport> Drop for PendingRequest<T> {
    fn drop(&mut self) {
        self.dispatcher.client_disconnected(self.request);
    }
}
