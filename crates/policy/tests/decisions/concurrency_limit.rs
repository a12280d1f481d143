//! Concurrency limits of zones.

use crate::common::{MS, SECOND, World, settings};
use crate::helpers::{warm_up, world};
use zincstand_policy::{Idempotency, ListKind, Outcome, ServerEntry, ServerState};

#[test]
fn the_slots_of_draining_servers_do_not_all_go_to_the_ones_left() {
    // The window is two places for each server.
    let mut world = world(&[Idempotency::NotIdempotent], 4);
    let drains = |id| ServerEntry { state: ServerState::Draining, ..ServerEntry::new(id) };
    world.list(ListKind::Delta, (1..4).map(drains).collect());
    for _ in 0..20 {
        world.request(0);
    }
    assert_eq!(world.sends[&0], 3, "one server takes the places of four");
    // Back, they have their own again.
    world.list(ListKind::Delta, (1..4).map(ServerEntry::new).collect());
    assert_eq!(world.in_flight.len(), 8);
}

#[test]
fn abandoned_attempts_do_not_fill_the_limit_for_long() {
    // They faded with P99, which a slow spell widens to seconds.
    let mut world = world(&[Idempotency::NotIdempotent], 6);
    warm_up(&mut world, 0, 200, 20 * MS);
    for _ in 0..40 {
        world.request(0);
        let until = world.now + 10 * MS;
        world.run(until, |_| None);
    }
    let until = world.now + SECOND;
    world.run(until, |_| None);
    let before = world.sends.values().sum::<u32>();
    for _ in 0..4 {
        world.request(0);
    }
    assert_eq!(world.sends.values().sum::<u32>() - before, 4);
}

#[test]
fn silent_servers_do_not_close_the_limit() {
    let mut world = world(&[Idempotency::Idempotent], 12);
    for _ in 0..300 {
        world.request(0);
        let until = world.now + 30 * MS;
        world.run(until, |o| (o.server % 4 != 0).then_some((20 * MS, Outcome::Ok)));
    }
    let before = world.in_flight.len();
    for _ in 0..30 {
        world.request(0);
    }
    assert!(world.in_flight.len() - before >= 18, "{} more out", world.in_flight.len() - before);
}

#[test]
fn balancers_that_outnumber_their_servers_pause() {
    let mut s = settings(&[Idempotency::NotIdempotent]);
    s.balancer_count = 100;
    let mut world = World::new(s, (0..2).map(ServerEntry::new).collect(), 3);
    let mut play = |n: u32| {
        let before = world.sends.values().sum::<u32>();
        for _ in 0..n {
            world.request(0);
            let until = world.now + 100 * MS;
            world.run(until, |_| Some((380 * MS, Outcome::Ok)));
        }
        world.sends.values().sum::<u32>() - before
    };
    play(200);
    let sent = play(100);
    assert!(sent < 10, "one place without pauses would take twenty: {sent}");
}

#[test]
fn crowded_servers_close_the_limit_long_before_the_objective() {
    // Servers that slow down when crowded lose capacity while all answers still come within the aim.
    let mut world = world(&[Idempotency::Idempotent], 6);
    let flood = |world: &mut World, took: u64| {
        for _ in 0..400 {
            world.request(0);
            world.request(0);
            let until = world.now + 10 * MS;
            world.run(until, |_| Some((took, Outcome::Ok)));
        }
        world.in_flight.len()
    };
    let free = flood(&mut world, 20 * MS);
    let crowded = flood(&mut world, 100 * MS);
    assert!(free >= 2, "{free} out at once while answers are as quick as ever");
    assert!(crowded < 10, "{crowded} out at once; two every 10 ms would be 20");
}

#[test]
fn a_disconnected_callers_attempt_counts_as_late_only_once_an_answer_would() {
    // It counted so at once: clients that leave early closed the window beside idle servers.
    for (patience, window) in [(10 * MS, 10..13), (400 * MS, 0..4)] {
        let mut world = world(&[Idempotency::Idempotent], 6);
        warm_up(&mut world, 0, 60, 20 * MS);
        for _ in 0..60 {
            let request = world.request(0);
            let left = world.now + patience;
            world.run(left, |_| None);
            world.disconnect(request);
            world.run(left + 20 * MS, |_| Some((20 * MS, Outcome::Ok)));
        }
        let out = world.in_flight.len();
        for _ in 0..12 {
            world.request(0);
        }
        let more = world.in_flight.len() - out;
        assert!(window.contains(&more), "{more} places where clients leave after {patience} microseconds");
    }
}

#[test]
fn a_limit_under_its_fair_share_grows_faster_than_one_above() {
    // Windows that grew alike whatever their size left all places to the balancers that had them.
    let mut world = world(&[Idempotency::Idempotent], 6);
    let flood = |world: &mut World, n: u32, took: u64| {
        let mut most = 0;
        for _ in 0..n {
            for _ in 0..3 {
                world.request(0);
            }
            most = world.in_flight.len();
            let until = world.now + 10 * MS;
            world.run(until, |_| Some((took, Outcome::Ok)));
        }
        most
    };
    flood(&mut world, 60, 20 * MS);
    assert!(flood(&mut world, 300, 200 * MS) < 10, "closed by answers ten times as slow");
    let end = world.now + SECOND;
    world.run(end, |_| Some((20 * MS, Outcome::Ok)));
    flood(&mut world, 15, 20 * MS);
    for _ in 0..30 {
        world.request(0);
    }
    assert!(world.in_flight.len() >= 9, "{} out at once after half a second", world.in_flight.len());
}
