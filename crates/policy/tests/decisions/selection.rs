//! Selection of the server of an attempt.

use crate::common::{MS, SECOND, Simulation, ok_after, settings};
use crate::helpers::{serve, simulation};
use zincstand_policy::{Idempotency, ServerEntry};

#[test]
fn selection_prefers_the_server_with_the_fewest_attempts_in_flight() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 4);
    for _ in 0..4 {
        simulation.request(0);
    }
    assert_eq!(simulation.sends.len(), 4, "not one attempt for each server: {:?}", simulation.sends);
}

#[test]
fn attempts_leave_the_zone_of_the_balancer_only_when_it_is_full() {
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.zone_count = 2;
    settings.prices.cross_zone = 0.2;
    let servers = (0..4).map(|id| ServerEntry { zone: id / 2, ..ServerEntry::new(id) });
    let mut simulation = Simulation::new(settings, servers.collect(), 3);
    serve(&mut simulation, 0, 40, 20 * MS);
    assert!(simulation.sends.keys().all(|id| *id < 2), "{:?}", simulation.sends);
    for _ in 0..40 {
        simulation.request(0);
    }
    simulation.run_for(15 * MS, |_| ok_after(SECOND));
    assert!(simulation.sends.keys().any(|id| *id >= 2), "{:?}", simulation.sends);
}

#[test]
fn other_servers_are_not_ranked_while_a_preferred_server_is_free() {
    // Ranking all servers of a large fleet for each request exceeds the limit on processor time.
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.balancer_count = 40;
    let mut simulation = Simulation::new(settings, (0..160).map(ServerEntry::new).collect(), 3);
    serve(&mut simulation, 0, 400, 10 * MS);
    assert_eq!(
        simulation.sends.len(),
        16,
        "each server is preferred by four balancers, so each balancer prefers 16"
    );
    for _ in 0..60 {
        for _ in 0..20 {
            simulation.request(0);
        }
        simulation.run_for(10 * MS, |_| ok_after(10 * MS));
    }
    assert!(
        simulation.sends.len() > 16,
        "no other server was used while all preferred servers had attempts in flight"
    );
}
