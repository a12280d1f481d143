//! A balancer that is measured without a simulated world and without sockets.

use std::collections::VecDeque;

use zincstand_policy::{
    Action, Balancer, Class, Event, Idempotency, ListKind, Micros, Outcome, RequestId, ServerEntry, ServerId,
    Settings,
};

/// Number of zones of the planned fleet.
const ZONES: u32 = 14;
/// Number of queued requests in measurements with a queue.
pub const QUEUED_REQUESTS: usize = 50;
/// Number of requests and outcomes after which a new balancer has learned its percentiles.
const WARM_UP_PAIRS: u32 = 256;
/// Time between two events, in microseconds.
const EVENT_INTERVAL: Micros = 10;

/// Whether the balancer shares the servers with others.
#[derive(Clone, Copy, PartialEq)]
pub enum Sharing {
    /// One balancer for all servers.
    Alone,
    /// As many balancers as servers, so that the fair share of each is about one server.
    OneOfMany,
}

impl Sharing {
    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Sharing::Alone => "alone",
            Sharing::OneOfMany => "one of many",
        }
    }
}

/// An attempt that the balancer has sent.
struct AttemptInFlight {
    request: RequestId,
    server: ServerId,
}

/// A balancer, its requests and a clock.
pub struct BalancerBench {
    balancer: Balancer,
    now: Micros,
    next_request: RequestId,
    /// Attempts in flight, the oldest first.
    in_flight: VecDeque<AttemptInFlight>,
    queued: usize,
    actions: Vec<Action>,
    outcomes: u64,
}

/// Returns the settings of a balancer with one class of idempotent requests.
fn settings(servers: u32, sharing: Sharing) -> Settings {
    let class = Class {
        idempotency: Idempotency::Idempotent,
        latency_objective: 1_000_000,
        objective_per_work: 0.0,
        deadline: 1_000_000_000,
        priority_weight: 1.0,
        late_weight: 0.5,
        streaming: false,
    };
    let mut settings = Settings::new(vec![class]);
    settings.zone_count = ZONES.min(servers);
    if sharing == Sharing::OneOfMany {
        settings.balancer_count = servers;
        settings.balancer_index = servers / 2;
        settings.zone = settings.balancer_index % settings.zone_count;
    }
    settings
}

impl BalancerBench {
    /// Creates a balancer that knows this many servers and has learned its percentiles.
    pub fn new(servers: u32, sharing: Sharing) -> BalancerBench {
        let settings = settings(servers, sharing);
        let zones = settings.zone_count;
        let mut balancer = Balancer::new(settings, 1).expect("the settings are valid");
        let mut actions = Vec::new();
        let entry = |id: u32| ServerEntry {
            zone: id % zones,
            ring_position: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..ServerEntry::new(id)
        };
        let entries = (0..servers).map(entry).collect();
        balancer.handle(0, Event::EndpointList { kind: ListKind::Snapshot, entries }, &mut actions);
        actions.clear();
        let mut bench = BalancerBench {
            balancer,
            now: 0,
            next_request: 0,
            in_flight: VecDeque::new(),
            queued: 0,
            actions,
            outcomes: 0,
        };
        for _ in 0..WARM_UP_PAIRS {
            bench.idle_pair();
        }
        bench
    }

    /// Sends requests until the concurrency limit is reached and `QUEUED_REQUESTS` are queued.
    pub fn fill(&mut self) {
        while self.queued < QUEUED_REQUESTS {
            self.request();
        }
    }

    /// Passes an event to the balancer.
    pub fn event(&mut self, event: Event) {
        self.now += EVENT_INTERVAL;
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Passes a new request to the balancer and carries out its actions.
    pub fn request(&mut self) {
        let id = self.next_request;
        self.next_request += 1;
        self.queued += 1;
        self.event(Event::Request {
            id,
            class: 0,
            time_left: 1_000_000_000,
            tenant: None,
            work: None,
            marked_retry: false,
            body_pending: false,
        });
        self.apply_actions();
    }

    /// Passes the outcome of the oldest attempt to the balancer and carries out its actions.
    pub fn outcome(&mut self) {
        let Some(AttemptInFlight { request, server }) = self.in_flight.pop_front() else { return };
        self.outcomes += 1;
        // With one late answer in four, the concurrency limits do not change.
        let latency = if self.outcomes.is_multiple_of(4) { 800_000 } else { 2_000 };
        self.event(Event::Outcome {
            request,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            latency,
            finished: true,
            body_consumed: false,
            load: None,
        });
        self.apply_actions();
    }

    /// Carries out the actions of the balancer.
    pub fn apply_actions(&mut self) {
        for action in self.actions.drain(..) {
            match action {
                Action::Send { request, server, .. } => {
                    self.queued -= 1;
                    self.in_flight.push_back(AttemptInFlight { request, server });
                }
                Action::Reject { .. } | Action::Fail { .. } => self.queued -= 1,
                _ => {}
            }
        }
    }

    /// Passes a request and its outcome to the balancer.
    pub fn idle_pair(&mut self) {
        self.request();
        self.outcome();
    }
}
