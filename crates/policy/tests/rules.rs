//! Random valid sequences of events under random settings: every request gets one final response in time, and
//! no action breaks a rule. The rules are in `common::checker`.

mod common;

use common::fixtures::class;
use common::{AttemptInFlight, MS, Response, SECOND, Simulation, ends_after, ok_after, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use zincstand_policy::{
    Class, DedupScope, DiscoveryMode, Event, Idempotency, ListKind, LoadReporting, Micros, Outcome,
    ServerEntry, ServerState, Settings,
};

/// Number of steps in a sequence.
const STEPS: u64 = 400;
/// Duration of a step.
const STEP_DURATION: Micros = 10 * MS;

fn any_idempotency() -> impl Strategy<Value = Idempotency> {
    let window = (50 * MS)..(3 * SECOND);
    let scope = prop_oneof![Just(DedupScope::All), Just(DedupScope::Zone), Just(DedupScope::Cell)];
    prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NotIdempotent),
        (scope, window).prop_map(|(scope, window)| Idempotency::WithKey { scope, window }),
    ]
}

prop_compose! {
    fn any_class()(
        idempotency in any_idempotency(),
        objective_ms in 50_u64..1_000,
        deadline_in_objectives in 1_u64..4,
        streaming in any::<bool>(),
        weight in 0.0..1.0_f64,
    ) -> Class {
        Class {
            latency_objective: objective_ms * MS,
            deadline: objective_ms * deadline_in_objectives * MS,
            streaming,
            late_weight: if weight > 0.7 { weight } else { 0.0 },
            priority_weight: 1.0 + 10.0 * weight,
            ..class(idempotency)
        }
    }
}

prop_compose! {
    fn any_deployment()(
        tier_count in 1_u32..4,
        tier in 0_u32..3,
        balancer_count in 1_u32..400,
        propagates_deadline in any::<bool>(),
        weight_by_work in any::<bool>(),
        polls in any::<bool>(),
    ) -> Settings {
        let discovery = if polls { DiscoveryMode::Poll } else { DiscoveryMode::Push };
        Settings {
            tier_count,
            tier: tier.min(tier_count - 1),
            zone_count: 3,
            balancer_count,
            balancer_index: balancer_count / 2,
            propagates_deadline,
            weight_by_work,
            discovery,
            ..settings(&[])
        }
    }
}

prop_compose! {
    fn any_settings()(
        classes in prop::collection::vec(any_class(), 1..4),
        mut settings in any_deployment(),
        cancel in any::<bool>(),
        health_checks in any::<bool>(),
        hedging in any::<bool>(),
        max_attempts in 1_u32..6,
        load_reporting in prop_oneof![
            Just(LoadReporting::None),
            Just(LoadReporting::HealthChecks),
            Just(LoadReporting::Responses),
        ],
    ) -> Settings {
        settings.classes = classes;
        settings.limits.cancel = cancel;
        settings.limits.health_checks = health_checks;
        settings.limits.hedging = hedging;
        settings.limits.max_attempts = max_attempts;
        settings.load_reporting = load_reporting;
        settings
    }
}

/// A random sequence of events for one balancer.
struct Sequence {
    simulation: Simulation,
    rng: fastrand::Rng,
    /// Number of servers at the start.
    servers: u32,
    /// One server in four is faulty: those whose id modulo 4 is this number.
    faulty_remainder: u32,
    /// Longest latency of a successful response, in milliseconds.
    max_latency_ms: u64,
}

impl Sequence {
    fn new(settings: Settings, servers: u32, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let entries = (0..servers).map(|id| random_entry(id, &mut rng)).collect();
        let simulation = Simulation::new(settings, entries, seed);
        let faulty_remainder = rng.u32(..4);
        let max_latency_ms = 10 + rng.u64(..200);
        Sequence { simulation, rng, servers, faulty_remainder, max_latency_ms }
    }

    /// Returns true with a probability of one in `n`.
    fn one_in(&mut self, n: u32) -> bool {
        self.rng.u32(..n) == 0
    }

    fn run(mut self) {
        let start = self.simulation.now;
        for step in 0..STEPS {
            self.send_requests();
            self.change_endpoints();
            self.disconnect_client();
            self.send_events_of_unknown_ids();
            self.begin_response();
            self.run_until(start + step * STEP_DURATION);
        }
        let end = self.simulation.now + 10 * SECOND;
        self.simulation.run(end, |_| Response::Never);
        assert!(
            self.simulation.open_requests().is_empty(),
            "requests are open after all deadlines have passed"
        );
    }

    fn send_requests(&mut self) {
        for _ in 0..self.rng.u32(..4) {
            let class = self.rng.usize(..self.simulation.settings.classes.len());
            let deadline = self.simulation.settings.classes[class].deadline;
            let propagates_deadline = self.simulation.settings.propagates_deadline;
            let time_left = if propagates_deadline { self.rng.u64(..=deadline) } else { deadline };
            let work = self.one_in(2).then(|| self.rng.u64(..300) * MS);
            self.simulation.request_hinted(class, time_left, work);
        }
    }

    fn change_endpoints(&mut self) {
        if self.one_in(20) {
            let id = self.rng.u32(..self.servers + 3);
            let mut entry = random_entry(id, &mut self.rng);
            let states = [ServerState::Ready, ServerState::Draining, ServerState::Removed];
            entry.state = states[self.rng.usize(..states.len())];
            entry.started = self.one_in(2).then_some(self.simulation.now);
            self.simulation.list(ListKind::Delta, vec![entry]);
        }
        if self.one_in(60) {
            let ids: Vec<u32> = (0..self.servers).filter(|_| self.rng.u32(..4) > 0).collect();
            let entries = ids.into_iter().map(|id| random_entry(id, &mut self.rng)).collect();
            self.simulation.list(ListKind::Snapshot, entries);
        }
        if self.one_in(40) {
            self.simulation.list(ListKind::Failed, Vec::new());
        }
    }

    fn disconnect_client(&mut self) {
        if self.one_in(15)
            && let Some(&id) = self.simulation.open_requests().first()
        {
            self.simulation.disconnect(id);
        }
    }

    fn send_events_of_unknown_ids(&mut self) {
        if self.one_in(10) {
            self.simulation.handle(Event::Timer { token: self.rng.u64(..) });
            self.simulation.handle(Event::ClientDisconnected { request: u64::MAX });
            self.simulation.handle(Event::HealthChecked {
                server: self.rng.u32(..500),
                outcome: Outcome::Ok,
                latency: MS,
                load: None,
            });
        }
    }

    /// Begins the response to the oldest attempt if all classes have streamed responses.
    fn begin_response(&mut self) {
        let all_streaming = self.simulation.settings.classes.iter().all(|class| class.streaming);
        if let Some(attempt) = self.simulation.in_flight.first().cloned()
            && all_streaming
            && self.simulation.is_open(attempt.request)
        {
            self.simulation.first_byte(&attempt);
        }
    }

    /// Runs until the given time. The simulation asks for the response to an attempt more than once, so a
    /// response depends only on the attempt and on one random number per run.
    fn run_until(&mut self, until: Micros) {
        let seed = self.rng.u64(..);
        let faulty_remainder = self.faulty_remainder;
        let max_latency_ms = self.max_latency_ms;
        self.simulation.run(until, |attempt| {
            let mut rng = attempt_rng(seed, attempt);
            if attempt.server % 4 == faulty_remainder && rng.u32(..3) > 0 {
                let outcomes = [Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset];
                if rng.u32(..2) > 0 {
                    return Response::Never;
                }
                let latency = rng.u64(1..50) * MS;
                return ends_after(latency, outcomes[rng.usize(..outcomes.len())]);
            }
            ok_after(rng.u64(1..=max_latency_ms) * MS)
        });
    }
}

/// Returns a generator that gives the same random numbers for the same attempt.
fn attempt_rng(seed: u64, attempt: &AttemptInFlight) -> fastrand::Rng {
    fastrand::Rng::with_seed(seed ^ attempt.request ^ u64::from(attempt.attempt) << 32)
}

fn random_entry(id: u32, rng: &mut fastrand::Rng) -> ServerEntry {
    ServerEntry { zone: id % 3, cell: id % 5, weight: 0.5 + rng.f64(), ..ServerEntry::new(id) }
}

#[test]
fn random_event_sequences_break_no_rule() {
    let config = Config { cases: 160, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let servers = prop_oneof![4 => 0_u32..12, 2 => 12_u32..80, 1 => Just(1_500_u32)];
    TestRunner::new_with_rng(config, rng)
        .run(&(any_settings(), servers, any::<u64>()), |(settings, servers, seed)| {
            Sequence::new(settings, servers, seed).run();
            Ok(())
        })
        .expect("no rule is broken");
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let settings = settings(&[Idempotency::Idempotent, Idempotency::NotIdempotent]);
        let mut simulation = Simulation::new(settings, (0..9).map(ServerEntry::new).collect(), 3);
        for number in 0..300_usize {
            simulation.request(number % 2);
            simulation.run_for(
                5 * MS,
                |attempt| if attempt.server == 4 { Response::Never } else { ok_after(40 * MS) },
            );
        }
        simulation.trace
    };
    assert_eq!(run(), run());
}
