//! What a call costs the module as its list grows: counts, not times.

mod common;

use common::{MS, SECOND, settings};
use zincstand_policy::{
    Action, Balancer, Event, Idempotency, ListKind, Outcome, RequestId, ServerEntry, ServerId, ServerState,
};

/// A balancer that knows so many servers in `zones` zones, as one of so many.
fn balancer(servers: u32, zones: u32, balancers: u32) -> Balancer {
    let mut settings = settings(&[Idempotency::Idempotent]);
    (settings.zone_count, settings.balancer_count) = (zones, balancers);
    let mut balancer = Balancer::new(settings, 1).expect("the settings make sense");
    let entries = (0..servers).map(|id| ServerEntry { zone: id % zones, ..ServerEntry::new(id) }).collect();
    balancer.handle(0, Event::EndpointList { kind: ListKind::Snapshot, entries }, &mut Vec::new());
    balancer
}

fn ask(balancer: &mut Balancer, now: u64, id: RequestId) -> Vec<(RequestId, ServerId)> {
    let mut actions = Vec::new();
    let (work, tenant) = (None, None);
    let time_left = 2 * SECOND;
    let event =
        Event::Request { id, class: 0, time_left, tenant, work, marked_retry: false, body_pending: false };
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

/// Servers looked at for each of a thousand calls, with as many out or held all the time as there is room for.
fn looks_a_call(servers: u32, zones: u32, balancers: u32) -> f64 {
    let mut balancer = balancer(servers, zones, balancers);
    let (mut out, mut now, mut id) = (Vec::new(), SECOND, 0);
    let before = balancer.servers_examined();
    for _ in 0..1_000 {
        now += MS;
        out.extend(ask(&mut balancer, now, id));
        id += 1;
        if out.len() >= 20 || id % 2 == 0 {
            let (request, server) = out.remove(0);
            let mut actions = Vec::new();
            let (outcome, latency) = (Outcome::Ok, 10 * MS);
            let (attempt, closed, spent, load) = (0, true, false, None);
            let event = Event::Outcome {
                request,
                attempt,
                server,
                outcome,
                latency,
                finished: closed,
                body_consumed: spent,
                load,
            };
            balancer.handle(now, event, &mut actions);
            out.extend(sent(&actions));
        }
    }
    (balancer.servers_examined() - before) as f64 / 1_000.0
}

#[test]
fn no_cost_of_a_call_grows_with_the_list() {
    for zones in [1, 14] {
        for alone in [true, false] {
            let of = |servers: u32| looks_a_call(servers, zones, if alone { 1 } else { servers });
            let (some, many) = (of(64 * zones), of(4_096 * zones));
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
    assert_eq!(ask(&mut balancer, 2 * SECOND, 1), [(1, 1_777)]);
}
