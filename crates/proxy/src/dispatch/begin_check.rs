//! The check of an attempt's decision immediately before the attempt's first byte. The connection may have been established
//! late, or the process may have been suspended, so the time and the state on which the policy decided may have changed.

use std::fmt::{self, Display, Formatter};
use std::rc::{Rc, Weak};

use zincstand_policy::Micros;

use crate::discovery::endpoint::Target;
use crate::dispatch::completion::AttemptId;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::transport::Transport;

/// Why the decision to start an attempt no longer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReason {
    /// The attempt was aborted, or its request has its final response or lost its client.
    NotAwaited,
    /// The endpoint drains, was removed, excluded or restarted, or has another address.
    EndpointChanged,
    /// The time within which the policy allowed the attempt to begin is over.
    BeginLimit,
    /// The time limit of the attempt is over.
    TimeLimit,
}

impl Display for StaleReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StaleReason::NotAwaited => "nobody waits for its response",
            StaleReason::EndpointChanged => "the endpoint has changed",
            StaleReason::BeginLimit => "it may no longer begin",
            StaleReason::TimeLimit => "its time is over",
        })
    }
}

/// Checks one attempt. Must be called outside of the dispatcher's methods, immediately before the first byte is written.
pub type BeginCheck = Rc<dyn Fn() -> Result<(), StaleReason>>;

/// The conditions under which an attempt may begin.
#[derive(Clone, Copy)]
pub(super) struct BeginConditions {
    /// The endpoint as it was when the attempt was decided; `None` if it was not listed.
    pub(super) target: Option<Target>,
    /// Time before which the attempt must begin, in microseconds of Unix time; `None` without a limit.
    pub(super) begin_before: Option<Micros>,
    /// Time at which the attempt's limit ends, in microseconds of Unix time; `None` while the limit does not run.
    pub(super) ends_at: Option<Micros>,
}

impl<T: Transport> Dispatcher<T> {
    /// Returns the check of an attempt.
    pub(super) fn begin_check(self: &Rc<Self>, attempt: AttemptId) -> BeginCheck {
        let dispatcher: Weak<Self> = Rc::downgrade(self);
        Rc::new(move || match dispatcher.upgrade() {
            Some(dispatcher) => dispatcher.check_begin(attempt),
            None => Err(StaleReason::NotAwaited),
        })
    }

    /// Returns whether an attempt may begin now.
    fn check_begin(&self, attempt: AttemptId) -> Result<(), StaleReason> {
        let conditions = self.requests.begin_conditions(attempt).ok_or(StaleReason::NotAwaited)?;
        let now = self.clock.now();
        if !conditions.target.is_some_and(|target| self.endpoints.accepts_requests(target)) {
            return Err(StaleReason::EndpointChanged);
        }
        if conditions.begin_before.is_some_and(|begin_before| now >= begin_before) {
            return Err(StaleReason::BeginLimit);
        }
        if conditions.ends_at.is_some_and(|ends_at| now >= ends_at) {
            return Err(StaleReason::TimeLimit);
        }
        Ok(())
    }
}
