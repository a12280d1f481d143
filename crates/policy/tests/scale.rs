//! What a call costs the module as its list grows: counts, not times.

mod common;

use common::{MS, SECOND, settings};
use zincstand_policy::{
    Action, Balancer, Event, Idempotency, ListKind, Outcome, RequestId, ServerEntry, ServerId, ServerState,
};

/// A balancer that knows so many servers in `zones` zones, as one of so many.
fn balancer(servers: u32, zones: u32, balancers: u32) -> Balancer {
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.zone_count = zones;
    settings.balancer_count = balancers;
    let mut balancer = Balancer::new(settings, 1).expect("the settings make sense");
    let entries = (0..servers).map(|id| ServerEntry { zone: id % zones, ..ServerEntry::new(id) }).collect();
    balancer.handle(0, Event::EndpointList { kind: ListKind::Snapshot, entries }, &mut Vec::new());
    balancer
}

/// Hands in a request and returns what was sent.
fn request(balancer: &mut Balancer, now: u64, id: RequestId) -> Vec<(RequestId, ServerId)> {
    let mut actions = Vec::new();
    let event = Event::Request {
        id,
        class: 0,
        time_left: 2 * SECOND,
        tenant: None,
        work: None,
        marked_retry: false,
        body_pending: false,
    };
    balancer.handle(now, event, &mut actions);
    sent(&actions)
}

fn sent(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send { request, server, .. } => Some((*request, *server)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Servers examined for each of a thousand calls, with as many in flight or queued as there are slots.
fn servers_examined_per_call(servers: u32, zones: u32, balancers: u32) -> f64 {
    let mut balancer = balancer(servers, zones, balancers);
    let mut in_flight = Vec::new();
    let mut now = SECOND;
    let mut id = 0;
    let before = balancer.servers_examined();
    for _ in 0..1_000 {
        now += MS;
        in_flight.extend(request(&mut balancer, now, id));
        id += 1;
        if in_flight.len() >= 20 || id % 2 == 0 {
            let (request, server) = in_flight.remove(0);
            let mut actions = Vec::new();
            let event = Event::Outcome {
                request,
                attempt: 0,
                server,
                outcome: Outcome::Ok,
                latency: 10 * MS,
                finished: true,
                body_consumed: false,
                load: None,
            };
            balancer.handle(now, event, &mut actions);
            in_flight.extend(sent(&actions));
        }
    }
    (balancer.servers_examined() - before) as f64 / 1_000.0
}

#[test]
fn no_cost_of_a_call_grows_with_the_list() {
    for zones in [1, 14] {
        for alone in [true, false] {
            let examined = |servers: u32| {
                let balancers = if alone { 1 } else { servers };
                servers_examined_per_call(servers, zones, balancers)
            };
            let some = examined(64 * zones);
            let many = examined(4_096 * zones);
            assert!(
                many <= 1.5 * some + 2.0,
                "{zones} zones, alone {alone}: {some} and {many} servers a call"
            );
        }
    }
}

#[test]
fn the_one_that_takes_calls_is_found_among_thousands_that_drain() {
    let mut balancer = balancer(3_000, 1, 3_000);
    let entries = (0..3_000).filter(|id| *id != 1_777);
    let entries = entries.map(|id| ServerEntry { state: ServerState::Draining, ..ServerEntry::new(id) });
    let entries = entries.collect();
    balancer.handle(SECOND, Event::EndpointList { kind: ListKind::Delta, entries }, &mut Vec::new());
    assert_eq!(request(&mut balancer, 2 * SECOND, 1), [(1, 1_777)]);
}
