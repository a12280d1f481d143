//! Learned state, which one process exports and its successor imports.

use crate::common::{MS, Simulation, ends_after, settings};
use crate::helpers::{last_in_flight, serve, simulation};
use zincstand_policy::{Idempotency, LearnedState, LearnedZone, Outcome, ServerEntry};

/// Returns a simulation whose balancer has learned latencies and that server 0 fails, with four attempts in
/// flight.
fn predecessor() -> Simulation {
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 3);
    serve(&mut simulation, 0, 200, 20 * MS);
    for _ in 0..60 {
        simulation.request(0);
        simulation.run_for(21 * MS, |attempt| {
            ends_after(20 * MS, if attempt.server == 0 { Outcome::Error } else { Outcome::Ok })
        });
    }
    for _ in 0..4 {
        simulation.request(0);
    }
    simulation
}

fn learned_state(simulation: &Simulation) -> LearnedState {
    simulation.balancer.learned_state(simulation.now)
}

/// Returns a simulation whose new balancer imports the learned state at the time of its export.
fn successor(predecessor: &Simulation, learned: &LearnedState) -> Simulation {
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 3);
    simulation.now = predecessor.now;
    simulation.balancer.restore(simulation.now, learned);
    simulation
}

#[test]
fn a_successor_exports_what_it_has_imported() {
    let before = predecessor();
    let learned = learned_state(&before);
    let exported_again = learned_state(&successor(&before, &learned));
    assert_eq!(exported_again.all_classes, learned.all_classes);
    assert_eq!(exported_again.classes, learned.classes);
    assert_eq!(exported_again.servers, learned.servers);
}

#[test]
fn a_successor_imports_latencies_and_open_breakers() {
    let before = predecessor();
    let mut after = successor(&before, &learned_state(&before));
    after.request(0);
    assert_eq!(last_in_flight(&after).limit, last_in_flight(&before).limit);
    assert!(last_in_flight(&after).limit < 200 * MS);
    for _ in 0..40 {
        after.request(0);
    }
    assert_eq!(after.sends.get(&0), None);
}

#[test]
fn attempts_in_flight_of_the_predecessor_take_slots_of_the_successor() {
    let before = predecessor();
    let learned = learned_state(&before);
    let mut after = successor(&before, &learned);
    let without_attempts = |zone: &LearnedZone| LearnedZone { outstanding: 0.0, ..zone.clone() };
    let zones = learned.zones.iter().map(without_attempts).collect();
    let mut without_learned_attempts = successor(&before, &LearnedState { zones, ..learned });
    for _ in 0..41 {
        after.request(0);
        without_learned_attempts.request(0);
    }
    assert_eq!(without_learned_attempts.total_sent(), after.total_sent() + 4);
}

#[test]
fn a_successor_pauses_a_server_that_is_warming_up_as_its_predecessor_would() {
    // Guards against a pause that lasts until the server has warmed up, because the send rate is not
    // imported.
    let before = predecessor();
    let warming_up = ServerEntry { started: Some(before.now), ..ServerEntry::new(9) };
    let servers = vec![ServerEntry::new(1), warming_up];
    let mut after = Simulation::new(settings(&[Idempotency::NotIdempotent]), servers, 7);
    after.now = before.now;
    after.balancer.restore(before.now, &learned_state(&before));
    serve(&mut after, 0, 200, 20 * MS);
    assert!(after.sent_to(9) > 5, "{:?}", after.sends);
}

#[test]
fn a_successor_with_other_classes_imports_nothing() {
    let before = predecessor();
    let mut other = simulation(&[Idempotency::NotIdempotent, Idempotency::Idempotent], 3);
    other.balancer.restore(other.now, &learned_state(&before));
    assert_eq!(learned_state(&other).all_classes.counts, []);
}
