//! What the protocol costs with many real watchers, as counts and bytes, never as times.

use std::net::SocketAddr;
use std::time::Duration;

use zincstand_policy::{ListKind, ServerState};
use zincstand_testbed::discovery::{Counters, Discovery, Entry, Lifecycle};
use zincstand_testbed::hollow::{Crowd, Options, UpdateMode};

const LONG: Duration = Duration::from_secs(60);
const BALANCERS: u32 = 50;

fn entry(number: usize) -> Entry {
    Entry::serving(number, 14, SocketAddr::from(([127, 0, 0, 1], 9)))
}

/// Discovery with a list of so many, and balancers that have all taken it over and watch again. Their watches
/// wait longer than the test takes, so that every answer is news.
fn settled(upstreams: usize) -> (Discovery, Crowd) {
    let discovery = Discovery::start().expect("discovery");
    discovery.replace((0..upstreams).map(entry).collect()).expect("a list");
    let options = Options {
        balancers: BALANCERS,
        threads: 2,
        discovery: discovery.address(),
        learning: UpdateMode::Push,
        drain_grace: LONG,
        ask_within: LONG,
        zones: 14,
        slow: None,
        seed: 1,
    };
    let crowd = Crowd::start(&options).expect("balancers");
    reached(&crowd, |r| assert_eq!((r.kind, r.entries), (ListKind::Snapshot, upstreams)));
    waiting(&discovery);
    (discovery, crowd)
}

fn reached(crowd: &Crowd, check: impl Fn(zincstand_testbed::hollow::Reached)) {
    let mut told = std::collections::BTreeSet::new();
    while told.len() < BALANCERS as usize {
        let reached = crowd.next(LONG).expect("a list reaches each");
        check(reached);
        assert!(told.insert(reached.balancer), "told twice");
    }
}

fn waiting(discovery: &Discovery) -> Counters {
    loop {
        let counted = discovery.counters().expect("counted");
        if counted.waiting_watches == u64::from(BALANCERS) {
            return counted;
        }
        std::thread::yield_now();
    }
}

#[test]
fn a_change_costs_each_balancer_one_small_answer_however_long_the_list_is() {
    let costs = [20, 500].map(|upstreams| {
        let (discovery, crowd) = settled(upstreams);
        let before = waiting(&discovery).total;
        assert_eq!((before.snapshots, before.connections), (50, 50));
        crowd.mark("s-00000003", ServerState::Draining);
        discovery.change(vec![entry(3).with_lifecycle(Lifecycle::Draining)]).expect("changed");
        reached(&crowd, |r| assert!(r.marked && r.kind == ListKind::Delta && r.entries == 1));
        waiting(&discovery).total.since(&before)
    });
    for cost in costs {
        assert_eq!((cost.connections, cost.snapshots, cost.deltas, cost.requests), (0, 0, 50, 50));
        assert!(cost.bytes_out <= 50 * 400 && cost.bytes_in <= 50 * 120, "{cost:?}");
    }
    assert_eq!(costs[0].bytes_out, costs[1].bytes_out);
}

#[test]
fn after_a_break_each_comes_back_once_and_asks_for_changes_since_what_it_holds() {
    let (discovery, crowd) = settled(500);
    let before = waiting(&discovery).total;
    discovery.close_connections().expect("broken");
    while discovery.counters().expect("counted").total.connections < 100 {
        std::thread::yield_now();
    }
    let after = waiting(&discovery).total.since(&before);
    assert_eq!((after.connections, after.requests, after.snapshots, after.bytes_out), (50, 50, 0, 0));
    // They are told again.
    discovery.change(vec![entry(3).with_lifecycle(Lifecycle::Draining)]).expect("changed");
    reached(&crowd, |r| assert_eq!((r.kind, r.entries), (ListKind::Delta, 1)));
}
