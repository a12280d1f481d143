//! Concurrency limits of zones.

use crate::common::{MS, Response, SECOND, Simulation, ends_after, ok_after, settings};
use crate::helpers::{draining, serve, simulation};
use zincstand_policy::{Idempotency, ListKind, Micros, Outcome, ServerEntry};

#[test]
fn the_remaining_servers_take_only_part_of_the_slots_of_draining_ones() {
    // The limit is two attempts per server.
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 4);
    simulation.list(ListKind::Delta, (1..4).map(draining).collect());
    for _ in 0..20 {
        simulation.request(0);
    }
    assert_eq!(simulation.sends[&0], 3, "one server must take only part of the slots of four");
    // Servers that are ready again have their slots back.
    simulation.list(ListKind::Delta, (1..4).map(ServerEntry::new).collect());
    assert_eq!(simulation.in_flight.len(), 8);
}

#[test]
fn abandoned_attempts_do_not_fill_the_limit_for_long() {
    // Guards against abandoned attempts that decay with the 99th percentile, which a short slow period
    // raises to seconds.
    let mut simulation = simulation(&[Idempotency::NotIdempotent], 6);
    serve(&mut simulation, 0, 200, 20 * MS);
    for _ in 0..40 {
        simulation.request(0);
        simulation.run_for(10 * MS, |_| Response::Never);
    }
    simulation.run_for(SECOND, |_| Response::Never);
    let before = simulation.total_sent();
    for _ in 0..4 {
        simulation.request(0);
    }
    assert_eq!(simulation.total_sent() - before, 4);
}

#[test]
fn unresponsive_servers_do_not_reduce_the_limit() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 12);
    for _ in 0..300 {
        simulation.request(0);
        simulation.run_for(30 * MS, |attempt| {
            if attempt.server % 4 == 0 { Response::Never } else { ok_after(20 * MS) }
        });
    }
    let before = simulation.in_flight.len();
    for _ in 0..30 {
        simulation.request(0);
    }
    let added = simulation.in_flight.len() - before;
    assert!(added >= 18, "only {added} of 30 requests were sent");
}

#[test]
fn balancers_pause_between_attempts_if_they_outnumber_the_servers() {
    let mut settings = settings(&[Idempotency::NotIdempotent]);
    settings.balancer_count = 100;
    let mut simulation = Simulation::new(settings, (0..2).map(ServerEntry::new).collect(), 3);
    let mut count_sent = |requests: u32| {
        let before = simulation.total_sent();
        for _ in 0..requests {
            simulation.request(0);
            simulation.run_for(100 * MS, |_| ok_after(380 * MS));
        }
        simulation.total_sent() - before
    };
    count_sent(200);
    let sent = count_sent(100);
    assert!(sent < 10, "{sent} attempts, while one slot without pauses would allow twenty");
}

#[test]
fn slow_responses_reduce_the_limit_long_before_the_objective_is_missed() {
    // Servers that become slower under concurrent load lose capacity while all responses are still within the
    // objective.
    let mut simulation = simulation(&[Idempotency::Idempotent], 6);
    let in_flight_at = |simulation: &mut Simulation, latency: Micros| {
        for _ in 0..400 {
            simulation.request(0);
            simulation.request(0);
            simulation.run_for(10 * MS, |_| ok_after(latency));
        }
        simulation.in_flight.len()
    };
    let fast = in_flight_at(&mut simulation, 20 * MS);
    let slow = in_flight_at(&mut simulation, 100 * MS);
    assert!(fast >= 2, "{fast} in flight while all responses are fast");
    assert!(slow < 10, "{slow} in flight, while two requests every 10 ms would be 20 without a limit");
}

#[test]
fn an_attempt_counts_as_late_if_its_client_disconnects_after_the_usual_latency() {
    // Guards against counting each disconnection as late: clients that disconnect early would reduce the
    // limit of idle servers.
    for (wait, expected) in [(10 * MS, 10..13), (400 * MS, 0..4)] {
        let mut simulation = simulation(&[Idempotency::Idempotent], 6);
        serve(&mut simulation, 0, 60, 20 * MS);
        for _ in 0..60 {
            let request = simulation.request(0);
            simulation.run_for(wait, |_| Response::Never);
            simulation.disconnect(request);
            simulation.run_for(20 * MS, |_| ok_after(20 * MS));
        }
        let before = simulation.in_flight.len();
        for _ in 0..12 {
            simulation.request(0);
        }
        let slots = simulation.in_flight.len() - before;
        assert!(
            expected.contains(&slots),
            "{slots} slots where clients disconnect after {wait} microseconds"
        );
    }
}

#[test]
fn a_limit_below_its_fair_share_grows_faster_than_one_above() {
    // If all limits grew equally, balancers that hold all slots would keep them.
    let mut simulation = simulation(&[Idempotency::Idempotent], 6);
    let in_flight_after = |simulation: &mut Simulation, rounds: u32, latency: Micros| {
        let mut in_flight = 0;
        for _ in 0..rounds {
            for _ in 0..3 {
                simulation.request(0);
            }
            in_flight = simulation.in_flight.len();
            simulation.run_for(10 * MS, |_| ends_after(latency, Outcome::Ok));
        }
        in_flight
    };
    in_flight_after(&mut simulation, 60, 20 * MS);
    let reduced = in_flight_after(&mut simulation, 300, 200 * MS);
    assert!(reduced < 10, "{reduced} in flight after responses ten times as slow");
    simulation.run_for(SECOND, |_| ok_after(20 * MS));
    in_flight_after(&mut simulation, 15, 20 * MS);
    for _ in 0..30 {
        simulation.request(0);
    }
    assert!(
        simulation.in_flight.len() >= 9,
        "only {} in flight soon after the responses are fast again",
        simulation.in_flight.len()
    );
}
