//! Steps that many tests share.

use crate::common::{AttemptInFlight, MS, World, settings};
use zincstand_policy::{Idempotency, Outcome, ServerEntry};

pub fn world(effects: &[Idempotency], servers: u32) -> World {
    World::new(settings(effects), (0..servers).map(ServerEntry::new).collect(), 7)
}

/// Serves `n` requests of the class one after another, each in `took`.
pub fn warm_up(world: &mut World, class: usize, n: usize, took: u64) {
    for _ in 0..n {
        world.request(class);
        let until = world.now + took + MS;
        world.run(until, |_| Some((took, Outcome::Ok)));
    }
}

/// The same where one in five takes eight times as long: P90 is over five P50.
pub fn warm_up_with_a_tail(world: &mut World, class: usize, n: usize, took: u64) {
    for i in 0..n {
        warm_up(world, class, 1, if i % 5 == 4 { 8 * took } else { took });
    }
}

pub fn last_in_flight(world: &World) -> AttemptInFlight {
    world.in_flight.last().expect("an attempt is out").clone()
}
