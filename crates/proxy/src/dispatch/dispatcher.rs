//! The dispatcher: the only caller of the policy. It turns requests, results, lists and timers into events for the
//! policy, and the policy's actions into calls of the transport and responses.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use tokio::sync::Notify;
use zincstand_policy as policy;
use zincstand_policy::{Action, Event, Micros, Outcome, RequestId, ServerId};
use zincstand_settings::Names;

use crate::discovery::registry::Registry;
use crate::dispatch::active_requests::ActiveRequests;
use crate::dispatch::clock::Clock;
use crate::dispatch::completion::AttemptId;
use crate::dispatch::messages::{Failure, FinalResponse, HealthCheckResult};
use crate::dispatch::timers::{TimerKind, TimerQueue};
use crate::dispatch::transport::Transport;
use crate::lifecycle::overrides::OverrideStore;
use crate::log::log_line;

/// A request that the policy has left without a response fails this long before the client's deadline.
pub(super) const LAST_RESORT_MARGIN: Micros = 5_000;

/// Owns the policy, the active requests and the timers.
pub struct Dispatcher<T: Transport> {
    pub(super) transport: T,
    pub(super) clock: Clock,
    /// The operators' overrides; other processes may change them too.
    pub(super) overrides: Rc<OverrideStore>,
    /// The version of the overrides that the policy knows.
    pub(super) applied_overrides: Cell<u64>,
    pub(super) limits: policy::Limits,
    pub(super) policy: RefCell<policy::Balancer>,
    pub(super) requests: RefCell<ActiveRequests<T>>,
    pub(super) timers: RefCell<TimerQueue>,
    pub(super) registry: RefCell<Registry>,
    /// Events that the policy has not handled yet, in order.
    pub(super) pending_events: RefCell<VecDeque<Event>>,
    /// Whether [`handle_event`](Self::handle_event) is at work further up the stack.
    handling_events: Cell<bool>,
    pub(super) has_endpoint_list: Cell<bool>,
    /// Wakes the timer task for a timer that is due before all others.
    pub(super) earlier_timer: Notify,
}

impl<T: Transport> Dispatcher<T> {
    /// A dispatcher with the given settings; `zones` holds the zone ids that the settings use.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub fn new(
        settings: policy::Settings,
        zones: &Names,
        seed: u64,
        overrides: Rc<OverrideStore>,
        transport: T,
    ) -> Result<Rc<Self>, policy::SettingsError> {
        let mut registry = Registry::new(zones);
        registry.apply_overrides(&overrides.current());
        let limits = settings.limits.clone();
        let policy = policy::Balancer::new(settings, seed)?;
        Ok(Rc::new(Dispatcher {
            transport,
            clock: Clock::new(),
            applied_overrides: Cell::new(overrides.version()),
            overrides,
            limits,
            policy: RefCell::new(policy),
            requests: RefCell::new(ActiveRequests::new()),
            timers: RefCell::new(TimerQueue::new()),
            registry: RefCell::new(registry),
            pending_events: RefCell::new(VecDeque::new()),
            handling_events: Cell::new(false),
            has_endpoint_list: Cell::new(false),
            earlier_timer: Notify::new(),
        }))
    }

    /// Whether a list of endpoints was received, be it the cached one.
    pub fn has_endpoint_list(&self) -> bool {
        self.has_endpoint_list.get()
    }

    pub(super) fn set_last_resort(&self, request: RequestId, deadline: Micros) {
        self.set_timer(deadline.saturating_sub(LAST_RESORT_MARGIN), TimerKind::LastResort(request));
    }

    /// The last byte of a request's body has arrived: the request's time starts, and that of its attempts.
    pub(super) fn body_completed(self: &Rc<Self>, request: RequestId) {
        let now = self.clock.now();
        let mut attempt_limits = Vec::new();
        let deadline = {
            let mut requests = self.requests.borrow_mut();
            let Some(active) = requests.get_mut(request) else { return };
            let deadline = now + active.time_left;
            active.deadline = Some(deadline);
            let time_left = active.time_left.saturating_sub(LAST_RESORT_MARGIN);
            for attempt in &mut active.attempts {
                attempt.started = now;
                let id = AttemptId { request, number: attempt.number };
                attempt_limits.push((id, attempt.time_limit.min(time_left)));
            }
            deadline
        };
        self.set_last_resort(request, deadline);
        for (attempt, time_limit) in attempt_limits {
            self.set_timer(now + time_limit, TimerKind::AttemptLimit(attempt));
        }
        self.submit_event(Event::BodyComplete { request });
    }

    /// The client does not wait any longer. Without effect if the request has its final response.
    pub(super) fn client_disconnected(self: &Rc<Self>, request: RequestId) {
        let had_no_response = self.requests.borrow_mut().take_responder(request).is_some();
        if !had_no_response {
            return;
        }
        self.submit_event(Event::ClientDisconnected { request });
        // Spares the upstreams requests that still wait for a connection: nobody waits for their response.
        let unconnected = self.requests.borrow().unconnected_without_client(request);
        for attempt in unconnected {
            self.abort_attempt(attempt, Outcome::Cancelled);
        }
        self.requests.borrow_mut().forget_if_done(request);
    }

    /// Passes an event to the policy, after the operators' overrides that have changed in the meantime.
    pub(super) fn submit_event(self: &Rc<Self>, event: Event) {
        self.apply_overrides();
        self.handle_event(event);
    }

    /// Passes events to the policy in their order and applies its actions. An event that arises from an action is
    /// queued, and handled once all actions of the event before it are applied.
    pub(super) fn handle_event(self: &Rc<Self>, event: Event) {
        self.pending_events.borrow_mut().push_back(event);
        if self.handling_events.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.pending_events.borrow_mut().pop_front() else { break };
            let now = self.clock.now();
            let handled = catch_unwind(AssertUnwindSafe(|| {
                self.policy.borrow_mut().handle(now, event, &mut actions);
            }));
            // The process goes on for the sake of the other requests. Those that the policy has left without a
            // response fail by their last-resort timer.
            if handled.is_err() {
                log_line!("defect: the policy panicked while it handled an event");
            }
            for action in actions.drain(..) {
                self.apply(now, action);
            }
        }
        self.handling_events.set(false);
    }

    fn apply(self: &Rc<Self>, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.start_attempt(now, request, server, limit),
            Action::Reject { request, retry_after } => {
                let retry_after = if self.limits.retry_after { retry_after } else { 0 };
                self.respond(request, |_| FinalResponse::Rejected { retry_after });
            }
            Action::Fail { request } => self.respond(request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => {
                self.abort_attempt(AttemptId { request, number: attempt }, Outcome::Cancelled);
            }
            Action::HealthCheck { server } => self.check_health(server),
            Action::CloseIdle { server } => self.transport.close_idle(server),
            Action::Timer { delay, token } => self.set_timer(now + delay, TimerKind::Policy { token }),
            Action::Watch => self.transport.watch(self.list_handler()),
            Action::Fetch => self.transport.fetch(self.list_handler()),
        }
    }

    /// Sends the final response that `response` makes of the request's failure, if there was none yet.
    fn respond(&self, id: RequestId, response: impl FnOnce(Failure) -> FinalResponse<T::Response>) {
        let mut requests = self.requests.borrow_mut();
        let Some(active) = requests.get_mut(id) else { return };
        if let Some(responder) = active.responder.take() {
            let _ = responder.send(response(active.failure));
        }
        requests.forget_if_done(id);
    }

    fn check_health(self: &Rc<Self>, server: ServerId) {
        let Some(target) = self.registry.borrow().target(server) else { return };
        let dispatcher = self.clone();
        self.transport.health_check(target, move |result| dispatcher.health_checked(server, result));
    }

    fn health_checked(self: &Rc<Self>, server: ServerId, result: HealthCheckResult) {
        self.submit_event(Event::HealthChecked {
            server,
            outcome: result.outcome,
            latency: result.latency.as_micros() as Micros,
            load: result.load,
        });
    }
}
