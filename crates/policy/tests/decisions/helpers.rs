//! Simulations, load and lookups that several tests share.

use crate::common::{AttemptInFlight, MS, Simulation, ok_after, settings};
use zincstand_policy::{Idempotency, Micros, ServerEntry, ServerId, ServerState};

/// Returns a simulation with one class for each element of `idempotencies`, and `servers` servers.
pub fn simulation(idempotencies: &[Idempotency], servers: u32) -> Simulation {
    Simulation::new(settings(idempotencies), (0..servers).map(ServerEntry::new).collect(), 7)
}

/// Serves requests of a class one after another, each with the given latency.
pub fn serve(simulation: &mut Simulation, class: usize, requests: usize, latency: Micros) {
    for _ in 0..requests {
        simulation.request(class);
        simulation.run_for(latency + MS, |_| ok_after(latency));
    }
}

/// Serves requests one after another. Every fifth one takes eight times as long as the others, so that the
/// 90th percentile is more than five medians.
pub fn serve_with_slow_fifth(simulation: &mut Simulation, class: usize, requests: usize, latency: Micros) {
    for number in 0..requests {
        serve(simulation, class, 1, if number % 5 == 4 { 8 * latency } else { latency });
    }
}

/// Returns the latest attempt that has no outcome.
pub fn last_in_flight(simulation: &Simulation) -> AttemptInFlight {
    simulation.in_flight.last().expect("an attempt is in flight").clone()
}

/// Returns the entry of a draining server.
pub fn draining(id: ServerId) -> ServerEntry {
    ServerEntry { state: ServerState::Draining, ..ServerEntry::new(id) }
}
