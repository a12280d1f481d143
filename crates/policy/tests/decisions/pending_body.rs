//! Requests whose body has not arrived completely.

use crate::common::{MS, SECOND, ok_after};
use crate::helpers::{last_in_flight, simulation};
use zincstand_policy::{Idempotency, Outcome};

#[test]
fn a_request_with_a_pending_body_takes_no_slot_and_none_of_its_time() {
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 1);
    let uploads: Vec<_> = (0..50).map(|_| simulation.request_with_pending_body(0)).collect();
    assert_eq!(
        simulation.sends[&0], 50,
        "requests with pending bodies wait for slots, although they take none"
    );
    simulation.now += 60 * SECOND;
    simulation.request(0);
    assert_eq!(simulation.sends[&0], 51, "slow uploads take the slots of other requests");
    // Each request takes a slot when the last byte of its body arrives.
    for id in uploads {
        simulation.complete_body(id);
    }
    simulation.request(0);
    assert_eq!(simulation.sends[&0], 51);
    assert!(
        simulation.rejected.is_empty() && simulation.failed.is_empty(),
        "rejected or failed before the time of the request started"
    );
    let in_flight = simulation.in_flight.clone();
    for attempt in &in_flight {
        simulation.end(attempt, Outcome::Ok);
    }
    assert_eq!(simulation.sends[&0], 52);
}

#[test]
fn slots_that_pending_bodies_never_took_are_not_released() {
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 1);
    simulation.request(0);
    let uploads: Vec<_> = (0..50).map(|_| simulation.request_with_pending_body(0)).collect();
    for id in &uploads[..25] {
        simulation.disconnect(*id);
    }
    let in_flight = simulation.in_flight[1..].to_vec();
    for attempt in &in_flight {
        simulation.end_without_body(attempt, Outcome::NotSent);
    }
    assert_eq!(simulation.rejected.len(), 25);
    // The initial limit is two attempts.
    for _ in 0..3 {
        simulation.request(0);
    }
    assert_eq!(simulation.sends[&0], 52);
}

#[test]
fn a_request_with_a_pending_body_is_rejected_in_time_while_no_server_may_take_it() {
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 0);
    let upload = simulation.request_with_pending_body(0);
    let deadline = simulation.settings.classes[0].deadline;
    simulation.run_for(deadline, |_| ok_after(MS));
    assert_eq!(simulation.rejected.len() + simulation.failed.len(), 1, "the upload waits without a limit");
    assert!(!simulation.is_open(upload));
}

#[test]
fn a_body_whose_last_byte_arrived_earlier_leaves_only_the_rest_of_the_time() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 3);
    let upload = simulation.request_with_pending_body(0);
    let first = last_in_flight(&simulation);
    simulation.complete_body_with(upload, 300 * MS);
    simulation.end(&first, Outcome::ConnectFailed);
    simulation.run_for(50 * MS, |_| ok_after(SECOND));
    let retry = last_in_flight(&simulation);
    assert_eq!(retry.request, upload);
    assert!(retry.limit < 300 * MS, "the retry may take {} µs", retry.limit);
}
