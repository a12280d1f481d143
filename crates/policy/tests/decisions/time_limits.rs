//! Time limits of attempts, and requests that can no longer finish.

use crate::common::{MS, Response, SECOND, Simulation, ok_after, settings};
use crate::helpers::{last_in_flight, serve, serve_with_a_tail, simulation};
use zincstand_policy::{Idempotency, Outcome, ServerEntry};

#[test]
fn without_samples_the_time_left_limits_an_attempt() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 3);
    simulation.request(0);
    assert_eq!(last_in_flight(&simulation).limit, 499 * MS, "the objective less a tick");
    simulation.request_with(0, 300 * MS);
    assert_eq!(last_in_flight(&simulation).limit, 300 * MS);
}

#[test]
fn where_callers_propagate_no_deadline_a_tier_takes_its_part_of_it() {
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
    // The first responses are the fastest ones: taken as a 99th percentile they cut off all others.
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 3);
    serve(&mut simulation, 0, 20, 10 * MS);
    simulation.request(0);
    assert_eq!(last_in_flight(&simulation).limit, 499 * MS);
}

#[test]
fn a_retry_of_a_rare_class_is_not_cut_to_the_latency_of_frequent_classes() {
    let mut simulation = simulation(&[Idempotency::Idempotent, Idempotency::Idempotent], 3);
    serve(&mut simulation, 0, 40, 10 * MS);
    simulation.request_with(1, 400 * MS);
    let first = last_in_flight(&simulation);
    simulation.end(&first, Outcome::Error);
    simulation.run_for(50 * MS, |_| ok_after(200 * MS));
    let limit = last_in_flight(&simulation).limit;
    assert!(limit > 300 * MS, "the latency of its class is unknown: {limit}");
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
fn time_outs_widen_the_99th_percentile_again() {
    // The samples that it cuts off must not reduce it further.
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
    serve_with_a_tail(&mut simulation, 0, 160, 50 * MS);
    let late = simulation.request_with(0, 240 * MS);
    assert!(
        !simulation.is_open(late),
        "a late retry of a client with less than five medians left is not sent"
    );
    simulation.request_with(0, 260 * MS);
    assert!(!simulation.in_flight.is_empty(), "half of the objective is always enough");
}

#[test]
fn a_request_with_less_than_five_medians_left_is_not_sent_far_below_the_objective() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    serve_with_a_tail(&mut simulation, 0, 160, 10 * MS);
    let late = simulation.request_with(0, 40 * MS);
    assert!(!simulation.is_open(late), "the median is far below the objective");
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
fn where_latencies_vary_little_the_90th_percentile_is_enough_time() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    serve(&mut simulation, 0, 160, 10 * MS);
    let late = simulation.request_with(0, 8 * MS);
    assert!(!simulation.is_open(late), "it cannot finish in less time than any call takes");
    simulation.request_with(0, 15 * MS);
    assert!(!simulation.in_flight.is_empty(), "nearly all calls finish in that time, far below five medians");
}

#[test]
fn hinted_work_scales_the_time_that_an_attempt_needs() {
    // Where objectives are a few times the mean work, a request of twice the mean could not finish and took a
    // slot.
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    for number in 0..160 {
        let latency = if number % 5 == 4 { 400 * MS } else { 50 * MS };
        simulation.request_hinted(0, SECOND, Some(50 * MS));
        simulation.run_for(latency + MS, |_| ok_after(latency));
    }
    let large = simulation.request_hinted(0, 600 * MS, Some(200 * MS));
    assert!(!simulation.is_open(large), "five times nearly three medians do not fit into 600 ms");
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
    assert!(first.limit < 470 * MS, "a median is reserved for a retry: {}", first.limit);
}

#[test]
fn small_hinted_requests_are_given_time_to_queue() {
    // A request of a fiftieth of the mean work waits in the same queues as the others.
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    let time_left = SECOND / 2;
    for _ in 0..160 {
        simulation.request_hinted(0, time_left, Some(50 * MS));
        simulation.run_for(51 * MS, |_| ok_after(50 * MS));
    }
    simulation.request_hinted(0, time_left, Some(MS));
    let limit = last_in_flight(&simulation).limit;
    assert!(limit > 18 * MS, "{limit} where the 99th percentile is 50 ms");
}

#[test]
fn an_attempt_that_no_retry_may_follow_gets_more_than_the_99th_percentile() {
    // Cut off at the 99th percentile at two tiers, one in twenty requests that are not idempotent was lost
    // without any fault.
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
    assert_eq!(limit, 290 * MS, "with time for a retry, less than twelve medians would be left");
    simulation.request_with(0, 480 * MS);
    assert!(last_in_flight(&simulation).limit < 460 * MS, "there is time for both");
}
