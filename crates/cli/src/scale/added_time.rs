//! What the balancer adds to a call, by rate and by upstreams known.

use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use zincstand_testbed::balancer::{Balancer, Settings, stop};
use zincstand_testbed::callers::{Outcome, Target, open_loop};
use zincstand_testbed::discovery::Discovery;
use zincstand_testbed::machine::Needs;
use zincstand_testbed::report::Slope;
use zincstand_testbed::slope::Point;
use zincstand_testbed::upstreams::Upstreams;

use super::Bench;

/// Calls a second at a balancer, and for how many seconds: slower ones longer, for their high quantiles.
const RATES: [(f64, f64); 4] = [(225.0, 8.0), (450.0, 7.0), (1125.0, 6.0), (2250.0, 5.0)];
const QUICK_RATES: [(f64, f64); 2] = [(225.0, 1.2), (2250.0, 0.8)];
/// A balancer is new for so many calls.
const WARM_UP: (f64, f64) = (450.0, 1.0);
const QUICK_WARM_UP: (f64, f64) = (450.0, 0.3);
/// Kept connections to each target.
const CONNECTIONS: usize = 20;
/// Descriptors and idle time with which a connection to every upstream stays.
const KEPT: (usize, u32) = (8192, 600_000);

/// What is told apart: how many balancers share the upstreams, and whether connections to all of them stay.
#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    shared: bool,
    kept: bool,
}

const VARIANTS: [Variant; 3] = [
    // As in service: as many balancers as upstreams, so that one has a share of about one upstream.
    Variant { name: "shared", shared: true, kept: false },
    Variant { name: "shared-kept", shared: true, kept: true },
    Variant { name: "alone", shared: false, kept: false },
];

impl Variant {
    fn settings(self, upstreams: &Upstreams, discovery: &Discovery) -> Settings {
        let mut settings = Settings::alone(discovery.address());
        if self.shared {
            settings.balancers = upstreams.addresses.len() as u32;
        }
        if self.kept {
            (settings.sockets, settings.idle_close_ms) = KEPT;
        }
        settings
    }
}

/// What was measured of one variant, at one rate and size.
struct Cell {
    upstreams: f64,
    outcome: Outcome,
    /// Quantiles of the direct calls beside it, in microseconds.
    direct: Quantiles,
    processor_us: f64,
    new_connections: f64,
}

type Quantiles = [f64; 3];
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)];

fn quantiles(outcome: &Outcome) -> Quantiles {
    QUANTILES.map(|(_, q)| outcome.quantile_us(q))
}

fn rates(bench: &Bench) -> &'static [(f64, f64)] {
    if bench.quick { &QUICK_RATES } else { &RATES }
}

pub fn plan(bench: &Bench) -> (String, Needs) {
    let processes = VARIANTS.len();
    let most = bench.most_upstreams();
    // An upstream is a listener and a connection or two here, a name and an average there.
    let memory_mb = (processes * 40 + processes * most / 25 + 50) as u64;
    let seconds: f64 = rates(bench).iter().map(|(_, s)| s).sum::<f64>() + 3.0;
    let text = format!(
        "added-time: {processes} balancers at once, {} listeners in this process, up to {:.0} calls a second, {:.0} s",
        VARIANTS.len() * most + 10,
        rates(bench).iter().map(|(rate, _)| rate).fold(0.0, |a, b| f64::max(a, *b))
            * (1 + VARIANTS.len()) as f64,
        seconds * bench.upstreams.len() as f64,
    );
    (text, Needs { processes, memory_mb, descriptors: (processes * most * 2 + 1000) as u64 })
}

pub async fn measure(bench: &Bench) -> Result<Vec<Slope>> {
    // By rate and variant.
    let mut cells: Vec<Vec<Vec<Cell>>> =
        rates(bench).iter().map(|_| VARIANTS.iter().map(|_| Vec::new()).collect()).collect();
    for &size in &bench.upstreams {
        let rig = Rig::start(bench, size).await?;
        let (rate, seconds) = if bench.quick { QUICK_WARM_UP } else { WARM_UP };
        rig.call(rate, seconds).await?;
        for (r, &(rate, seconds)) in rates(bench).iter().enumerate() {
            for (v, cell) in rig.measure(rate, seconds).await?.into_iter().enumerate() {
                cells[r][v].push(cell);
            }
        }
        stop(rig.sides.into_iter().map(|side| side.balancer)).await?;
    }
    let mut slopes = Vec::new();
    for (v, variant) in VARIANTS.iter().enumerate() {
        for (r, (rate, _)) in rates(bench).iter().enumerate() {
            slopes.extend(fitted(&format!("added-time/{}/{rate}-per-s", variant.name), &cells[r][v]));
        }
    }
    Ok(slopes)
}

/// The slopes of one variant at one rate.
fn fitted(name: &str, cells: &[Cell]) -> Vec<Slope> {
    let slope = |what: &str, unit: &str, y: &dyn Fn(&Cell) -> f64| {
        let points = cells.iter().map(|c| Point { x: c.upstreams, y: y(c) }).collect();
        Slope::new(format!("{name}/{what}"), "upstreams known", unit, points)
    };
    let mut slopes = Vec::new();
    for (q, (what, _)) in QUANTILES.iter().enumerate() {
        let direct: Vec<String> = cells.iter().map(|c| format!("{:.0}", c.direct[q])).collect();
        slopes.push(
            slope(what, "us more than direct", &|c| quantiles(&c.outcome)[q] - c.direct[q])
                .remark(format!("direct {} us", direct.join(", "))),
        );
    }
    slopes.push(slope("processor", "us a call", &|c| c.processor_us));
    slopes.push(slope("new-connections", "a call", &|c| c.new_connections));
    let calls: Vec<String> = cells.iter().map(|c| c.outcome.calls.to_string()).collect();
    let said: Vec<String> = cells
        .iter()
        .filter(|c| c.outcome.failed() > 0)
        .map(|c| format!("at {}: {:?}, {} lost", c.upstreams, c.outcome.answers, c.outcome.lost))
        .collect();
    slopes.push(slope("not-200", "of all calls", &|c| c.outcome.failed() as f64).remark(format!(
        "{} calls; {}",
        calls.join(", "),
        said.join("; ")
    )));
    slopes
}

/// A balancer between its own discovery and its own upstreams.
struct Side {
    balancer: Balancer,
    upstreams: Upstreams,
    _discovery: Discovery,
}

/// The stand-ins and the balancers for one size of the list.
struct Rig {
    direct: Upstreams,
    sides: Vec<Side>,
}

impl Rig {
    async fn start(bench: &Bench, size: usize) -> Result<Rig> {
        let mut sides = Vec::new();
        for variant in VARIANTS {
            let (upstreams, discovery) = (Upstreams::start(size)?, Discovery::start()?);
            discovery.replace(upstreams.entries())?;
            let balancer =
                Balancer::start(&bench.balancer, &variant.settings(&upstreams, &discovery)).await?;
            sides.push(Side { balancer, upstreams, _discovery: discovery });
        }
        Ok(Rig { direct: Upstreams::start(size.min(10))?, sides })
    }

    /// Calls all in turn at this rate each: first the direct ones' outcome, then the variants'.
    async fn call(&self, rate: f64, seconds: f64) -> Result<Vec<Outcome>> {
        let mut targets = vec![Target { addresses: self.direct.addresses.clone(), connections: CONNECTIONS }];
        targets.extend(
            self.sides
                .iter()
                .map(|s| Target { addresses: vec![s.balancer.address], connections: CONNECTIONS }),
        );
        let (tell, told) = tokio::sync::oneshot::channel();
        // A thread of its own: dropped, the wait for it ends and not the thread, which the process's end takes along.
        std::thread::Builder::new().name("callers".into()).spawn(move || {
            let _ = tell.send(open_loop("c", &targets, rate, Duration::from_secs_f64(seconds)));
        })?;
        told.await.map_err(|_| anyhow!("the callers have ended early"))?
    }

    async fn measure(&self, rate: f64, seconds: f64) -> Result<Vec<Cell>> {
        let before = self.sides.iter().map(|s| Ok((s.upstreams.connections(), s.balancer.usage()?)));
        let before = before.collect::<Result<Vec<_>>>()?;
        let mut outcomes = self.call(rate, seconds).await?.into_iter();
        let direct = quantiles(&outcomes.next().context("nobody was called directly")?);
        let mut cells = Vec::new();
        for ((Side { balancer, upstreams, .. }, outcome), (connections, usage)) in
            self.sides.iter().zip(outcomes).zip(before)
        {
            let calls = outcome.calls.max(1) as f64;
            let processor = balancer.usage()?.processor.saturating_sub(usage.processor);
            cells.push(Cell {
                upstreams: upstreams.addresses.len() as f64,
                outcome,
                direct,
                processor_us: processor.as_secs_f64() * 1e6 / calls,
                new_connections: (upstreams.connections() - connections) as f64 / calls,
            });
        }
        Ok(cells)
    }
}
