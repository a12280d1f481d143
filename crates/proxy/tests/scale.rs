//! The cost of a request and of a change of the endpoint list, as counts of connections, requests and bytes. The real
//! program runs in the testbed.

use std::path::Path;
use std::time::{Duration, Instant};

use zincstand_testbed::balancer::{Balancer, Settings, Usage};
use zincstand_testbed::clients::OpenConnections;
use zincstand_testbed::discovery::{Discovery, Entry, Lifecycle, Traffic};
use zincstand_testbed::upstreams::Upstreams;

/// Upper bound on the wait for any single event. No event takes this long, however busy the machine is.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Publishes the entries and starts a balancer that watches discovery.
async fn start_balancer(discovery: &Discovery, entries: Vec<Entry>) -> Balancer {
    discovery.replace(entries).expect("the list is published");
    // The deadline, the watch and idle connections outlast the test, however busy the machine is.
    let settings = Settings {
        deadline_ms: 30_000,
        drain_grace_ms: 90_000,
        idle_close_ms: 600_000,
        ..Settings::for_single_balancer(discovery.address())
    };
    Balancer::start(Path::new(env!("CARGO_BIN_EXE_zincstand-proxy")), &settings)
        .await
        .expect("the balancer starts")
}

/// Waits until a condition is true; `description` says which one.
async fn wait_until(description: &str, mut is_true: impl FnMut() -> bool) {
    let end = Instant::now() + EVENT_TIMEOUT;
    while !is_true() {
        assert!(Instant::now() < end, "{description}: not within {EVENT_TIMEOUT:?}");
        tokio::task::yield_now().await;
    }
}

/// Changes these entries and returns the traffic between discovery and a balancer until the balancer has applied them.
async fn traffic_of_change(discovery: &Discovery, changed: Vec<Entry>) -> Traffic {
    wait_until("the balancer watches", || {
        discovery.counters().expect("the counters are read").waiting_watches > 0
    })
    .await;
    let before = discovery.counters().expect("the counters are read").total;
    let version = discovery.change(changed).expect("the change is published").version;
    let has_applied = || {
        discovery
            .take_acknowledgements()
            .expect("the acknowledgements are read")
            .iter()
            .any(|applied| applied.version == version)
    };
    wait_until("the balancer applies the version", has_applied).await;
    discovery.counters().expect("the counters are read").total.since(&before)
}

#[tokio::test]
async fn a_request_reaches_one_upstream_over_a_reused_connection_however_many_are_known() {
    for known in [10, 200, 1_000] {
        let upstreams = Upstreams::start(known).expect("the upstreams start");
        let discovery = Discovery::start().expect("discovery starts");
        let balancer = start_balancer(&discovery, upstreams.entries()).await;
        let mut clients = OpenConnections::connect(balancer.address, 1).expect("the client connects");
        for _ in 0..20 {
            clients.send().expect("the request is sent");
            assert_eq!(clients.receive(EVENT_TIMEOUT).expect("a response arrives"), [200]);
        }
        let requests = upstreams.requests();
        assert_eq!(requests.iter().sum::<u64>(), 20, "{known} known upstreams");
        // One connection to each upstream that received a request.
        let used = requests.iter().filter(|requests| **requests > 0).count() as u64;
        assert_eq!(upstreams.connections(), used, "{known} known upstreams");
    }
}

#[tokio::test]
async fn a_change_costs_one_request_and_bytes_for_the_changed_entries_whatever_the_length_of_the_list() {
    let address = |number: usize| ([127, 0, 0, 1], 1_000 + number as u16).into();
    let entry = |number| Entry::serving(number, 1, address(number));
    let entries = |count| (0..count).map(entry).collect::<Vec<_>>();
    let mut bytes = Vec::new();
    for known in [34, 200, 2_000] {
        let discovery = Discovery::start().expect("discovery starts");
        let _balancer = start_balancer(&discovery, entries(known)).await;
        for changed in [1, 11, 21] {
            let changed: Vec<_> =
                entries(changed).iter().map(|entry| entry.with_lifecycle(Lifecycle::Draining)).collect();
            let traffic = traffic_of_change(&discovery, changed).await;
            assert_eq!(
                (traffic.requests, traffic.deltas, traffic.snapshots, traffic.connections),
                (1, 1, 0, 0)
            );
            bytes.push(traffic.bytes_out);
        }
    }
    let [one, eleven, twenty_one] = [bytes[0], bytes[1], bytes[2]];
    let bytes_per_entry = (twenty_one - eleven) / 10;
    // The number of digits of Content-Length may differ.
    assert!(eleven.abs_diff(one + 10 * bytes_per_entry) <= 2, "{bytes:?}");
    assert!(bytes.chunks(3).all(|bytes_of_one_list| bytes_of_one_list == &bytes[..3]), "{bytes:?}");
}

#[tokio::test]
async fn a_balancer_exits_when_its_handle_is_dropped() {
    let discovery = Discovery::start().expect("discovery starts");
    let balancer = start_balancer(&discovery, vec![Entry::serving(0, 1, ([127, 0, 0, 1], 1).into())]).await;
    let id = balancer.process_id();
    Usage::of(id).expect("the balancer runs");
    drop(balancer);
    let has_exited = || {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        status.is_empty() || status.contains("State:\tZ")
    };
    wait_until("the balancer exits", has_exited).await;
}
