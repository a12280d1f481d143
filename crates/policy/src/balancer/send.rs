//! Dispatch of retries and queued requests, and the start of an attempt.

use super::Balancer;
use crate::context::Context;
use crate::event::{Action, ClassId, EndReason, Micros, RequestId, ServerEntry};
use crate::idle_connections::IdleConnections;
use crate::request::Request;
use crate::retry;
use crate::selection::{self, Selection};
use crate::slow_start::{self, PauseAfter};
use crate::time_limits;

impl Balancer {
    /// Sends the retries whose backoff is over where a server is free, and rejects those that cannot succeed.
    pub(super) fn send_retries(&mut self) {
        for id in std::mem::take(&mut self.retries) {
            let Some(request) = self.requests.get(&id) else { continue };
            if self.cannot_finish(request) {
                self.reject(id, EndReason::CannotFinish);
            } else if retry::dedup_window_expired(&self.context, request) {
                self.reject(id, EndReason::DedupWindowExpired);
            } else if request.not_before() > self.context.now() {
                self.retries.push(id);
            } else if let Some(server) = self.select_server(id) {
                self.send(id, server);
            } else {
                self.retries.push(id);
            }
        }
    }

    /// Sends queued requests, the most valuable class first, until no server is free.
    pub(super) fn send_queued(&mut self) {
        if self.queues.is_empty() {
            return;
        }
        let order = self.queues.class_order(&self.context.settings, &self.latencies);
        while order.iter().any(|&class| self.dequeue_one(class)) {}
    }

    /// Sends or rejects one queued request of the class. Returns whether one has left the queue.
    ///
    /// The newest request goes first, since it has the most time left. If the servers that it may use are
    /// full, the newest request that has waited long enough to leave its zone is next, so that slots in other
    /// zones are not spent on requests that are unlikely to finish in time.
    fn dequeue_one(&mut self, class: ClassId) -> bool {
        let newest = self.queues.queued(class).len().checked_sub(1);
        if self.dequeue_at(class, newest) {
            return true;
        }
        let newest_that_may_cross = self.newest_that_may_cross_zones(class);
        self.dequeue_at(class, newest_that_may_cross)
    }

    /// Position of the newest queued request of the class that may leave its zone. The queue is in order of
    /// arrival, so all requests before it may leave theirs too.
    fn newest_that_may_cross_zones(&self, class: ClassId) -> Option<usize> {
        let may_cross =
            |id: &RequestId| self.requests.get(id).is_none_or(|request| self.may_cross_zones(request));
        self.queues.queued(class).partition_point(may_cross).checked_sub(1)
    }

    /// Sends the queued request at `position`, or rejects it if it cannot finish any more. Returns whether it
    /// has left the queue; it stays while no server is free.
    fn dequeue_at(&mut self, class: ClassId, position: Option<usize>) -> bool {
        let Some(position) = position else { return false };
        let Some(&id) = self.queues.queued(class).get(position) else { return false };
        if self.requests.get(&id).is_none_or(|request| self.cannot_finish(request)) {
            self.queues.remove(class, position);
            self.reject(id, EndReason::CannotFinish);
            return true;
        }
        let Some(server) = self.select_server(id) else { return false };
        self.queues.remove(class, position);
        self.send(id, server);
        true
    }

    fn may_cross_zones(&self, request: &Request) -> bool {
        selection::may_cross_zones(
            &self.context,
            request,
            self.latencies.class_or_overall_median(request.class()),
        )
    }

    /// Index of the server for the request's next attempt, `None` while none is free.
    fn select_server(&mut self, id: RequestId) -> Option<usize> {
        let request = self.requests.get(&id)?;
        let may_cross = self.may_cross_zones(request);
        let priority = self.queues.priority(request.class());
        Selection::new(&mut self.context, &self.fleet, request, priority, may_cross).select()
    }

    /// Sends an attempt to the server at `index`.
    fn send(&mut self, id: RequestId, index: usize) {
        let warm_up_interval = self.warm_up_interval();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let limit = time_limits::attempt_limit(&self.latencies, &self.context, request);
        if !request.body_pending() {
            self.fleet.take_slot(index);
        }
        let server = self.fleet.server_mut(index);
        let begin_within = begin_limit(&self.context, request, server.entry());
        self.send_rate.record();
        server.breakers.start_attempt(request.class());
        slow_start::pause_if_warming_up(&mut self.context, server, warm_up_interval, &PauseAfter::Attempt);
        let now = self.context.now();
        let mut idle_bucket = IdleConnections::bucket(server.take_idle_connection(now));
        let idempotency = self.context.settings.classes[request.class()].idempotency;
        if self.idle_connections.must_close(idle_bucket, idempotency) {
            self.actions.push(Action::CloseIdle { server: server.entry().id });
            server.clear_idle_connections();
            idle_bucket = 0;
        }
        if request.attempts() == 0 {
            self.retry_budget.deposit();
        }
        request.start_attempt(now, server.entry(), limit.timeout_attribution, idle_bucket);
        self.actions.push(Action::Send {
            request: id,
            server: server.entry().id,
            limit: limit.duration,
            begin_within,
        });
    }
}

/// Returns the time within which an attempt must begin for its decision to hold, `None` without a limit: a
/// repeat within its window, and an attempt to a server that is warming up close to the time for which slow
/// start admitted it.
fn begin_limit(context: &Context, request: &Request, entry: &ServerEntry) -> Option<Micros> {
    let window = retry::remaining_dedup_window(context, request);
    let slow_start = slow_start::begin_limit(context, entry);
    window.into_iter().chain(slow_start).min()
}
