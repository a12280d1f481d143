//! Limits of attempts, and what can no longer finish.

use crate::common::{MS, SECOND, World, settings};
use crate::helpers::{last_in_flight, warm_up, warm_up_with_a_tail, world};
use zincstand_policy::{Idempotency, Outcome, ServerEntry};

#[test]
fn without_samples_the_time_left_bounds_an_attempt() {
    let mut world = world(&[Idempotency::Idempotent], 3);
    world.request(0);
    assert_eq!(last_in_flight(&world).limit, 499 * MS, "the aim less a tick");
    world.request_with(0, 300 * MS);
    assert_eq!(last_in_flight(&world).limit, 300 * MS);
}

#[test]
fn where_callers_pass_no_time_a_tier_takes_its_part_of_the_deadline() {
    for (passes, limit) in [(true, 2 * SECOND), (false, SECOND)] {
        let mut settings = settings(&[Idempotency::Idempotent]);
        (settings.tier, settings.tier_count, settings.propagates_deadline) = (1, 2, passes);
        settings.classes[0].late_weight = 0.3;
        let mut world = World::new(settings, vec![ServerEntry::new(0)], 7);
        world.request(0);
        assert_eq!(last_in_flight(&world).limit, limit, "passed on: {passes}");
    }
}

#[test]
fn a_handful_of_answers_is_no_p99() {
    // The first answers are the fastest ones: taken for P99 they cut off all the rest.
    let mut world = world(&[Idempotency::NotIdempotent], 3);
    warm_up(&mut world, 0, 20, 10 * MS);
    world.request(0);
    assert_eq!(last_in_flight(&world).limit, 499 * MS);
}

#[test]
fn a_rare_classs_retry_is_not_cut_to_what_frequent_classes_take() {
    let mut world = world(&[Idempotency::Idempotent, Idempotency::Idempotent], 3);
    warm_up(&mut world, 0, 40, 10 * MS);
    world.request_with(1, 400 * MS);
    let first = last_in_flight(&world);
    world.end(&first, Outcome::Error);
    let until = world.now + 50 * MS;
    world.run(until, |_| Some((200 * MS, Outcome::Ok)));
    assert!(
        last_in_flight(&world).limit > 300 * MS,
        "nothing is known of it: {}",
        last_in_flight(&world).limit
    );
}

#[test]
fn p99_bounds_the_first_attempt_once_learned() {
    let mut world = world(&[Idempotency::Idempotent], 3);
    warm_up(&mut world, 0, 160, 10 * MS);
    world.request(0);
    let limit = last_in_flight(&world).limit;
    assert!((9 * MS..13 * MS).contains(&limit), "{limit}");
}

#[test]
fn time_outs_widen_p99_again() {
    // The cut-offs must not drag down the percentile that sets them.
    let mut world = world(&[Idempotency::NotIdempotent], 40);
    warm_up(&mut world, 0, 160, 10 * MS);
    world.request(0);
    assert!(last_in_flight(&world).limit < 50 * MS);
    for _ in 0..200 {
        world.request(0);
        let until = world.now + 60 * MS;
        world.run(until, |_| Some((60 * MS, Outcome::Ok)));
    }
    world.request(0);
    assert!(last_in_flight(&world).limit > 60 * MS);
}

#[test]
fn what_cannot_finish_is_not_sent() {
    let mut world = world(&[Idempotency::Idempotent], 4);
    warm_up_with_a_tail(&mut world, 0, 160, 50 * MS);
    let late = world.request_with(0, 240 * MS);
    assert!(!world.is_open(late), "a client's late try with less than five P50 left is not sent");
    world.request_with(0, 260 * MS);
    assert!(!world.in_flight.is_empty(), "half of its aim is always enough");
    let mut world = crate::helpers::world(&[Idempotency::Idempotent], 4);
    warm_up_with_a_tail(&mut world, 0, 160, 10 * MS);
    let late = world.request_with(0, 40 * MS);
    assert!(!world.is_open(late), "the same where P50 is far under the aim");
    world.request_with(0, 60 * MS);
    assert!(!world.in_flight.is_empty());
    let mut world = World::new(settings(&[Idempotency::Idempotent]), Vec::new(), 7);
    let id = world.request(0);
    let until = world.now + 500 * MS;
    world.run(until, |_| None);
    assert!(!world.is_open(id), "held without servers it ends before its aim has passed");
}

#[test]
fn where_work_is_even_what_nearly_all_calls_need_is_enough() {
    let mut world = world(&[Idempotency::Idempotent], 4);
    warm_up(&mut world, 0, 160, 10 * MS);
    let late = world.request_with(0, 8 * MS);
    assert!(!world.is_open(late), "it cannot finish in less than any call needs");
    world.request_with(0, 15 * MS);
    assert!(!world.in_flight.is_empty(), "nearly all calls finish in that, be it far under five P50");
}

#[test]
fn hinted_work_scales_what_an_attempt_needs() {
    // Where aims are few mean works, a request of twice the mean cannot finish and still took a place.
    let mut world = world(&[Idempotency::Idempotent], 4);
    for i in 0..160 {
        let took = if i % 5 == 4 { 400 * MS } else { 50 * MS };
        world.request_hinted(0, SECOND, Some(50 * MS));
        let until = world.now + took + MS;
        world.run(until, |_| Some((took, Outcome::Ok)));
    }
    let large = world.request_hinted(0, 600 * MS, Some(200 * MS));
    assert!(!world.is_open(large), "five times nearly three P50 does not fit into 600 ms");
    world.request_hinted(0, 300 * MS, Some(50 * MS));
    assert_eq!(world.in_flight.len(), 1);
}

#[test]
fn a_lone_quiet_balancer_keeps_its_last_answers() {
    let mut world = world(&[Idempotency::Idempotent], 3);
    warm_up(&mut world, 0, 30, 25 * MS);
    let until = world.now + 60 * SECOND;
    world.run(until, |_| None);
    world.request_with(0, 490 * MS);
    let first = last_in_flight(&world);
    assert!(first.limit < 470 * MS, "room is kept for a retry's P50: {}", first.limit);
}

#[test]
fn small_hinted_requests_are_given_time_to_wait() {
    // A request of a fiftieth of the mean work waits in the same queues as the others.
    let mut world = world(&[Idempotency::Idempotent], 4);
    let half = SECOND / 2;
    for _ in 0..160 {
        world.request_hinted(0, half, Some(50 * MS));
        let until = world.now + 51 * MS;
        world.run(until, |_| Some((50 * MS, Outcome::Ok)));
    }
    world.request_hinted(0, half, Some(MS));
    let limit = last_in_flight(&world).limit;
    assert!(limit > 18 * MS, "{limit} where P99 is 50 ms");
}

#[test]
fn an_attempt_that_no_retry_may_follow_gets_more_than_p99() {
    // Cut off at P99 at two tiers, one unsafe request in twenty was lost on a quiet day.
    let mut world = world(&[Idempotency::NotIdempotent], 3);
    warm_up(&mut world, 0, 160, 10 * MS);
    world.request(0);
    let limit = last_in_flight(&world).limit;
    assert!((27 * MS..36 * MS).contains(&limit), "{limit}");
}

#[test]
fn a_heavy_request_keeps_its_time_where_a_retry_would_not_fit() {
    let mut world = world(&[Idempotency::Idempotent], 3);
    warm_up(&mut world, 0, 30, 25 * MS);
    world.request_with(0, 290 * MS);
    assert_eq!(last_in_flight(&world).limit, 290 * MS, "room for a retry would leave less than twelve P50");
    world.request_with(0, 480 * MS);
    assert!(last_in_flight(&world).limit < 460 * MS, "with more there is room for both");
}
