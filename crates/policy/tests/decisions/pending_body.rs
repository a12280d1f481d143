//! Requests whose body has not arrived completely.

use crate::common::SECOND;
use crate::helpers::simulation;
use zincstand_policy::{Idempotency, Outcome};

#[test]
fn a_request_with_pending_body_takes_no_slot_and_no_time() {
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 1);
    let uploads: Vec<_> = (0..50).map(|_| simulation.request_with_pending_body(0)).collect();
    assert_eq!(simulation.sends[&0], 50, "they wait for slots that they do not take");
    simulation.now += 60 * SECOND;
    simulation.request(0);
    assert_eq!(simulation.sends[&0], 51, "slow uploads take the slots of others");
    // With the last byte of its body each request takes a slot.
    for id in uploads {
        simulation.complete_body(id);
    }
    simulation.request(0);
    assert_eq!(simulation.sends[&0], 51);
    assert!(
        simulation.rejected.is_empty() && simulation.failed.is_empty(),
        "too late before their time started"
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
    // The first limit has two slots.
    for _ in 0..3 {
        simulation.request(0);
    }
    assert_eq!(simulation.sends[&0], 52);
}
