//! Cost of a request as the endpoint list grows. It is measured in servers examined, so that the result does
//! not depend on the machine.

#[path = "common/fixtures.rs"]
mod fixtures;

use std::collections::VecDeque;

use fixtures::{MS, SECOND, settings};
use zincstand_policy::{
    Action, Balancer, Event, Idempotency, ListKind, Micros, Outcome, RequestId, ServerEntry, ServerId,
    ServerState,
};

/// Number of requests over which the cost is measured.
const REQUESTS: u64 = 1_000;

/// Returns one of `balancers` balancers, with an endpoint list of `servers` servers in `zones` zones.
fn balancer(servers: u32, zones: u32, balancers: u32) -> Balancer {
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.zone_count = zones;
    settings.balancer_count = balancers;
    let mut balancer = Balancer::new(settings, 1).expect("the settings are valid");
    let entries = (0..servers).map(|id| ServerEntry { zone: id % zones, ..ServerEntry::new(id) }).collect();
    balancer.handle(0, Event::EndpointList { kind: ListKind::Snapshot, entries }, &mut Vec::new());
    balancer
}

/// An attempt that the balancer has sent.
#[derive(Debug, PartialEq)]
struct SentAttempt {
    request: RequestId,
    server: ServerId,
}

/// Delivers a request and returns the attempts that the balancer sends in response.
fn request(balancer: &mut Balancer, now: Micros, id: RequestId) -> Vec<SentAttempt> {
    let event = Event::Request {
        id,
        class: 0,
        time_left: 2 * SECOND,
        tenant: None,
        work: None,
        marked_retry: false,
        body_pending: false,
    };
    handle(balancer, now, event)
}

/// Ends an attempt successfully and returns the attempts that the balancer sends in response.
fn end(balancer: &mut Balancer, now: Micros, attempt: &SentAttempt) -> Vec<SentAttempt> {
    let event = Event::Outcome {
        request: attempt.request,
        attempt: 0,
        server: attempt.server,
        outcome: Outcome::Ok,
        latency: 10 * MS,
        finished: true,
        body_consumed: false,
        load: None,
    };
    handle(balancer, now, event)
}

fn handle(balancer: &mut Balancer, now: Micros, event: Event) -> Vec<SentAttempt> {
    let mut actions = Vec::new();
    balancer.handle(now, event, &mut actions);
    let sent_attempt = |action: &Action| match action {
        Action::Send { request, server, .. } => Some(SentAttempt { request: *request, server: *server }),
        _ => None,
    };
    actions.iter().filter_map(sent_attempt).collect()
}

/// Returns the mean number of servers examined per request. An attempt ends at every second request, and at
/// every request while 20 attempts are in flight, so that the concurrency limits fill up.
fn servers_examined_per_request(servers: u32, zones: u32, balancers: u32) -> f64 {
    let mut balancer = balancer(servers, zones, balancers);
    let mut in_flight = VecDeque::new();
    let before = balancer.servers_examined();
    for number in 1..=REQUESTS {
        let now = SECOND + number * MS;
        in_flight.extend(request(&mut balancer, now, number - 1));
        if in_flight.len() >= 20 || number % 2 == 0 {
            let oldest = in_flight.pop_front().expect("an attempt is in flight");
            in_flight.extend(end(&mut balancer, now, &oldest));
        }
    }
    (balancer.servers_examined() - before) as f64 / REQUESTS as f64
}

#[test]
fn the_cost_of_a_request_does_not_grow_with_the_endpoint_list() {
    for zones in [1, 14] {
        for single_balancer in [true, false] {
            let examined = |servers: u32| {
                let balancers = if single_balancer { 1 } else { servers };
                servers_examined_per_request(servers, zones, balancers)
            };
            let with_few = examined(64 * zones);
            let with_many = examined(4_096 * zones);
            assert!(
                with_many <= 1.5 * with_few + 2.0,
                "{zones} zones (single balancer: {single_balancer}): {with_few} and {with_many} examined"
            );
        }
    }
}

#[test]
fn the_only_ready_server_is_found_among_thousands_of_draining_ones() {
    let mut balancer = balancer(3_000, 1, 3_000);
    let draining = |id| ServerEntry { state: ServerState::Draining, ..ServerEntry::new(id) };
    let entries = (0..3_000).filter(|id| *id != 1_777).map(draining).collect();
    balancer.handle(SECOND, Event::EndpointList { kind: ListKind::Delta, entries }, &mut Vec::new());
    assert_eq!(request(&mut balancer, 2 * SECOND, 1), [SentAttempt { request: 1, server: 1_777 }]);
}
