//! Requests whose body is still coming.

use crate::common::SECOND;
use crate::helpers::world;
use zincstand_policy::{Idempotency, Outcome};

#[test]
fn a_request_with_pending_body_takes_no_slot_and_no_time() {
    let mut world = world(&[Idempotency::NotIdempotent], 1);
    let uploads: Vec<_> = (0..50).map(|_| world.request_with_pending_body(0)).collect();
    assert_eq!(world.sends[&0], 50, "they wait for places that they do not take");
    world.now += 60 * SECOND;
    world.request(0);
    assert_eq!(world.sends[&0], 51, "slow callers hold the places of others");
    // With their last bytes the server has work from them.
    for id in uploads {
        world.complete_body(id);
    }
    world.request(0);
    assert_eq!(world.sends[&0], 51);
    assert!(world.rejected.is_empty() && world.failed.is_empty(), "late before their time began");
    let outs = world.in_flight.clone();
    for out in &outs {
        world.end(out, Outcome::Ok);
    }
    assert_eq!(world.sends[&0], 52);
}

#[test]
fn slots_that_pending_bodies_never_took_are_not_given_back() {
    let mut world = world(&[Idempotency::NotIdempotent], 1);
    world.request(0);
    let uploads: Vec<_> = (0..50).map(|_| world.request_with_pending_body(0)).collect();
    uploads[..25].iter().for_each(|id| world.disconnect(*id));
    let outs: Vec<_> = world.in_flight[1..].to_vec();
    for out in &outs {
        world.end_without_body(out, Outcome::NotSent);
    }
    assert_eq!(world.rejected.len(), 25);
    // The first window has two places.
    for _ in 0..3 {
        world.request(0);
    }
    assert_eq!(world.sends[&0], 52);
}
