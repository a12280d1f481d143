//! The balancer: its state, its construction, and the dispatch of events to the decisions.
//!
//! [`admit`], [`send`] and [`complete`] handle the stages of a request; [`decay`] handles the timers.

mod admit;
mod complete;
mod decay;
mod send;

use std::collections::BTreeMap;

use crate::admission::Queues;
use crate::context::Context;
use crate::decaying_rate::DecayingRate;
use crate::endpoints::{FIRST_POLL, POLL_AFTER_FAILURE, PollDelay};
use crate::event::{Action, Event, ListKind, Micros, RequestId};
use crate::fleet::Fleet;
use crate::idle_connections::IdleConnections;
use crate::latency::{Latencies, MIN_SAMPLES};
use crate::outlier::OutlierDetector;
use crate::request::{AttemptEnd, Continuation, NewRequest, Request};
use crate::retry::RetryBudget;
use crate::settings::{DiscoveryMode, Settings, SettingsError};
use crate::slow_start;
use crate::time_limits;

/// The state and the decisions of one balancer.
///
/// The caller delivers each event to [`handle`](Balancer::handle) and carries out the actions that it
/// appends.
pub struct Balancer {
    context: Context,
    /// Actions that follow from the event being handled.
    actions: Vec<Action>,
    fleet: Fleet,
    /// Requests without a final response. The first byte of a streamed response counts as the final response.
    requests: BTreeMap<RequestId, Request>,
    queues: Queues,
    latencies: Latencies,
    /// Requests that wait for a retry: until their backoff ends, or until a server that may take them is
    /// free.
    retries: Vec<RequestId>,
    retry_budget: RetryBudget,
    /// Rate of the attempts sent. Its half-life is the longest deadline of all classes.
    send_rate: DecayingRate,
    outliers: OutlierDetector,
    idle_connections: IdleConnections,
    /// Time between two checks for queued requests that have expired.
    expiry_interval: Micros,
    /// The timer of the next expiry check is set.
    expiry_scheduled: bool,
    /// Time of the last decay of the statistics, `None` before the first event.
    last_decay: Option<Micros>,
}

impl Balancer {
    /// Creates a balancer without servers. The same seed, settings and events give the same actions.
    ///
    /// # Errors
    ///
    /// Returns the first error that [`Settings::check`] finds.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let classes = settings.classes.len();
        // Samples decay by half over the longest deadline, so that a change shows within seconds.
        let half_life = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(1) as f64;
        Ok(Balancer {
            actions: Vec::new(),
            fleet: Fleet::default(),
            requests: BTreeMap::new(),
            queues: Queues::new(classes),
            latencies: Latencies::new(classes),
            retries: Vec::new(),
            retry_budget: RetryBudget::full(),
            send_rate: DecayingRate::new(half_life),
            outliers: OutlierDetector::new(half_life),
            idle_connections: IdleConnections::new(),
            expiry_interval: decay::expiry_interval(&settings),
            expiry_scheduled: false,
            last_decay: None,
            context: Context::new(settings, seed),
        })
    }

    /// Handles one event and appends the actions that follow, to be carried out in order.
    ///
    /// `now` must never be less than in the call before. Events about unknown requests or servers are
    /// ignored.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.context.advance_to(now);
        if self.last_decay.is_none() {
            self.start();
        }
        self.dispatch(event);
        self.send_retries();
        self.send_queued();
        self.schedule_expiry();
        actions.append(&mut self.actions);
    }

    /// Returns the number of servers examined so far by all decisions: a measure of their cost that does not
    /// depend on the machine.
    pub fn servers_examined(&self) -> u64 {
        self.context.servers_examined()
    }

    /// Starts the statistics and, where discovery is polled, the polling. Runs before the first event.
    fn start(&mut self) {
        self.send_rate.start(self.context.now());
        self.decay_statistics();
        if self.context.settings.discovery == DiscoveryMode::Poll {
            self.schedule_poll(&FIRST_POLL);
        }
    }

    /// Passes an event to its handler.
    fn dispatch(&mut self, event: Event) {
        match event {
            Event::EndpointList { kind: ListKind::Failed, .. } => self.schedule_poll(&POLL_AFTER_FAILURE),
            Event::EndpointList { kind, entries } => {
                let send_interval = self.mean_send_interval();
                self.fleet.apply(&mut self.context, kind, entries, send_interval);
            }
            Event::Request { id, class, time_left, work, body_pending, .. } => {
                self.admit(id, &NewRequest { class, time_left, work, body_pending });
            }
            Event::BodyComplete { request, time_left } => self.complete_body(request, time_left),
            Event::Outcome { request, server, outcome, latency, finished, body_consumed, .. } => {
                let continuation = Continuation::new(finished, body_consumed);
                self.record_outcome(request, AttemptEnd::new(server, outcome, latency, continuation));
            }
            Event::ResponseStarted { request, server, latency } => {
                self.record_outcome(request, AttemptEnd::response_started(server, latency));
            }
            Event::ResponseEnded { server, class, end } => self.record_response_end(server, class, end),
            // A streamed response that has begun cannot be retried, and no time limit applies to it any more.
            // Its outcome still releases the slot.
            Event::FirstByte { request, .. } => drop(self.requests.remove(&request)),
            Event::ClientDisconnected { request } => self.cancel(request),
            Event::Timer { token } => self.handle_timer(token),
            Event::HealthChecked { .. } => {}
        }
    }

    fn schedule_poll(&mut self, poll: &PollDelay) {
        let delay = poll.draw(&mut self.context);
        self.actions.push(Action::Timer { delay, token: decay::POLL_TIMER });
    }

    /// Mean interval between two attempts of this balancer, in microseconds.
    fn mean_send_interval(&self) -> f64 {
        self.send_rate.mean_interval(self.context.now(), MIN_SAMPLES)
    }

    /// Minimum mean interval between attempts to a server that is warming up, in microseconds, before scaling
    /// by its current capacity.
    fn warm_up_interval(&self) -> f64 {
        let rules = &self.context.settings.rules;
        slow_start::warm_up_interval(self.mean_send_interval(), self.fleet.ready_servers(), rules)
    }

    /// Whether no attempt can succeed any more: too little time is left, or all servers are draining.
    fn cannot_finish(&self, request: &Request) -> bool {
        self.fleet.all_draining()
            || time_limits::cannot_finish(&self.latencies, &self.context, request, self.expiry_interval)
    }
}
