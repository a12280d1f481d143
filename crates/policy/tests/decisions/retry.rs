//! Retries: budget, backoff, and where a request may be sent again.

use crate::common::{KEYED_CELL, MS, SECOND, World, settings};
use crate::helpers::{last_in_flight, warm_up, world};
use zincstand_policy::{Action, Idempotency, Outcome, ServerEntry};

#[test]
fn a_retry_follows_a_time_out_with_p50_and_goes_elsewhere() {
    let mut world = world(&[Idempotency::Idempotent], 4);
    warm_up(&mut world, 0, 160, 10 * MS);
    world.request(0);
    let first = last_in_flight(&world);
    let until = world.now + first.limit + 9 * MS;
    world.run(until, |_| None);
    let second = last_in_flight(&world);
    assert_eq!((second.request, second.attempt), (first.request, 1));
    assert_ne!(second.server, first.server);
    assert!(second.limit < 12 * MS, "{}", second.limit);
}

#[test]
fn there_is_one_retry_only() {
    let mut world = world(&[Idempotency::Idempotent], 4);
    let id = world.request(0);
    for _ in 0..2 {
        let out = last_in_flight(&world);
        world.end(&out, Outcome::Error);
        let until = world.now + 10 * MS;
        world.run(until, |_| Some((SECOND, Outcome::Ok)));
    }
    assert!(!world.is_open(id) && world.in_flight.is_empty());
    assert_eq!(world.sends.values().sum::<u32>(), 2);
}

#[test]
fn the_retry_budget_runs_out() {
    let mut world = world(&[Idempotency::Idempotent], 4);
    for _ in 0..60 {
        world.request(0);
        for _ in 0..2 {
            if let Some(out) = world.in_flight.last().cloned() {
                world.end(&out, Outcome::Error);
            }
            let until = world.now + 9 * MS;
            world.run(until, |_| Some((SECOND, Outcome::Ok)));
        }
    }
    let sent = world.sends.values().sum::<u32>();
    assert!((60..=72).contains(&sent), "5 saved and a tenth of 60 at most: {sent}");
}

#[test]
fn a_request_that_is_not_idempotent_and_may_have_run_fails() {
    let mut world = world(&[Idempotency::NotIdempotent], 4);
    let id = world.request(0);
    let out = last_in_flight(&world);
    let actions = world.end(&out, Outcome::Error);
    assert_eq!(actions, [Action::Fail { request: id }]);
}

#[test]
fn what_never_ran_is_sent_again_even_if_not_idempotent() {
    let mut world = world(&[Idempotency::NotIdempotent], 4);
    let id = world.request(0);
    let out = last_in_flight(&world);
    world.end(&out, Outcome::ConnectFailed);
    let until = world.now + 10 * MS;
    world.run(until, |_| Some((SECOND, Outcome::Ok)));
    assert_eq!((last_in_flight(&world).request, last_in_flight(&world).attempt), (id, 1));
}

#[test]
fn a_keyed_repeat_stays_in_its_cell() {
    let servers = (0..6).map(|id| {
        let mut e = ServerEntry::new(id);
        e.cell = id % 2;
        e
    });
    let mut world = World::new(settings(&[KEYED_CELL]), servers.collect(), 1);
    for _ in 0..20 {
        world.request(0);
        let first = last_in_flight(&world);
        world.end(&first, Outcome::Reset);
        let until = world.now + 10 * MS;
        world.run(until, |_| Some((SECOND, Outcome::Ok)));
        for out in world.in_flight.clone() {
            assert_eq!(out.server % 2, first.server % 2);
            world.end(&out, Outcome::Ok);
        }
    }
}

#[test]
fn what_cannot_be_sent_again_gets_its_final_answer_at_once() {
    for (outcome, refused) in [(Outcome::Rejected, 1), (Outcome::ConnectFailed, 1), (Outcome::Reset, 0)] {
        let mut world = world(&[KEYED_CELL], 3);
        world.request_with_pending_body(0);
        let out = last_in_flight(&world);
        world.end_without_body(&out, outcome);
        assert_eq!((world.rejected.len(), world.failed.len()), (refused, 1 - refused), "{outcome:?}");
    }
    // While it can be, it is.
    let mut world = world(&[KEYED_CELL], 3);
    world.request_with_pending_body(0);
    let out = last_in_flight(&world);
    world.end(&out, Outcome::Rejected);
    world.run(world.now + 100 * MS, |_| None);
    assert_eq!(world.sends.values().sum::<u32>(), 2);
}
