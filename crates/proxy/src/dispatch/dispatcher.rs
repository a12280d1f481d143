//! The dispatcher: the only caller of the policy. It turns requests, results, lists and timers into events for the
//! policy, and the policy's actions into calls of the transport and responses.

use std::rc::Rc;

use zincstand_policy as policy;
use zincstand_policy::{Action, Event, Micros, Outcome, ServerId};
use zincstand_settings::Names;

use crate::dispatch::active_requests::ActiveRequests;
use crate::dispatch::applied_overrides::AppliedOverrides;
use crate::dispatch::attempts::SendLimits;
use crate::dispatch::clock::Clock;
use crate::dispatch::completion::AttemptId;
use crate::dispatch::endpoint_table::EndpointTable;
use crate::dispatch::event_queue::EventQueue;
use crate::dispatch::messages::{FinalResponse, HealthCheckResult};
use crate::dispatch::policy_owner::PolicyOwner;
use crate::dispatch::timers::{TimerKind, Timers};
use crate::dispatch::transport::Transport;
use crate::lifecycle::overrides::OverrideStore;

/// Owns the policy, the active requests and the timers.
///
/// Each field that owns mutable state borrows it only for the duration of one method call, and during that call only
/// queries other fields. A method of the dispatcher may therefore call any other method of the dispatcher at any point, also
/// while an action of the policy is applied.
pub struct Dispatcher<T: Transport> {
    /// The connections to upstreams and to discovery.
    pub(super) transport: T,
    /// The clock of all times that the policy is given.
    pub(super) clock: Clock,
    /// The limits of the settings, which the dispatcher enforces regardless of the policy's decisions.
    pub(super) limits: policy::Limits,
    /// The policy's state.
    pub(super) policy: PolicyOwner,
    /// Events that the policy has not handled yet.
    pub(super) events: EventQueue,
    /// The requests without a final response or with attempts in flight.
    pub(super) requests: ActiveRequests<T>,
    /// The timers of the policy and of the requests.
    pub(super) timers: Timers,
    /// The endpoints that discovery has listed.
    pub(super) endpoints: EndpointTable,
    /// The operator overrides, with the version that was last applied to the policy.
    pub(super) overrides: AppliedOverrides,
}

impl<T: Transport> Dispatcher<T> {
    /// Returns a dispatcher with the given settings. `zones` holds the zone ids that the settings use; `seed` seeds the
    /// policy's random numbers.
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
        let overrides = AppliedOverrides::new(overrides);
        let endpoints = EndpointTable::new(zones);
        // The returned update is empty, because there are no endpoints yet.
        endpoints.apply_overrides(&overrides.current());
        Ok(Rc::new(Dispatcher {
            transport,
            clock: Clock::new(),
            limits: settings.limits.clone(),
            policy: PolicyOwner::new(settings, seed)?,
            events: EventQueue::default(),
            requests: ActiveRequests::new(),
            timers: Timers::new(),
            endpoints,
            overrides,
        }))
    }

    /// Returns whether a list of endpoints was received. The cached list counts.
    pub fn has_endpoint_list(&self) -> bool {
        self.endpoints.has_list()
    }

    /// Returns the number of endpoints that have an id.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.count()
    }

    /// Applies the operator overrides if they have changed, and then passes an event to the policy.
    pub(super) fn submit_event(self: &Rc<Self>, event: Event) {
        self.apply_overrides();
        self.handle_event(event);
    }

    /// Passes an event to the policy and applies the resulting actions. An event that arises from an action is queued, and
    /// handled once all actions of the event before it are applied.
    pub(super) fn handle_event(self: &Rc<Self>, event: Event) {
        self.events.push(event);
        if !self.events.begin_handling() {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = self.events.next() {
            let now = self.clock.now();
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply(now, action);
            }
        }
    }

    fn apply(self: &Rc<Self>, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, limit, begin_within } => {
                let limits = SendLimits { time_limit: limit, begin_within };
                self.start_attempt(now, request, server, limits);
            }
            Action::Reject { request, retry_after, reason } => {
                self.requests.log_not_served(request, "refused", reason);
                let retry_after = if self.limits.retry_after { retry_after } else { 0 };
                self.requests.respond(request, |_| FinalResponse::Rejected { retry_after });
            }
            Action::Fail { request, reason } => {
                self.requests.log_not_served(request, "failed", reason);
                self.requests.respond(request, FinalResponse::Failed);
            }
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

    /// Starts a health check of a server, unless the server is not listed or is excluded.
    fn check_health(self: &Rc<Self>, server: ServerId) {
        let Some(target) = self.endpoints.target(server) else { return };
        let dispatcher = self.clone();
        self.transport.health_check(target, move |result| dispatcher.on_health_check_result(server, result));
    }

    fn on_health_check_result(self: &Rc<Self>, server: ServerId, result: HealthCheckResult) {
        self.submit_event(Event::HealthChecked {
            server,
            outcome: result.outcome,
            latency: result.latency.as_micros() as Micros,
            load: result.load,
        });
    }
}
