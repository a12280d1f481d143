//! The cost of the discovery protocol with many watchers, in requests, responses and bytes. Times are not measured.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use zincstand_policy::{ListKind, ServerState};
use zincstand_testbed::discovery::{Counters, Discovery, Entry, Lifecycle};
use zincstand_testbed::hollow::{FleetOptions, HollowFleet, ListApplied, UpdateMode};

/// Maximum wait for any single event. It is also the drain grace of the fleet, from which the wait of its watches is
/// derived.
const EVENT_TIMEOUT: Duration = Duration::from_mins(1);
/// Number of balancers that watch.
const BALANCERS: u32 = 50;

fn entry(number: usize) -> Entry {
    Entry::serving(number, 14, SocketAddr::from(([127, 0, 0, 1], 9)))
}

/// Discovery, and balancers that have all applied its list and watch for the next version. Their watches wait longer
/// than the test takes, so that every response is a notification.
struct WatchingFleet {
    discovery: Discovery,
    balancers: HollowFleet,
}

/// Starts discovery with a list of this many upstreams, and waits until all balancers watch.
fn start_watching(upstreams: usize) -> WatchingFleet {
    let discovery = Discovery::start().expect("discovery starts");
    discovery.replace((0..upstreams).map(entry).collect()).expect("the list is replaced");
    let options = FleetOptions {
        balancers: BALANCERS,
        threads: 2,
        discovery: discovery.address(),
        update_mode: UpdateMode::Push,
        drain_grace: EVENT_TIMEOUT,
        poll_within: EVENT_TIMEOUT,
        zones: 14,
        slow: None,
        seed: 1,
    };
    let balancers = HollowFleet::start(&options).expect("the balancers start");
    wait_until_each_applied(&balancers, |applied| {
        assert_eq!((applied.kind, applied.entries), (ListKind::Snapshot, upstreams));
    });
    wait_until_all_watch(&discovery);
    WatchingFleet { discovery, balancers }
}

/// Waits until each balancer has applied one list, and calls `check` for each of these events.
fn wait_until_each_applied(balancers: &HollowFleet, check: impl Fn(ListApplied)) {
    let mut applied_by = BTreeSet::new();
    while applied_by.len() < BALANCERS as usize {
        let applied = balancers.next_applied(EVENT_TIMEOUT).expect("a balancer applies a list");
        check(applied);
        assert!(applied_by.insert(applied.balancer), "balancer {} applied two lists", applied.balancer);
    }
}

/// Waits until the watches of all balancers are waiting, and returns the counters.
fn wait_until_all_watch(discovery: &Discovery) -> Counters {
    loop {
        let counters = discovery.counters().expect("the counters are read");
        if counters.waiting_watches == u64::from(BALANCERS) {
            return counters;
        }
        std::thread::yield_now();
    }
}

#[test]
fn a_change_costs_each_balancer_one_small_response_regardless_of_the_length_of_the_list() {
    let costs = [20, 500].map(|upstreams| {
        let WatchingFleet { discovery, balancers } = start_watching(upstreams);
        let before = wait_until_all_watch(&discovery).total;
        assert_eq!((before.snapshots, before.connections), (50, 50));
        balancers.mark("s-00000003", ServerState::Draining);
        discovery.change(vec![entry(3).with_lifecycle(Lifecycle::Draining)]).expect("the list is changed");
        wait_until_each_applied(&balancers, |applied| {
            assert!(applied.is_marked && applied.kind == ListKind::Delta && applied.entries == 1);
        });
        wait_until_all_watch(&discovery).total.since(&before)
    });
    for cost in costs {
        assert_eq!((cost.connections, cost.snapshots, cost.deltas, cost.requests), (0, 0, 50, 50));
        assert!(cost.bytes_out <= 50 * 400 && cost.bytes_in <= 50 * 120, "{cost:?}");
    }
    assert_eq!(costs[0].bytes_out, costs[1].bytes_out);
}

#[test]
fn after_a_disconnect_each_balancer_reconnects_once_and_watches_from_its_version() {
    let WatchingFleet { discovery, balancers } = start_watching(500);
    let before = wait_until_all_watch(&discovery).total;
    discovery.close_connections().expect("the connections are closed");
    while discovery.counters().expect("the counters are read").total.connections < 100 {
        std::thread::yield_now();
    }
    let after = wait_until_all_watch(&discovery).total.since(&before);
    assert_eq!((after.connections, after.requests, after.snapshots, after.bytes_out), (50, 50, 0, 0));
    // The new watches are notified of a change.
    discovery.change(vec![entry(3).with_lifecycle(Lifecycle::Draining)]).expect("the list is changed");
    wait_until_each_applied(&balancers, |applied| {
        assert_eq!((applied.kind, applied.entries), (ListKind::Delta, 1));
    });
}
