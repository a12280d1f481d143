//! Learned state, handed to a successor.

use crate::common::{MS, World, settings};
use crate::helpers::{last_in_flight, warm_up, world};
use zincstand_policy::{Idempotency, Outcome, ServerEntry};

#[test]
fn a_successor_knows_what_its_predecessor_learned() {
    let mut before = world(&[Idempotency::NotIdempotent], 3);
    warm_up(&mut before, 0, 200, 20 * MS);
    // One server fails all it gets.
    for _ in 0..60 {
        before.request(0);
        let until = before.now + 21 * MS;
        before.run(until, |out| Some((20 * MS, if out.server == 0 { Outcome::Error } else { Outcome::Ok })));
    }
    for _ in 0..4 {
        before.request(0);
    }
    let learned = before.balancer.learned_state(before.now);
    let mut after = world(&[Idempotency::NotIdempotent], 3);
    after.now = before.now;
    after.balancer.restore(after.now, &learned);
    let again = after.balancer.learned_state(after.now);
    assert_eq!(
        (&again.all_classes, &again.classes, &again.servers),
        (&learned.all_classes, &learned.classes, &learned.servers)
    );
    // Bound as the one before bounds it, and away from the server that fails.
    after.request(0);
    assert_eq!(last_in_flight(&after).limit, last_in_flight(&before).limit);
    assert!(last_in_flight(&after).limit < 200 * MS);
    for _ in 0..40 {
        after.request(0);
    }
    assert_eq!(after.sends.get(&0), None);
    // What the one before still has out takes places.
    let mut alone = world(&[Idempotency::NotIdempotent], 3);
    alone.now = before.now;
    alone.balancer.restore(
        before.now,
        &zincstand_policy::LearnedState {
            zones: learned
                .zones
                .iter()
                .map(|z| zincstand_policy::LearnedZone { outstanding: 0.0, ..z.clone() })
                .collect(),
            ..learned.clone()
        },
    );
    for _ in 0..41 {
        alone.request(0);
    }
    let sent = |world: &World| world.sends.values().sum::<u32>();
    assert_eq!(sent(&alone), sent(&after) + 4);
    // A cold server waits as long as it would have there, not until it is warm.
    let cold = ServerEntry { started: Some(before.now), ..ServerEntry::new(9) };
    let mut to_cold = World::new(settings(&[Idempotency::NotIdempotent]), vec![ServerEntry::new(1), cold], 7);
    to_cold.now = before.now;
    to_cold.balancer.restore(before.now, &learned);
    warm_up(&mut to_cold, 0, 200, 20 * MS);
    assert!(to_cold.sends.get(&9).is_some_and(|sent| *sent > 5), "{:?}", to_cold.sends);
    // Of other classes nothing is taken over.
    let mut other = world(&[Idempotency::NotIdempotent, Idempotency::Idempotent], 3);
    other.balancer.restore(other.now, &learned);
    assert_eq!(other.balancer.learned_state(other.now).all_classes.counts, []);
}
