//! The requests that have no final response yet or have attempts in flight.

use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::oneshot;
use zincstand_policy::{Micros, RequestId, ServerId};

use crate::discovery::endpoint::Target;
use crate::dispatch::completion::AttemptId;
use crate::dispatch::messages::{Failure, FinalResponse};
use crate::dispatch::transport::Transport;

/// An attempt that the policy has started and whose result is not known yet.
pub(super) struct AttemptInFlight<A> {
    /// The attempt's number within its request, from 0.
    pub(super) number: u32,
    pub(super) server: ServerId,
    /// Where it is sent; none if the server is not listed, so that the attempt is not sent at all.
    pub(super) target: Option<Target>,
    /// When its time started.
    pub(super) started: Micros,
    pub(super) time_limit: Micros,
    /// The transport's handle; none before it is sent and once it is aborted.
    pub(super) handle: Option<A>,
}

/// A request with no final response yet or with attempts in flight.
pub(super) struct ActiveRequest<T: Transport> {
    pub(super) request: Rc<T::Request>,
    /// Where the final response goes; none once it was sent or the client disconnected.
    pub(super) responder: Option<oneshot::Sender<FinalResponse<T::Response>>>,
    /// When the client's time is over; none while the request's body is still arriving.
    pub(super) deadline: Option<Micros>,
    /// How long the client waits, counted from the request's last byte.
    pub(super) time_left: Micros,
    /// How many attempts the policy has started.
    pub(super) attempts_started: u32,
    pub(super) attempts: Vec<AttemptInFlight<T::Attempt>>,
    /// What the client is told if the request fails now.
    pub(super) failure: Failure,
}

impl<T: Transport> ActiveRequest<T> {
    pub(super) fn attempt_mut(&mut self, number: u32) -> Option<&mut AttemptInFlight<T::Attempt>> {
        self.attempts.iter_mut().find(|attempt| attempt.number == number)
    }

    /// The attempts that were handed to the transport and have no connection yet.
    fn unconnected_attempts(&self) -> impl Iterator<Item = &AttemptInFlight<T::Attempt>> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.handle.as_ref().is_some_and(|handle| !T::has_connection(handle)))
    }

    fn is_done(&self) -> bool {
        self.responder.is_none() && self.attempts.is_empty()
    }
}

/// All active requests by id.
pub(super) struct ActiveRequests<T: Transport> {
    by_id: HashMap<RequestId, ActiveRequest<T>>,
    next_id: RequestId,
}

impl<T: Transport> ActiveRequests<T> {
    pub(super) fn new() -> ActiveRequests<T> {
        ActiveRequests { by_id: HashMap::new(), next_id: 0 }
    }

    /// Adds a request under a new id.
    pub(super) fn insert(&mut self, request: ActiveRequest<T>) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.by_id.insert(id, request);
        id
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&ActiveRequest<T>> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut ActiveRequest<T>> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut AttemptInFlight<T::Attempt>> {
        self.get_mut(id.request)?.attempt_mut(id.number)
    }

    /// Takes the sender of the final response: whoever has it is the only one to respond.
    pub(super) fn take_responder(
        &mut self,
        id: RequestId,
    ) -> Option<oneshot::Sender<FinalResponse<T::Response>>> {
        self.get_mut(id)?.responder.take()
    }

    /// Removes a request that has its final response and no attempt in flight.
    pub(super) fn forget_if_done(&mut self, id: RequestId) {
        if self.get(id).is_some_and(ActiveRequest::is_done) {
            self.by_id.remove(&id);
        }
    }

    /// The attempts without a connection of a request whose client no longer waits, in order.
    pub(super) fn unconnected_without_client(&self, id: RequestId) -> Vec<AttemptId> {
        let Some(active) = self.get(id).filter(|active| active.responder.is_none()) else {
            return Vec::new();
        };
        let mut attempts: Vec<_> = active
            .unconnected_attempts()
            .map(|attempt| AttemptId { request: id, number: attempt.number })
            .collect();
        attempts.sort_unstable();
        attempts
    }

    /// The attempts of all requests that have no connection and go to a target that `selected` names, in order.
    pub(super) fn unconnected_to(&self, selected: impl Fn(Target) -> bool) -> Vec<AttemptId> {
        let mut attempts = Vec::new();
        for (&request, active) in &self.by_id {
            for attempt in active.unconnected_attempts() {
                if attempt.target.is_some_and(&selected) {
                    attempts.push(AttemptId { request, number: attempt.number });
                }
            }
        }
        attempts.sort_unstable();
        attempts
    }
}
