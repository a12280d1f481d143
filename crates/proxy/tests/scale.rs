//! What a call and a change cost, as counts, measured by the rig around the real program.

use std::path::Path;
use std::time::{Duration, Instant};

use zincstand_testbed::balancer::{Balancer, Settings, Usage};
use zincstand_testbed::callers::Held;
use zincstand_testbed::discovery::{Discovery, Entry, Lifecycle, Traffic};
use zincstand_testbed::upstreams::Upstreams;

/// Nothing takes this long.
const LONG: Duration = Duration::from_secs(30);

async fn start(discovery: &Discovery, entries: Vec<Entry>) -> Balancer {
    discovery.replace(entries).expect("a list");
    // A deadline, a watch and connections that outlast the test, however busy the machine is.
    let settings = Settings {
        deadline_ms: 30_000,
        drain_grace_ms: 90_000,
        idle_close_ms: 600_000,
        ..Settings::alone(discovery.address())
    };
    Balancer::start(Path::new(env!("CARGO_BIN_EXE_zincstand-proxy")), &settings).await.expect("it starts")
}

async fn until(what: &str, mut is: impl FnMut() -> bool) {
    let late = Instant::now() + LONG;
    while !is() {
        assert!(Instant::now() < late, "{what}: not within {LONG:?}");
        tokio::task::yield_now().await;
    }
}

/// What a change of so many entries makes pass, until the balancer watches again.
async fn traffic(discovery: &Discovery, changed: Vec<Entry>) -> Traffic {
    until("it watches", || discovery.counters().expect("counts").waiting_watches > 0).await;
    let before = discovery.counters().expect("counts").total;
    let version = discovery.change(changed).expect("a version").version;
    let taken_over =
        || discovery.take_acknowledgements().expect("watches").iter().any(|seen| seen.version == version);
    until("it takes the version over", taken_over).await;
    discovery.counters().expect("counts").total.since(&before)
}

#[tokio::test]
async fn a_call_reaches_one_upstream_over_a_kept_connection_however_many_are_known() {
    for known in [10, 200, 1_000] {
        let (upstreams, discovery) =
            (Upstreams::start(known).expect("upstreams"), Discovery::start().expect("discovery"));
        let balancer = start(&discovery, upstreams.entries()).await;
        let mut callers = Held::connect(balancer.address, 1).expect("a connection");
        for _ in 0..20 {
            callers.send().expect("a call");
            assert_eq!(callers.receive(LONG).expect("an answer"), [200]);
        }
        let calls = upstreams.calls();
        assert_eq!(calls.iter().sum::<u64>(), 20, "{known} known");
        // One connection to each that was called, however often.
        let called = calls.iter().filter(|calls| **calls > 0).count() as u64;
        assert_eq!(upstreams.connections(), called, "{known} known");
    }
}

#[tokio::test]
async fn a_change_costs_one_call_and_bytes_by_the_entries_that_changed_and_not_by_those_known() {
    let address = |i: usize| ([127, 0, 0, 1], 1_000 + i as u16).into();
    let entries = |number| (0..number).map(|i| Entry::serving(i, 1, address(i))).collect::<Vec<_>>();
    let mut bytes = Vec::new();
    for known in [34, 200, 2_000] {
        let discovery = Discovery::start().expect("discovery");
        let _balancer = start(&discovery, entries(known)).await;
        for changed in [1, 11, 21] {
            let changed: Vec<_> =
                entries(changed).iter().map(|e| e.with_lifecycle(Lifecycle::Draining)).collect();
            let told = traffic(&discovery, changed).await;
            assert_eq!((told.requests, told.deltas, told.snapshots, told.connections), (1, 1, 0, 0));
            bytes.push(told.bytes_out);
        }
    }
    let (one, eleven, twenty_one) = (bytes[0], bytes[1], bytes[2]);
    let an_entry = (twenty_one - eleven) / 10;
    // The length's own digits and no more.
    assert!(eleven.abs_diff(one + 10 * an_entry) <= 2, "{bytes:?}");
    assert!(bytes.chunks(3).all(|b| b == &bytes[..3]), "{bytes:?}");
}

#[tokio::test]
async fn a_balancer_ends_with_its_owner() {
    let discovery = Discovery::start().expect("discovery");
    let balancer = start(&discovery, vec![Entry::serving(0, 1, ([127, 0, 0, 1], 1).into())]).await;
    let id = balancer.id();
    Usage::of(id).expect("it runs");
    drop(balancer);
    let ended = || {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        status.is_empty() || status.contains("State:\tZ")
    };
    until("it ends", ended).await;
}
