//! Measures the resident memory of a balancer by number of upstreams, connections, calls, classes, tenants and changes.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::time::{Instant, sleep};
use zincstand_testbed::balancer::{Balancer, Settings};
use zincstand_testbed::clients::OpenConnections;
use zincstand_testbed::discovery::{Discovery, Entry, Lifecycle};
use zincstand_testbed::machine::ResourceNeeds;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;
use zincstand_testbed::upstreams::Upstreams;

use super::{MeasurementPlan, Parameters};

/// Number of known upstreams while another quantity is varied.
const KNOWN_UPSTREAMS: usize = 200;
/// Numbers of client connections that are measured, and numbers of calls in flight.
const CONNECTIONS: [usize; 4] = [0, 50, 100, 200];
/// Numbers of request classes that are measured.
const CLASSES: [usize; 4] = [1, 10, 50, 200];
/// Numbers of tenants that are measured.
const TENANTS: [usize; 4] = [0, 50, 200, 1_000];
/// Numbers of changed entries after which the memory is measured.
const CHANGES: [usize; 4] = [0, 1_000, 3_000, 10_000];
/// Number of entries that change in one version of the list.
const ENTRIES_PER_VERSION: usize = 100;
/// Time between the last event and the reading of the memory.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Response time of the upstreams while calls are in flight.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(1500);
/// Deadline of the calls in flight, in milliseconds. Long enough that none of them is rejected for too little
/// remaining time.
const LONG_DEADLINE_MS: u32 = 10_000;
/// Maximum duration of a wait, after which the measurement fails.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Interval between two checks of the version that the balancer has applied.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Returns what the measurement starts and which resources it needs.
pub fn plan(parameters: &Parameters) -> MeasurementPlan {
    let upstreams = parameters.max_upstreams();
    let description = format!(
        "memory: one balancer at a time, about 25 in turn, {} listeners in this process, up to {} connections, 30 s",
        upstreams.max(KNOWN_UPSTREAMS),
        CONNECTIONS[CONNECTIONS.len() - 1]
    );
    let needs = ResourceNeeds {
        processes: 1,
        memory_mb: (100 + upstreams / 10) as u64,
        descriptors: (upstreams + 2000) as u64,
    };
    MeasurementPlan { description, needs }
}

/// Measures one quantity after the other. Each point is measured on a new balancer, except those by number of changes.
pub async fn measure(parameters: &Parameters) -> Result<Vec<Slope>> {
    let max_upstreams = parameters.max_upstreams();
    Ok(vec![
        by_upstreams(parameters).await?,
        by_connections(parameters).await?,
        by_calls_in_flight(parameters).await?,
        by_classes(parameters).await?,
        by_tenants(parameters).await?,
        by_changes(parameters, max_upstreams, "memory/changes-of-state", state_changes).await?,
        by_changes(parameters, max_upstreams, "memory/replacements", replacements).await?,
    ])
}

async fn by_upstreams(parameters: &Parameters) -> Result<Slope> {
    let mut points = Vec::new();
    for &known_upstreams in &parameters.upstreams {
        let testbed = Testbed::start_without_upstreams(parameters, known_upstreams, |_| {}).await?;
        points.push(testbed.resident_memory(known_upstreams).await?);
    }
    Ok(slope("memory/upstreams", "upstreams known", points))
}

async fn by_connections(parameters: &Parameters) -> Result<Slope> {
    let mut points = Vec::new();
    for connections in CONNECTIONS {
        let testbed = Testbed::start_without_upstreams(parameters, KNOWN_UPSTREAMS, |_| {}).await?;
        // Each connection carries a call first, like persistent connections in production.
        let mut open_connections = OpenConnections::connect(testbed.balancer.address, connections)?;
        open_connections.send()?;
        open_connections.receive(TIME_LIMIT)?;
        points.push(testbed.resident_memory(connections).await?);
        drop(open_connections);
    }
    let remark = format!("each has carried one call; {KNOWN_UPSTREAMS} upstreams known");
    Ok(slope("memory/connections", "callers' connections", points).remark(remark))
}

async fn by_calls_in_flight(parameters: &Parameters) -> Result<Slope> {
    let mut points = Vec::new();
    let mut forwarded = Vec::new();
    for calls in CONNECTIONS {
        let long_deadline = |settings: &mut Settings| settings.deadline_ms = LONG_DEADLINE_MS;
        let testbed = Testbed::start(parameters, KNOWN_UPSTREAMS, long_deadline).await?;
        testbed.upstreams()?.set_response_delay(SLOW_RESPONSE_TIME);
        let mut open_connections = OpenConnections::connect(testbed.balancer.address, calls)?;
        open_connections.send()?;
        points.push(testbed.resident_memory(calls).await?);
        forwarded.push(testbed.upstreams()?.requests().iter().sum::<u64>().to_string());
        open_connections.receive(TIME_LIMIT)?;
        drop(open_connections);
    }
    let remark = format!("had reached upstreams: {}", forwarded.join(", "));
    Ok(slope("memory/in-flight", "calls not answered yet, each on its connection", points).remark(remark))
}

async fn by_classes(parameters: &Parameters) -> Result<Slope> {
    let mut points = Vec::new();
    for classes in CLASSES {
        let testbed = Testbed::start_without_upstreams(parameters, KNOWN_UPSTREAMS, |settings| {
            settings.classes = classes;
        })
        .await?;
        points.push(testbed.resident_memory(classes).await?);
    }
    Ok(slope("memory/classes", "classes", points))
}

async fn by_tenants(parameters: &Parameters) -> Result<Slope> {
    let mut points = Vec::new();
    for tenants in TENANTS {
        let testbed = Testbed::start_without_upstreams(parameters, KNOWN_UPSTREAMS, |settings| {
            settings.tenants = tenants;
        })
        .await?;
        points.push(testbed.resident_memory(tenants).await?);
    }
    Ok(slope("memory/tenants", "tenants", points))
}

/// Returns the memory by number of entries changed so far. `version_entries` returns the changed entries of one
/// version, given the number of entries changed before and the addresses of the upstreams.
async fn by_changes(
    parameters: &Parameters,
    known_upstreams: usize,
    name: &str,
    version_entries: fn(usize, &[SocketAddr]) -> Vec<Entry>,
) -> Result<Slope> {
    let testbed = Testbed::start(parameters, known_upstreams, |_| {}).await?;
    let mut changed = 0;
    let mut points = Vec::new();
    for changes in CHANGES {
        while changed < changes {
            let entries = version_entries(changed, &testbed.upstreams()?.addresses);
            changed += entries.len();
            let version = testbed.discovery.change(entries)?.version;
            testbed.wait_for_version(version).await?;
        }
        points.push(testbed.resident_memory(changes).await?);
    }
    let remark = format!(
        "{known_upstreams} upstreams known, {ENTRIES_PER_VERSION} changes a version; x counts changed entries"
    );
    Ok(slope(name, "changes so far", points).remark(remark))
}

fn slope(name: &str, quantity: &str, points: Vec<Point>) -> Slope {
    Slope::new(name, quantity, "KB resident", points)
}

/// Returns the changed entries of one version, after `changed` entries in earlier versions: upstreams alternate between
/// draining and serving from one round over all upstreams to the next.
fn state_changes(changed: usize, addresses: &[SocketAddr]) -> Vec<Entry> {
    let round = changed / addresses.len();
    let state = if round.is_multiple_of(2) { Lifecycle::Draining } else { Lifecycle::Serving };
    let entry = |index: usize| {
        let number = (changed + index) % addresses.len();
        Entry::serving(number, 1, addresses[number]).with_lifecycle(state)
    };
    (0..ENTRIES_PER_VERSION.min(addresses.len())).map(entry).collect()
}

/// Returns the changed entries of one version, after `changed` entries in earlier versions: upstreams that are removed,
/// and new ones at their addresses.
fn replacements(changed: usize, addresses: &[SocketAddr]) -> Vec<Entry> {
    let pair = |index: usize| {
        let number = changed / 2 + index;
        let address = addresses[number % addresses.len()];
        let removed = Entry::serving(number, 1, address).with_lifecycle(Lifecycle::Deleted);
        let added = Entry::serving(number + addresses.len(), 1, address);
        [removed, added]
    };
    (0..ENTRIES_PER_VERSION.min(addresses.len()) / 2).flat_map(pair).collect()
}

/// A running balancer with its discovery and its upstreams.
struct Testbed {
    balancer: Balancer,
    discovery: Discovery,
    /// The upstreams that the balancer knows; `None` once they have been stopped.
    upstreams: Option<Upstreams>,
}

impl Testbed {
    /// Starts a balancer that knows this number of upstreams. `adjust` changes its settings.
    async fn start(
        parameters: &Parameters,
        known_upstreams: usize,
        adjust: impl FnOnce(&mut Settings),
    ) -> Result<Testbed> {
        let upstreams = Upstreams::start(known_upstreams)?;
        let discovery = Discovery::start()?;
        discovery.replace(upstreams.entries())?;
        let mut settings = Settings::for_single_balancer(discovery.address());
        adjust(&mut settings);
        let balancer = Balancer::start(&parameters.balancer, &settings).await?;
        Ok(Testbed { balancer, discovery, upstreams: Some(upstreams) })
    }

    /// Starts a balancer as [`start`](Self::start) does, and stops the upstreams afterwards. The balancer still knows them.
    async fn start_without_upstreams(
        parameters: &Parameters,
        known_upstreams: usize,
        adjust: impl FnOnce(&mut Settings),
    ) -> Result<Testbed> {
        let testbed = Testbed::start(parameters, known_upstreams, adjust).await?;
        Ok(Testbed { upstreams: None, ..testbed })
    }

    /// Returns the upstreams, which must not have been stopped.
    fn upstreams(&self) -> Result<&Upstreams> {
        self.upstreams.as_ref().context("the upstreams of this balancer have been stopped")
    }

    /// Waits until the balancer watches for versions after `version`, which shows that it has applied that version.
    ///
    /// # Errors
    /// The balancer does not apply the version within [`TIME_LIMIT`].
    async fn wait_for_version(&self, version: u64) -> Result<()> {
        let give_up_at = Instant::now() + TIME_LIMIT;
        loop {
            let acknowledgements = self.discovery.take_acknowledgements()?;
            if acknowledgements.iter().any(|acknowledgement| acknowledgement.version >= version) {
                return Ok(());
            }
            if Instant::now() > give_up_at {
                bail!("the balancer has not applied version {version} of the list within {TIME_LIMIT:?}");
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits for [`SETTLING_TIME`] and returns the balancer's memory as the point at `x`.
    ///
    /// # Errors
    /// The balancer has ended.
    async fn resident_memory(&self, x: usize) -> Result<Point> {
        sleep(SETTLING_TIME).await;
        let usage = self
            .balancer
            .usage()
            .context("cannot read the memory of the balancer; its process may have ended")?;
        Ok(Point { x: x as f64, y: usage.resident_kb as f64 })
    }
}
