//! The requests of a balancer whose ids are in use, on the wire and in the policy.

use std::collections::HashMap;

use zincstand_policy::RequestId;

/// A request whose id is in use.
struct OpenRequest {
    /// Id of the request on the wire.
    wire_id: String,
    /// Number of attempts without an outcome.
    attempts_in_flight: u32,
    /// Whether the request has its final answer.
    is_finished: bool,
}

/// Requests that have no final answer, or attempts without an outcome.
#[derive(Default)]
pub struct OpenRequests {
    id_by_wire_id: HashMap<String, RequestId>,
    requests: HashMap<RequestId, OpenRequest>,
    next_id: RequestId,
}

impl OpenRequests {
    /// Adds a request and returns its id in the policy.
    pub fn open(&mut self, wire_id: String) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.id_by_wire_id.insert(wire_id.clone(), id);
        self.requests.insert(id, OpenRequest { wire_id, attempts_in_flight: 0, is_finished: false });
        id
    }

    /// Returns the id of a request in the policy, `None` if it is not open.
    pub fn id(&self, wire_id: &str) -> Option<RequestId> {
        self.id_by_wire_id.get(wire_id).copied()
    }

    /// Returns the id of a request on the wire, empty if it is not open. The policy does not act on such a
    /// request.
    pub fn wire_id(&self, id: RequestId) -> &str {
        self.requests.get(&id).map_or("", |open| open.wire_id.as_str())
    }

    /// Records that an attempt of the request is sent.
    pub fn record_attempt(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.attempts_in_flight += 1;
        }
    }

    /// Records the outcome of an attempt, and whether the request has its final answer.
    pub fn record_outcome(&mut self, id: RequestId, is_final: bool) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
            open.is_finished |= is_final;
        }
    }

    /// Records that the request has its final answer, and removes it if each attempt has an outcome.
    pub fn finish(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.is_finished = true;
        }
        self.remove_if_settled(id);
    }

    /// Removes a request that has its final answer and an outcome for each attempt.
    pub fn remove_if_settled(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get(&id)
            && open.is_finished
            && open.attempts_in_flight == 0
        {
            self.id_by_wire_id.remove(&open.wire_id);
            self.requests.remove(&id);
        }
    }
}
