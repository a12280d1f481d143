//! The result of an attempt, and the callback through which the transport reports it to the dispatcher.

use std::rc::Rc;

use zincstand_policy as policy;
use zincstand_policy::{Outcome, RequestId};

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
}

impl<R> AttemptResult<R> {
    /// Returns the result of an attempt that ended without a response.
    pub(super) fn without_response(id: AttemptId, outcome: Outcome) -> AttemptResult<R> {
        AttemptResult { id, outcome, load: None, response: None }
    }
}

/// Receives the results of attempts. The dispatcher implements this trait, so that the transport does not depend on the
/// dispatcher's type, which has the transport as a parameter.
pub(super) trait CompletionHandler<R> {
    /// Handles the end of an attempt. Only the first result of an attempt has an effect.
    fn attempt_completed(self: Rc<Self>, result: AttemptResult<R>);
}

/// Reports the result of one attempt, once. If it is dropped without a report, for instance because the attempt's task
/// panicked, the attempt counts as ended by a connection reset.
pub struct AttemptCompletion<R> {
    handler: Rc<dyn CompletionHandler<R>>,
    id: AttemptId,
    reported: bool,
}

impl<R> AttemptCompletion<R> {
    /// Returns the callback of the attempt `id`, which reports to `handler`.
    pub(super) fn new(handler: Rc<dyn CompletionHandler<R>>, id: AttemptId) -> AttemptCompletion<R> {
        AttemptCompletion { handler, id, reported: false }
    }

    /// Reports the end of the attempt. `load` is the load report in the response; `response` is the response to forward.
    pub fn report(mut self, outcome: Outcome, load: Option<policy::LoadReport>, response: Option<R>) {
        self.reported = true;
        let result = AttemptResult { id: self.id, outcome, load, response };
        self.handler.clone().attempt_completed(result);
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
