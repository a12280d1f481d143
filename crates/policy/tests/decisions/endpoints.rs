//! The endpoint list and polling.

use crate::common::{MS, SECOND, World, settings};
use crate::helpers::world;
use zincstand_policy::{DiscoveryMode, Event, Idempotency, ListKind, Outcome, ServerEntry, ServerState};

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut world = world(&[Idempotency::Idempotent], 2);
    let mut e = ServerEntry::new(0);
    e.state = ServerState::Draining;
    world.list(ListKind::Delta, vec![e]);
    for _ in 0..4 {
        world.request(0);
    }
    assert_eq!(world.sends.get(&0), None);
}

#[test]
fn discovery_is_polled_within_its_interval_and_again_after_a_failure() {
    let mut s = settings(&[Idempotency::Idempotent]);
    s.discovery = DiscoveryMode::Poll;
    let mut world = World::new(s, vec![ServerEntry::new(0)], 5);
    let until = world.now + 10 * SECOND;
    world.run(until, |_| None);
    assert_eq!(world.polls, 1);
    world.list(ListKind::Failed, Vec::new());
    let until = world.now + 2 * SECOND;
    world.run(until, |_| None);
    assert_eq!(world.polls, 2);
}

#[test]
fn discovery_is_polled_within_seconds_where_the_settings_allow_a_minute() {
    for seed in 0..20 {
        let mut s = settings(&[Idempotency::Idempotent]);
        s.discovery = DiscoveryMode::Poll;
        s.rules.max_poll_interval = 60 * SECOND;
        let mut world = World::new(s, vec![ServerEntry::new(0)], seed);
        let until = world.now + 3 * SECOND;
        world.run(until, |_| None);
        assert_eq!(world.polls, 1);
        for failed in 1..10 {
            world.list(ListKind::Failed, Vec::new());
            let until = world.now + 1200 * MS;
            world.run(until, |_| None);
            assert_eq!(world.polls, 1 + failed);
        }
    }
}

#[test]
fn a_complete_list_removes_what_it_does_not_name() {
    let mut world = world(&[Idempotency::Idempotent], 3);
    world.list(ListKind::Snapshot, vec![ServerEntry::new(1)]);
    for _ in 0..5 {
        world.request(0);
    }
    assert_eq!(world.sends.keys().copied().collect::<Vec<_>>(), [1]);
}

#[test]
fn events_of_unknown_requests_and_servers_are_ignored() {
    let mut world = world(&[Idempotency::Idempotent], 2);
    let (request, server) = (99, 77);
    let latency = MS;
    let outcome = Outcome::TimedOut;
    world.handle(Event::ClientDisconnected { request });
    world.handle(Event::FirstByte { request, attempt: 3 });
    world.handle(Event::Outcome {
        request,
        attempt: 0,
        server,
        outcome,
        latency,
        finished: false,
        body_consumed: false,
        load: None,
    });
    world.handle(Event::HealthChecked { server, outcome, latency, load: None });
    let id = world.request_with(0, 0);
    assert!(world.failed.contains(&id) || world.rejected.contains(&id));
}
