//! Measures the latency that the balancer adds to a call, by call rate and by number of known upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use tokio::sync::oneshot;
use zincstand_testbed::balancer::{Balancer, Settings, stop};
use zincstand_testbed::clients::{Outcome, Target, run_open_loop};
use zincstand_testbed::discovery::Discovery;
use zincstand_testbed::machine::ResourceNeeds;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;
use zincstand_testbed::upstreams::Upstreams;

use super::{MeasurementPlan, Parameters};

/// A constant call rate and its duration.
#[derive(Clone, Copy)]
struct Load {
    /// Calls per second to each target.
    rate: f64,
    seconds: f64,
}

/// Loads of a complete measurement. Lower rates run longer, because high quantiles need many calls.
const LOADS: [Load; 4] = [
    Load { rate: 225.0, seconds: 8.0 },
    Load { rate: 450.0, seconds: 7.0 },
    Load { rate: 1125.0, seconds: 6.0 },
    Load { rate: 2250.0, seconds: 5.0 },
];
const QUICK_LOADS: [Load; 2] = [Load { rate: 225.0, seconds: 1.2 }, Load { rate: 2250.0, seconds: 0.8 }];
/// Load that warms up the balancers before the first measurement.
const WARM_UP: Load = Load { rate: 450.0, seconds: 1.0 };
const QUICK_WARM_UP: Load = Load { rate: 450.0, seconds: 0.3 };
/// Number of persistent connections to each target.
const CONNECTIONS: usize = 20;
/// Descriptor limit that allows a pooled connection to every upstream.
const POOLING_DESCRIPTOR_LIMIT: usize = 8192;
/// Idle timeout of upstreams, in milliseconds, that no pooled connection reaches during a measurement.
const POOLING_IDLE_TIMEOUT_MS: u32 = 600_000;
/// Maximum number of upstreams that are called without a balancer, for comparison.
const MAX_DIRECT_UPSTREAMS: usize = 10;
/// Estimated duration of start and warm-up for one size, in seconds.
const START_SECONDS: f64 = 3.0;

/// A configuration of the balancer that is measured.
#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    /// Whether the settings state as many balancers as upstreams, which then share the upstreams. Otherwise one
    /// balancer uses all upstreams alone.
    shared: bool,
    /// Whether a connection to every upstream stays pooled.
    pools_all_connections: bool,
}

const VARIANTS: [Variant; 3] = [
    // In production, the share of each balancer is about one upstream.
    Variant { name: "shared", shared: true, pools_all_connections: false },
    Variant { name: "shared-kept", shared: true, pools_all_connections: true },
    Variant { name: "alone", shared: false, pools_all_connections: false },
];

impl Variant {
    fn settings(self, upstreams: &Upstreams, discovery: &Discovery) -> Settings {
        let mut settings = Settings::for_single_balancer(discovery.address());
        if self.shared {
            settings.balancers = upstreams.addresses.len() as u32;
        }
        if self.pools_all_connections {
            settings.sockets = POOLING_DESCRIPTOR_LIMIT;
            settings.idle_close_ms = POOLING_IDLE_TIMEOUT_MS;
        }
        settings
    }
}

/// Names and ranks of the quantiles that are reported.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)];

/// Latencies at [`QUANTILES`], in microseconds.
type Quantiles = [f64; QUANTILES.len()];

fn quantiles(outcome: &Outcome) -> Quantiles {
    QUANTILES.map(|(_, rank)| outcome.quantile_us(rank))
}

/// Measured values of one variant with one load and size.
struct Measurement {
    upstreams: f64,
    outcome: Outcome,
    /// Quantiles of the calls that were made to upstreams without a balancer at the same time.
    direct: Quantiles,
    /// Processor time of the balancer per call, in microseconds.
    processor_us: f64,
    /// Connections to upstreams that were opened, per call.
    new_connections: f64,
}

fn loads(parameters: &Parameters) -> &'static [Load] {
    if parameters.quick { &QUICK_LOADS } else { &LOADS }
}

/// Returns what the measurement starts and which resources it needs.
pub fn plan(parameters: &Parameters) -> MeasurementPlan {
    let processes = VARIANTS.len();
    let upstreams = parameters.max_upstreams();
    let max_rate = loads(parameters).iter().map(|load| load.rate).fold(0.0, f64::max);
    let seconds_per_size = loads(parameters).iter().map(|load| load.seconds).sum::<f64>() + START_SECONDS;
    let description = format!(
        "added-time: {processes} balancers at once, {} listeners in this process, up to {:.0} calls a second, {:.0} s",
        processes * upstreams + MAX_DIRECT_UPSTREAMS,
        max_rate * (1 + processes) as f64,
        seconds_per_size * parameters.upstreams.len() as f64,
    );
    let needs = ResourceNeeds {
        processes,
        // Per upstream: a listener and one or two connections in this process, and its entry in a balancer.
        memory_mb: (processes * 40 + processes * upstreams / 25 + 50) as u64,
        descriptors: (processes * upstreams * 2 + 1000) as u64,
    };
    MeasurementPlan { description, needs }
}

/// Measures all variants at each size and load.
pub async fn measure(parameters: &Parameters) -> Result<Vec<Slope>> {
    // The key is the index of the variant, then that of the load.
    let mut measurements: BTreeMap<(usize, usize), Vec<Measurement>> = BTreeMap::new();
    for &size in &parameters.upstreams {
        let testbed = Testbed::start(parameters, size).await?;
        testbed.call(if parameters.quick { QUICK_WARM_UP } else { WARM_UP }).await?;
        for (load_index, &load) in loads(parameters).iter().enumerate() {
            for (variant_index, measurement) in testbed.measure(load).await?.into_iter().enumerate() {
                measurements.entry((variant_index, load_index)).or_default().push(measurement);
            }
        }
        stop(testbed.measured.into_iter().map(|measured| measured.balancer)).await?;
    }
    let mut slopes = Vec::new();
    for ((variant, load), measurements) in &measurements {
        let variant = VARIANTS[*variant].name;
        let rate = loads(parameters)[*load].rate;
        slopes.extend(slopes_of(&format!("added-time/{variant}/{rate}-per-s"), measurements));
    }
    Ok(slopes)
}

/// Returns the slopes of one variant at one rate.
fn slopes_of(name: &str, measurements: &[Measurement]) -> Vec<Slope> {
    let slope = |what: &str, unit: &str, y: &dyn Fn(&Measurement) -> f64| {
        let point = |measured: &Measurement| Point { x: measured.upstreams, y: y(measured) };
        let points = measurements.iter().map(point).collect();
        Slope::new(format!("{name}/{what}"), "upstreams known", unit, points)
    };
    let mut slopes = Vec::new();
    for (index, (quantile, _)) in QUANTILES.iter().enumerate() {
        let added = |measured: &Measurement| quantiles(&measured.outcome)[index] - measured.direct[index];
        let direct = join_texts(measurements, |measured| format!("{:.0}", measured.direct[index]));
        let slope = slope(quantile, "us more than direct", &added);
        slopes.push(slope.remark(format!("direct {direct} us")));
    }
    slopes.push(slope("processor", "us a call", &|measured| measured.processor_us));
    slopes.push(slope("new-connections", "a call", &|measured| measured.new_connections));
    let failed = slope("not-200", "of all calls", &|measured| measured.outcome.failed() as f64);
    let calls = join_texts(measurements, |measured| measured.outcome.requests.to_string());
    slopes.push(failed.remark(format!("{calls} calls; {}", failures(measurements))));
    slopes
}

fn join_texts(measurements: &[Measurement], text: impl Fn(&Measurement) -> String) -> String {
    let texts: Vec<String> = measurements.iter().map(text).collect();
    texts.join(", ")
}

/// Lists the numbers of responses by status and of lost calls, for each size at which calls failed.
fn failures(measurements: &[Measurement]) -> String {
    let mut failures = Vec::new();
    for Measurement { upstreams, outcome, .. } in measurements {
        if outcome.failed() > 0 {
            failures.push(format!("at {upstreams}: {:?}, {} lost", outcome.responses, outcome.lost));
        }
    }
    failures.join("; ")
}

/// A running balancer with a separate discovery and separate upstreams.
struct MeasuredBalancer {
    balancer: Balancer,
    upstreams: Upstreams,
    /// Keeps the discovery running while the balancer watches it.
    _discovery: Discovery,
}

/// Resources that a balancer has used since its start.
struct Usage {
    connections: u64,
    processor: Duration,
}

impl MeasuredBalancer {
    async fn start(parameters: &Parameters, size: usize, variant: Variant) -> Result<MeasuredBalancer> {
        let upstreams = Upstreams::start(size)?;
        let discovery = Discovery::start()?;
        discovery.replace(upstreams.entries())?;
        let settings = variant.settings(&upstreams, &discovery);
        let balancer = Balancer::start(&parameters.balancer, &settings).await?;
        Ok(MeasuredBalancer { balancer, upstreams, _discovery: discovery })
    }

    fn usage(&self) -> Result<Usage> {
        let processor = self.balancer.usage()?.processor_time;
        Ok(Usage { connections: self.upstreams.connections(), processor })
    }

    fn measurement(&self, outcome: Outcome, direct: Quantiles, before: &Usage) -> Result<Measurement> {
        let after = self.usage()?;
        let calls = outcome.requests.max(1) as f64;
        let processor = after.processor.saturating_sub(before.processor);
        Ok(Measurement {
            upstreams: self.upstreams.addresses.len() as f64,
            outcome,
            direct,
            processor_us: processor.as_secs_f64() * 1e6 / calls,
            new_connections: (after.connections - before.connections) as f64 / calls,
        })
    }
}

/// The upstreams that are called directly and the balancers, for one number of known upstreams.
struct Testbed {
    /// Upstreams that are called without a balancer.
    direct: Upstreams,
    /// One balancer for each variant.
    measured: Vec<MeasuredBalancer>,
}

impl Testbed {
    async fn start(parameters: &Parameters, size: usize) -> Result<Testbed> {
        let mut measured = Vec::new();
        for variant in VARIANTS {
            measured.push(MeasuredBalancer::start(parameters, size, variant).await?);
        }
        let direct = Upstreams::start(size.min(MAX_DIRECT_UPSTREAMS))?;
        Ok(Testbed { direct, measured })
    }

    /// Calls all targets in turn, each at the rate of the load. Returns the outcome of the direct calls, then one
    /// outcome for each variant.
    async fn call(&self, load: Load) -> Result<Vec<Outcome>> {
        let mut targets = vec![Target { addresses: self.direct.addresses.clone(), connections: CONNECTIONS }];
        for measured in &self.measured {
            targets.push(Target { addresses: vec![measured.balancer.address], connections: CONNECTIONS });
        }
        let duration = Duration::from_secs_f64(load.seconds);
        let (sender, receiver) = oneshot::channel();
        // The callers run on a separate thread. On an interrupt this future is dropped, and the thread ends with the
        // process.
        std::thread::Builder::new().name("callers".into()).spawn(move || {
            // Sending fails only after an interrupt, which drops the receiver.
            let _ = sender.send(run_open_loop("c", &targets, load.rate, duration));
        })?;
        Ok(receiver.await.map_err(|_| anyhow!("the thread of the callers has ended without a result"))??)
    }

    async fn measure(&self, load: Load) -> Result<Vec<Measurement>> {
        let before = self.measured.iter().map(MeasuredBalancer::usage).collect::<Result<Vec<_>>>()?;
        let mut outcomes = self.call(load).await?.into_iter();
        let direct =
            quantiles(&outcomes.next().context("the callers have returned no outcome for the direct calls")?);
        let mut measurements = Vec::new();
        for ((measured, outcome), before) in self.measured.iter().zip(outcomes).zip(&before) {
            measurements.push(measured.measurement(outcome, direct, before)?);
        }
        Ok(measurements)
    }
}
