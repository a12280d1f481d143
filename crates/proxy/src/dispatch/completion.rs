//! The result of an attempt and its way from the transport back to the dispatcher.

use std::rc::Rc;

use zincstand_policy as policy;
use zincstand_policy::{Outcome, RequestId};

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    /// The attempt's number within its request, from 0.
    pub(super) number: u32,
}

/// How an attempt ended.
pub(super) struct AttemptResult<R> {
    pub(super) id: AttemptId,
    pub(super) outcome: Outcome,
    pub(super) load: Option<policy::LoadReport>,
    pub(super) response: Option<R>,
}

impl<R> AttemptResult<R> {
    /// An attempt that ended without a response.
    pub(super) fn without_response(id: AttemptId, outcome: Outcome) -> AttemptResult<R> {
        AttemptResult { id, outcome, load: None, response: None }
    }
}

/// Takes the results of attempts. The dispatcher implements it; behind this trait the transport need not know the
/// dispatcher's type, which depends on the transport's.
pub(super) trait CompletionHandler<R> {
    /// Handles the end of an attempt. Only the first result of an attempt has an effect.
    fn attempt_completed(self: Rc<Self>, result: AttemptResult<R>);
}

/// Reports the result of an attempt, once. One that is dropped without a report, as when the attempt's task
/// panicked, counts as a connection reset.
pub struct AttemptCompletion<R> {
    handler: Rc<dyn CompletionHandler<R>>,
    id: AttemptId,
    reported: bool,
}

impl<R> AttemptCompletion<R> {
    pub(super) fn new(handler: Rc<dyn CompletionHandler<R>>, id: AttemptId) -> AttemptCompletion<R> {
        AttemptCompletion { handler, id, reported: false }
    }

    /// Reports that the attempt ended.
    pub fn end(mut self, outcome: Outcome, load: Option<policy::LoadReport>, response: Option<R>) {
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
