//! Queues, load shedding, the order of classes, and final responses.

use crate::common::{MS, Response, SECOND, Simulation, settings};
use crate::helpers::{draining, last_in_flight, simulation};
use zincstand_policy::{Action, Goal, Idempotency, ListKind, Outcome, ServerEntry};

#[test]
fn queued_requests_are_checked_often_even_with_long_objectives() {
    let mut settings = settings(&[Idempotency::NotIdempotent]);
    settings.classes[0].latency_objective = 3600 * SECOND;
    settings.classes[0].deadline = 3600 * SECOND;
    let mut simulation = Simulation::new(settings, vec![ServerEntry::new(0)], 7);
    simulation.request(0);
    let first = last_in_flight(&simulation);
    simulation.end(&first, Outcome::Rejected);
    simulation.run_for(100 * MS, |_| Response::Never);
    assert_eq!(last_in_flight(&simulation).attempt, 1, "the retry was not sent at the next check");
}

#[test]
fn a_request_that_cannot_finish_fails_and_one_shed_early_is_rejected() {
    // A rejection makes the client retry, which is useful only while a response can still be in time.
    let mut simulation = Simulation::new(settings(&[Idempotency::Idempotent]), Vec::new(), 7);
    let id = simulation.request(0);
    simulation.run_for(SECOND, |_| Response::Never);
    assert_eq!(simulation.failed, [id]);
    for _ in 0..30 {
        simulation.request(0);
    }
    assert!(
        !simulation.rejected.is_empty(),
        "no request was rejected, although there are more than the queue may hold"
    );
}

#[test]
fn a_rejection_has_a_retry_after_while_a_response_is_still_useful() {
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.limits.retry_after = true;
    settings.limits.max_retry_after = 3 * SECOND;
    let mut simulation = Simulation::new(settings, Vec::new(), 7);
    for _ in 0..30 {
        simulation.request(0);
    }
    let objective = simulation.settings.classes[0].latency_objective;
    let retry_after = |action: &Action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    };
    let delays: Vec<_> = simulation.trace.iter().filter_map(|(_, action)| retry_after(action)).collect();
    assert!(!delays.is_empty() && delays.iter().all(|delay| (MS..objective).contains(delay)), "{delays:?}");
}

#[test]
fn requests_are_rejected_at_once_while_all_servers_are_draining() {
    let mut simulation = simulation(&[Idempotency::Idempotent], 2);
    simulation.list(ListKind::Delta, vec![draining(0), draining(1)]);
    let rejected = simulation.request(0);
    assert_eq!(simulation.rejected, [rejected]);
    // A server that is ready again receives requests.
    simulation.list(ListKind::Delta, vec![ServerEntry::new(1)]);
    simulation.request(0);
    assert_eq!(simulation.sends.get(&1), Some(&1));
    assert_eq!(simulation.rejected.len(), 1);
}

#[test]
fn a_burst_is_queued_and_the_class_of_greater_weight_is_sent_first() {
    let mut settings = settings(&[Idempotency::Idempotent, Idempotency::Idempotent]);
    settings.classes[1].priority_weight = 10.0;
    settings.goal = Goal { overall: 1.0, ..Goal::default() };
    let mut simulation = Simulation::new(settings, (0..2).map(ServerEntry::new).collect(), 3);
    for _ in 0..20 {
        simulation.request(0);
        simulation.request(1);
    }
    assert!(simulation.in_flight.len() < 20, "{} in flight", simulation.in_flight.len());
    let first = simulation.in_flight[0].clone();
    let actions = simulation.end(&first, Outcome::Ok);
    // Requests of class 1 have odd ids.
    let sends_class_1 = |action: &Action| matches!(action, Action::Send { request, .. } if request % 2 == 1);
    assert!(actions.iter().any(sends_class_1), "{actions:?}");
}

#[test]
fn queued_requests_end_in_time_even_if_expiry_checks_are_far_apart() {
    // With a check every 22 ms, final responses were up to 22 ms late in a class whose responses after the
    // objective still have weight.
    let mut settings = settings(&[Idempotency::NotIdempotent]);
    settings.classes[0].latency_objective = 1_400 * MS;
    settings.classes[0].deadline = 3_600 * MS;
    settings.classes[0].late_weight = 0.2;
    settings.tick = 5 * MS;
    let mut simulation = Simulation::new(settings, Vec::new(), 7);
    for number in 0..60 {
        let time_left = number * 3 * MS;
        let id = simulation.request_with(0, time_left);
        simulation.run_for(time_left + 15 * MS, |_| Response::Never);
        assert!(!simulation.is_open(id), "open 15 ms after its time left of {time_left} microseconds");
    }
}

#[test]
fn a_class_of_far_greater_weight_may_exceed_a_full_limit() {
    let mut settings = settings(&[Idempotency::Idempotent, Idempotency::Idempotent]);
    settings.classes[1].priority_weight = 12.0;
    let mut simulation = Simulation::new(settings, (0..4).map(ServerEntry::new).collect(), 3);
    for _ in 0..40 {
        simulation.request(0);
    }
    let full = simulation.in_flight.len();
    assert!(full < 30, "{full} of 40 in flight, so the limit is not full");
    for _ in 0..4 {
        let id = simulation.request(1);
        assert!(
            simulation.in_flight.iter().any(|attempt| attempt.request == id),
            "a request of the class of greater weight was not sent at once"
        );
    }
    simulation.request(0);
    assert_eq!(simulation.in_flight.len(), full + 4, "a request of the other class was sent");
}
