//! Arrival of a request and its body, cancellation by the client, and rejection.

use super::Balancer;
use crate::admission;
use crate::event::{Action, EndReason, Micros, RequestId};
use crate::request::{NewRequest, Request};
use crate::time_limits;

impl Balancer {
    /// Queues a request. If too many requests are then queued, rejects one of the least valuable class. A
    /// request of an unknown class fails at once.
    pub(super) fn admit(&mut self, id: RequestId, new: &NewRequest) {
        let settings = &self.context.settings;
        let Some(class) = settings.classes.get(new.class) else {
            self.actions.push(Action::Fail { request: id, reason: EndReason::UnknownClass });
            return;
        };
        self.queues.enqueue(new.class, id);
        let useful_time = time_limits::useful_time(settings, class, new.work);
        let recent_requests = self.queues.recent_offered(new.class);
        let work_scale = self.latencies.record_work(new.class, new.work, recent_requests);
        self.requests.insert(id, Request::new(new, self.context.now(), useful_time, work_scale));
        if let Some(shed) = self.queues.shed(settings, &self.latencies, self.fleet.total_limit()) {
            self.reject(shed, EndReason::Overload);
        }
    }

    /// Starts the clock of a request whose body is complete, and gives its attempt a slot. The client still
    /// waits for `time_left`.
    ///
    /// Until then the request causes the server no work: a slow upload must neither occupy a slot nor count
    /// as latency of the server.
    pub(super) fn complete_body(&mut self, id: RequestId, time_left: Micros) {
        if let Some(request) = self.requests.get_mut(&id).filter(|request| request.body_pending()) {
            request.complete_body(self.context.now(), time_left);
            self.fleet.take_slot_by_id(request.current_server());
        }
    }

    /// Drops a request whose client has disconnected.
    ///
    /// An attempt that was in flight for longer than the lowest median counts as a late response. Otherwise
    /// slow servers would appear fast wherever clients give up on the slowest calls. A shorter attempt does
    /// not count: clients also disconnect for other reasons, and counting these would shrink the limit of
    /// idle servers.
    pub(super) fn cancel(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        if request.body_pending() {
            // The attempt has no slot yet, but its outcome releases one.
            self.fleet.take_slot_by_id(request.current_server());
            return;
        }
        let Some(placement) = request.attempt_placement() else { return };
        let expected_latency = self.latencies.lowest_median(request.class()) * request.work_scale();
        let elapsed = self.context.now().saturating_sub(placement.sent_at) as f64;
        if elapsed > expected_latency
            && let Some(zone) = self.fleet.zone_mut(placement.zone)
        {
            zone.limit.record_late_cancel();
        }
    }

    /// Sends the final response to a request that is not served: a rejection where the client may retry, a
    /// failure otherwise.
    pub(super) fn reject(&mut self, id: RequestId, reason: EndReason) {
        let Some(request) = self.requests.remove(&id) else { return };
        let median = self.latencies.class_median(request.class());
        let queue_drain_time = self.queues.len() as f64 * self.mean_send_interval();
        let response = match admission::retry_after(&self.context, &request, median, queue_drain_time) {
            Some(retry_after) => Action::Reject { request: id, retry_after, reason },
            None => Action::Fail { request: id, reason },
        };
        self.actions.push(response);
    }
}
