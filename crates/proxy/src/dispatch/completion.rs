//! The result of an attempt, and the callback through which the transport reports it to the dispatcher.

use std::rc::Rc;

use zincstand_policy as policy;
use zincstand_policy::{ClassId, Outcome, RequestId, ResponseEnd, ServerId};

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    /// The request.
    pub(super) request: RequestId,
    /// The attempt's number within its request, from 0.
    pub(super) number: u32,
}

/// The result of an attempt.
pub(super) struct AttemptResult<R> {
    /// The attempt.
    pub(super) id: AttemptId,
    /// The outcome as the policy sees it.
    pub(super) outcome: Outcome,
    /// The load report in the response, or `None` if there was none.
    pub(super) load: Option<policy::LoadReport>,
    /// The response to forward, or `None` if there is none that may be forwarded.
    pub(super) response: Option<R>,
    /// Whether the rest of the response is still arriving. A [`ResponseCompletion`] then reports its end.
    pub(super) response_pending: bool,
}

impl<R> AttemptResult<R> {
    /// Returns the result of an attempt that ended without a response.
    pub(super) fn without_response(id: AttemptId, outcome: Outcome) -> AttemptResult<R> {
        AttemptResult { id, outcome, load: None, response: None, response_pending: false }
    }
}

/// Receives the results of attempts. The dispatcher implements this trait, so that the transport does not depend on the
/// dispatcher's type, which has the transport as a parameter.
pub(super) trait CompletionHandler<R> {
    /// Handles the end of an attempt. Only the first result of an attempt has an effect.
    fn attempt_completed(self: Rc<Self>, result: AttemptResult<R>);

    /// Handles the end of a response that was pending when its attempt completed.
    fn response_ended(self: Rc<Self>, sender: ResponseSender, end: ResponseEnd);

    /// Records the end of such a response, to be handled with the next event.
    fn queue_response_end(&self, sender: ResponseSender, end: ResponseEnd);
}

/// The server and the class of an attempt, to which the end of its response is attributed.
#[derive(Clone, Copy)]
pub(super) struct ResponseSender {
    /// The server that sends the response.
    pub(super) server: ServerId,
    /// The class of the request.
    pub(super) class: ClassId,
}

/// Reports the end of a response whose rest was arriving when its attempt completed. Dropping it reports nothing: the
/// client has left, which says nothing about the server.
pub struct ResponseCompletion<R> {
    handler: Rc<dyn CompletionHandler<R>>,
    sender: ResponseSender,
}

impl<R> ResponseCompletion<R> {
    /// Reports the end of the response.
    pub fn report(self, end: ResponseEnd) {
        self.handler.response_ended(self.sender, end);
    }

    /// Reports the end of the response from a destructor, which may run where no event can be handled.
    pub fn report_on_drop(self, end: ResponseEnd) {
        self.handler.queue_response_end(self.sender, end);
    }
}

/// Reports the result of one attempt, once. If it is dropped without a report, for instance because the attempt's task
/// panicked, the attempt counts as ended by a connection reset.
pub struct AttemptCompletion<R> {
    handler: Rc<dyn CompletionHandler<R>>,
    id: AttemptId,
    sender: ResponseSender,
    reported: bool,
}

impl<R> AttemptCompletion<R> {
    /// Returns the callback of the attempt `id`, whose response comes from `sender`. It reports to `handler`.
    pub(super) fn new(
        handler: Rc<dyn CompletionHandler<R>>,
        id: AttemptId,
        sender: ResponseSender,
    ) -> AttemptCompletion<R> {
        AttemptCompletion { handler, id, sender, reported: false }
    }

    /// Returns the callback that reports the end of the attempt's response.
    pub fn response_completion(&self) -> ResponseCompletion<R> {
        ResponseCompletion { handler: self.handler.clone(), sender: self.sender }
    }

    /// Reports the end of the attempt. `load` is the load report in the response; `response` is the response to forward.
    pub fn report(mut self, outcome: Outcome, load: Option<policy::LoadReport>, response: Option<R>) {
        self.reported = true;
        let result = AttemptResult { id: self.id, outcome, load, response, response_pending: false };
        self.handler.clone().attempt_completed(result);
    }

    /// Reports that the attempt has received the beginning of a response to forward. The
    /// [`response_completion`](Self::response_completion) reports the end of the response.
    pub fn report_started(mut self, load: Option<policy::LoadReport>, response: R) {
        self.reported = true;
        self.handler.clone().attempt_completed(AttemptResult {
            id: self.id,
            outcome: Outcome::Ok,
            load,
            response: Some(response),
            response_pending: true,
        });
    }
}

impl<R> Drop for AttemptCompletion<R> {
    fn drop(&mut self) {
        if !self.reported {
            let result = AttemptResult::without_response(self.id, Outcome::Reset);
            self.handler.clone().attempt_completed(result);
        }
    }
}
