//! Time limits of attempts, and requests that can no longer finish.

use crate::common::{MS, Response, SECOND, Simulation, ok_after, settings};
use crate::helpers::{last_in_flight, serve, serve_with_slow_fifth, simulation};
use zincstand_policy::{Idempotency, Outcome, ServerEntry};

#[test]
fn without_samples_the_time_left_limits_an_attempt() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 3);
    simulation.request(0);
    assert_eq!(last_in_flight(&simulation).limit, 499 * MS, "the limit is not the objective minus one tick");
    simulation.request_with(0, 300 * MS);
    assert_eq!(last_in_flight(&simulation).limit, 300 * MS);
}

#[test]
fn without_propagated_deadlines_a_tier_uses_only_its_part_of_the_deadline() {
    for (propagates_deadline, limit) in [(true, 2 * SECOND), (false, SECOND)] {
        let mut settings = settings(&[Idempotency::Idempotent]);
        settings.tier = 1;
        settings.tier_count = 2;
        settings.propagates_deadline = propagates_deadline;
        settings.classes[0].late_weight = 0.3;
        let mut simulation = Simulation::new(settings, vec![ServerEntry::new(0)], 7);
        simulation.request(0);
        assert_eq!(last_in_flight(&simulation).limit, limit, "propagated: {propagates_deadline}");
    }
}

#[test]
fn few_samples_give_no_99th_percentile() {
    // The first responses are the fastest ones. A 99th percentile from them would time out all other
    // attempts.
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 3);
    serve(&mut simulation, 0, 20, 10 * MS);
    simulation.request(0);
    assert_eq!(last_in_flight(&simulation).limit, 499 * MS);
}

#[test]
fn a_retry_of_a_rare_class_is_not_limited_by_the_latency_of_frequent_classes() {
    let mut simulation = simulation(&[Idempotency::Idempotent, Idempotency::Idempotent], 3);
    serve(&mut simulation, 0, 40, 10 * MS);
    simulation.request_with(1, 400 * MS);
    let first = last_in_flight(&simulation);
    simulation.end(&first, Outcome::Error);
    simulation.run_for(50 * MS, |_| ok_after(200 * MS));
    let limit = last_in_flight(&simulation).limit;
    assert!(limit > 300 * MS, "the latency of the class is unknown, but the limit is {limit}");
}

#[test]
fn the_99th_percentile_limits_the_first_attempt_once_known() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 3);
    serve(&mut simulation, 0, 160, 10 * MS);
    simulation.request(0);
    let limit = last_in_flight(&simulation).limit;
    assert!((9 * MS..13 * MS).contains(&limit), "{limit}");
}

#[test]
fn time_outs_raise_the_99th_percentile_again() {
    // Attempts that time out at the 99th percentile give no higher samples, so without a correction the
    // percentile would only fall.
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 40);
    serve(&mut simulation, 0, 160, 10 * MS);
    simulation.request(0);
    assert!(last_in_flight(&simulation).limit < 50 * MS);
    for _ in 0..200 {
        simulation.request(0);
        simulation.run_for(60 * MS, |_| ok_after(60 * MS));
    }
    simulation.request(0);
    assert!(last_in_flight(&simulation).limit > 60 * MS);
}

#[test]
fn a_request_with_less_than_five_medians_left_is_not_sent() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    serve_with_slow_fifth(&mut simulation, 0, 160, 50 * MS);
    let late_request = simulation.request_with(0, 240 * MS);
    assert!(!simulation.is_open(late_request), "sent with less than five medians left");
    simulation.request_with(0, 260 * MS);
    assert!(
        !simulation.in_flight.is_empty(),
        "not sent, although half of the objective is always enough time"
    );
}

#[test]
fn a_request_with_less_than_five_medians_left_is_not_sent_far_below_the_objective() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    serve_with_slow_fifth(&mut simulation, 0, 160, 10 * MS);
    let late_request = simulation.request_with(0, 40 * MS);
    assert!(!simulation.is_open(late_request), "sent with less than five medians left");
    simulation.request_with(0, 60 * MS);
    assert!(!simulation.in_flight.is_empty());
}

#[test]
fn a_request_without_servers_ends_before_its_objective_has_passed() {
    let mut simulation = Simulation::new(settings(&[Idempotency::Idempotent]), Vec::new(), 7);
    let id = simulation.request(0);
    simulation.run_for(500 * MS, |_| Response::Never);
    assert!(!simulation.is_open(id));
}

#[test]
fn the_90th_percentile_is_enough_time_if_latencies_vary_little() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    serve(&mut simulation, 0, 160, 10 * MS);
    let late_request = simulation.request_with(0, 8 * MS);
    assert!(!simulation.is_open(late_request), "sent with less time left than any attempt takes");
    simulation.request_with(0, 15 * MS);
    assert!(!simulation.in_flight.is_empty(), "not sent, although nearly all attempts finish in that time");
}

#[test]
fn hinted_work_scales_the_time_that_an_attempt_needs() {
    // If the objective is a few times the mean work, a request of twice the mean work cannot finish and only
    // takes a slot.
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    for number in 0..160 {
        let latency = if number % 5 == 4 { 400 * MS } else { 50 * MS };
        simulation.request_hinted(0, SECOND, Some(50 * MS));
        simulation.run_for(latency + MS, |_| ok_after(latency));
    }
    let large_request = simulation.request_hinted(0, 600 * MS, Some(200 * MS));
    assert!(!simulation.is_open(large_request), "sent with 600 ms left for five times nearly three medians");
    simulation.request_hinted(0, 300 * MS, Some(50 * MS));
    assert_eq!(simulation.in_flight.len(), 1);
}

#[test]
fn a_balancer_without_requests_retains_its_last_samples() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 3);
    serve(&mut simulation, 0, 30, 25 * MS);
    simulation.run_for(60 * SECOND, |_| Response::Never);
    simulation.request_with(0, 490 * MS);
    let first = last_in_flight(&simulation);
    assert!(first.limit < 470 * MS, "no median is reserved for a retry: {}", first.limit);
}

#[test]
fn requests_with_little_hinted_work_are_given_time_to_queue() {
    // A request with a fiftieth of the mean work waits in the same queues as the others.
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    let time_left = SECOND / 2;
    for _ in 0..160 {
        simulation.request_hinted(0, time_left, Some(50 * MS));
        simulation.run_for(51 * MS, |_| ok_after(50 * MS));
    }
    simulation.request_hinted(0, time_left, Some(MS));
    let limit = last_in_flight(&simulation).limit;
    assert!(limit > 18 * MS, "{limit}, while the 99th percentile is 50 ms");
}

#[test]
fn an_attempt_that_no_retry_may_follow_gets_more_than_the_99th_percentile() {
    // A timeout at the 99th percentile in each of two tiers lost one in twenty requests that are not
    // idempotent without any fault.
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 3);
    serve(&mut simulation, 0, 160, 10 * MS);
    simulation.request(0);
    let limit = last_in_flight(&simulation).limit;
    assert!((27 * MS..36 * MS).contains(&limit), "{limit}");
}

#[test]
fn a_long_request_keeps_its_time_where_a_retry_would_not_fit() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 3);
    serve(&mut simulation, 0, 30, 25 * MS);
    simulation.request_with(0, 290 * MS);
    let limit = last_in_flight(&simulation).limit;
    assert_eq!(limit, 290 * MS, "time is reserved for a retry, with less than twelve medians left before it");
    simulation.request_with(0, 480 * MS);
    assert!(
        last_in_flight(&simulation).limit < 460 * MS,
        "no time is reserved for a retry, although there is enough"
    );
}
