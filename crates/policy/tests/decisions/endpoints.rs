//! The endpoint list, and polls of discovery.

use crate::common::{MS, Response, SECOND, Simulation, settings};
use crate::helpers::{draining, simulation};
use zincstand_policy::{DiscoveryMode, Event, Idempotency, ListKind, Outcome, ServerEntry};

#[test]
fn a_draining_server_receives_no_new_request() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 2);
    simulation.list(ListKind::Delta, vec![draining(0)]);
    for _ in 0..4 {
        simulation.request(0);
    }
    assert_eq!(simulation.sends.get(&0), None);
}

#[test]
fn discovery_is_polled_within_its_interval_and_again_after_a_failure() {
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.discovery = DiscoveryMode::Poll;
    let mut simulation = Simulation::new(settings, vec![ServerEntry::new(0)], 5);
    simulation.run_for(10 * SECOND, |_| Response::Never);
    assert_eq!(simulation.polls, 1);
    simulation.list(ListKind::Failed, Vec::new());
    simulation.run_for(2 * SECOND, |_| Response::Never);
    assert_eq!(simulation.polls, 2);
}

#[test]
fn discovery_is_polled_within_seconds_even_if_the_settings_allow_a_minute() {
    for seed in 0..20 {
        let mut settings = settings(&[Idempotency::Idempotent]);
        settings.discovery = DiscoveryMode::Poll;
        settings.rules.max_poll_interval = 60 * SECOND;
        let mut simulation = Simulation::new(settings, vec![ServerEntry::new(0)], seed);
        simulation.run_for(3 * SECOND, |_| Response::Never);
        assert_eq!(simulation.polls, 1);
        for failures in 1..10 {
            simulation.list(ListKind::Failed, Vec::new());
            simulation.run_for(1200 * MS, |_| Response::Never);
            assert_eq!(simulation.polls, 1 + failures);
        }
    }
}

#[test]
fn a_snapshot_removes_the_servers_that_it_does_not_contain() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 3);
    simulation.list(ListKind::Snapshot, vec![ServerEntry::new(1)]);
    for _ in 0..5 {
        simulation.request(0);
    }
    assert_eq!(simulation.sends.keys().copied().collect::<Vec<_>>(), [1]);
}

#[test]
fn events_with_unknown_request_or_server_ids_are_ignored() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 2);
    let request = 99;
    let server = 77;
    let latency = MS;
    let outcome = Outcome::TimedOut;
    simulation.handle(Event::ClientDisconnected { request });
    simulation.handle(Event::FirstByte { request, attempt: 3 });
    simulation.handle(Event::Outcome {
        request,
        attempt: 0,
        server,
        outcome,
        latency,
        finished: false,
        body_consumed: false,
        load: None,
    });
    simulation.handle(Event::HealthChecked { server, outcome, latency, load: None });
    let id = simulation.request_with(0, 0);
    assert!(simulation.failed.contains(&id) || simulation.rejected.contains(&id));
}
