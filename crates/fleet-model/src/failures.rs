//! Failures of a whole fleet: as many balancers as servers, in zones and regions, and what each failure costs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use zincstand_policy::{Action, Event, LearnedState, Micros};

use crate::catalog::{fault, plain};
use crate::depth::Fit;
use crate::policy::{Kind, Policy};
use crate::scenario::*;
use crate::scoring::{NewsCount, Rule};
use crate::server::Truth;
use crate::span::Span;
use crate::world::play_with;

/// Calls a second to one balancer of the planned fleet.
const PLANNED: f64 = 225.0;
/// How busy the servers are before the failure.
const BUSY: f64 = 0.45;
/// Cores of a server.
const CORES: f64 = 2.0;
/// Bytes of an entry of a list, as the protocol writes it: 340 KB for 2,000.
const ENTRY_BYTES: u64 = 170;
/// Part of the goodput before a failure at which the fleet counts as recovered.
const RECOVERED: f64 = 0.9;
/// Seconds in a row that must reach it.
const STEADY: usize = 3;

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// Nothing.
    None,
    /// A zone's servers and balancers vanish at once and come back cold.
    Zone,
    /// Twenty servers of a zone and their balancers vanish at once and come back cold.
    Rack,
    /// Eight machines vanish one after the other and come back cold, 110 servers and balancers restart.
    Day,
    /// A region loses the others and finds them again.
    Region,
}

impl Failure {
    /// All of them.
    pub const ALL: [Failure; 5] =
        [Failure::None, Failure::Rack, Failure::Day, Failure::Zone, Failure::Region];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Failure::None => "none",
            Failure::Zone => "zone",
            Failure::Rack => "rack",
            Failure::Day => "8 + 110 in a minute",
            Failure::Region => "region cut off",
        }
    }
}

/// What to play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sizes {
    /// Servers, and balancers, in all.
    pub servers: u32,
    /// Zones; four regions share them.
    pub zones: u32,
    /// Calls a second to one balancer.
    pub rate: f64,
    /// Length of a day in seconds.
    pub seconds: f64,
    /// What fails.
    pub failures: Vec<Failure>,
}

impl Default for Sizes {
    fn default() -> Sizes {
        let failures = Failure::ALL.to_vec();
        Sizes { servers: 2_000, zones: 14, rate: 4.5, seconds: 60.0, failures }
    }
}

impl Sizes {
    /// A minute's worth: a tenth of the fleet.
    pub fn quick() -> Sizes {
        Sizes { servers: 200, ..Sizes::default() }
    }

    fn each(&self) -> u32 {
        self.servers.div_ceil(self.zones.max(1)).max(1)
    }

    /// How many times fewer calls a balancer has than planned; each costs as many times the work.
    pub fn scaled(&self) -> f64 {
        PLANNED / self.rate
    }
}

/// What a failure cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// What failed.
    pub failure: Failure,
    /// Servers, and balancers.
    pub servers: u32,
    /// First calls.
    pub calls: u64,
    /// Share of the calls answered within the aim, before.
    pub before: f64,
    /// The lowest such share of a second after.
    pub dip: f64,
    /// In which second.
    pub dip_at: usize,
    /// Seconds from the failure until three in a row reach nine tenths of before; none if never.
    pub recovered: Option<f64>,
    /// The same from the end of the failure, when what was gone is back.
    pub recovered_after_end: Option<f64>,
    /// Cold servers that fell over.
    pub fallen: usize,
    /// Rules broken.
    pub broken: u64,
    /// The first of them by rule.
    pub rules: Vec<Rule>,
    /// Lists and changes that discovery sent in the busiest second after the failure.
    pub messages: u64,
    /// Entries in the same second.
    pub entries: u64,
    /// Reckoned bytes of these.
    pub bytes: u64,
    /// Lists, changes and entries in all, after the failure.
    pub all: (u64, u64),
    /// Events of the day.
    pub events: u64,
    /// Seconds of real time that the day took.
    pub seconds: f64,
    /// Part of these that the module took, and how often it was called.
    pub module_seconds: f64,
    /// Calls of the module.
    pub handled: u64,
}

/// What it costs to play, by servers known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Servers, and balancers.
    pub servers: u32,
    /// Events of the world.
    pub events: u64,
    /// Nanoseconds of the world for one of its events.
    pub world_ns: f64,
    /// Nanoseconds of the module for one call of `handle`.
    pub module_ns: f64,
    /// Share of the module.
    pub module_share: f64,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Failures {
    /// The seed.
    pub seed: u64,
    /// What was played.
    pub sizes: Sizes,
    /// How many times fewer calls than planned, each of as many times the work.
    pub scaled: f64,
    /// A line a failure.
    pub rows: Vec<Row>,
    /// A line a size.
    pub costs: Vec<Cost>,
    /// Nanoseconds of the module a call, by servers.
    pub module: Fit,
    /// Nanoseconds of the world an event, by servers.
    pub world: Fit,
}

/// The module, and how long it takes.
struct Timed {
    inner: Box<dyn Policy>,
    spent: Arc<(AtomicU64, AtomicU64)>,
}

impl Policy for Timed {
    fn handle(&mut self, now: Micros, event: Event, truth: &Truth<'_>, actions: &mut Vec<Action>) {
        let began = Instant::now();
        self.inner.handle(now, event, truth, actions);
        self.spent.0.fetch_add(began.elapsed().as_nanos() as u64, Ordering::Relaxed);
        self.spent.1.fetch_add(1, Ordering::Relaxed);
    }

    fn learned_state(&self, now: Micros) -> Option<LearnedState> {
        self.inner.learned_state(now)
    }

    fn restore(&mut self, now: Micros, learned: &LearnedState) {
        self.inner.restore(now, learned);
    }
}

/// Plays the failures one after the other, then a short day at each of `known` sizes; `done` is called after each.
/// One thread: the times are those of a core.
///
/// # Errors
///
/// The sizes ask for a day that cannot be played.
pub fn run(seed: u64, sizes: &Sizes, known: &[u32], done: impl Fn()) -> Result<Failures, ScenarioError> {
    let mut costs = Vec::new();
    for &servers in known {
        let small = Sizes { servers, zones: sizes.zones.min(servers), seconds: 4.0, ..sizes.clone() };
        // As many events at every size, within what a day may have.
        let rate = (8_000.0 / f64::from(servers)).clamp(sizes.rate, PLANNED);
        let row = one(seed, &Sizes { rate, ..small }, Failure::None)?;
        let world = (row.seconds - row.module_seconds).max(0.0);
        costs.push(Cost {
            servers,
            events: row.events,
            world_ns: world * 1e9 / row.events.max(1) as f64,
            module_ns: row.module_seconds * 1e9 / row.handled.max(1) as f64,
            module_share: row.module_seconds / row.seconds.max(1e-9),
        });
        done();
    }
    let mut rows = Vec::new();
    for &failure in &sizes.failures {
        rows.push(one(seed, sizes, failure)?);
        done();
    }
    let fit = |value: &dyn Fn(&Cost) -> f64| {
        Fit::of(&costs.iter().map(|c| (f64::from(c.servers), value(c))).collect::<Vec<_>>())
    };
    let (module, world) = (fit(&|c| c.module_ns), fit(&|c| c.world_ns));
    Ok(Failures { seed, sizes: sizes.clone(), scaled: sizes.scaled(), rows, costs, module, world })
}

fn one(seed: u64, sizes: &Sizes, failure: Failure) -> Result<Row, ScenarioError> {
    let day = day(seed, sizes, failure);
    let spent = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
    let start = {
        let spent = spent.clone();
        move |settings, seed| {
            let inner = Kind::Module.start(settings, seed)?;
            Ok(Box::new(Timed { inner, spent: spent.clone() }) as Box<dyn Policy>)
        }
    };
    let began = Instant::now();
    let played = play_with(&day, &start, false)?;
    let seconds = began.elapsed().as_secs_f64();
    let (r, d) = (&played.result, &played.detail);
    // Where nothing fails, the day is looked at from the same moment.
    let (begin, end) = span(sizes);
    let begin_at = begin as usize;
    let good: Vec<f64> = d
        .seconds
        .iter()
        .map(|s| f64::from(s.served) / f64::from((s.served + s.late + s.refused + s.failed).max(1)))
        .collect();
    let before = &good[begin_at / 2..begin_at];
    let before = before.iter().sum::<f64>() / before.len().max(1) as f64;
    let (dip_at, dip) = good
        .iter()
        .copied()
        .enumerate()
        .skip(begin_at)
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .unwrap_or((begin_at, before));
    // The last second under nine tenths that no steady stretch precedes.
    let steady_from = |from: usize| {
        (from..good.len().saturating_sub(STEADY - 1))
            .find(|&s| good[s..s + STEADY].iter().all(|g| *g >= RECOVERED * before))
    };
    let from = |at: f64| steady_from(at as usize).map(|s| s as f64 - at);
    let after = d.discovery.get(begin_at..).unwrap_or_default();
    let most = after.iter().copied().max_by_key(|n| n.entries).unwrap_or_default();
    let all = after.iter().fold(NewsCount::default(), |sum, n| NewsCount {
        messages: sum.messages + n.messages,
        entries: sum.entries + n.entries,
        calls: sum.calls + n.calls,
    });
    let mut rules: Vec<Rule> = r.breaches.iter().map(|b| b.rule).collect();
    rules.dedup();
    Ok(Row {
        failure,
        servers: sizes.each() * sizes.zones,
        calls: r.requests,
        before,
        dip,
        dip_at,
        recovered: from(begin),
        recovered_after_end: from(end),
        fallen: r.fallen,
        broken: r.broken,
        rules,
        messages: most.messages,
        entries: most.entries,
        bytes: most.entries * ENTRY_BYTES,
        all: (all.messages, all.entries),
        events: r.events,
        seconds,
        module_seconds: spent.0.load(Ordering::Relaxed) as f64 / 1e9,
        handled: spent.1.load(Ordering::Relaxed),
    })
}

/// When the failure begins and ends, in whole seconds of the day.
fn span(sizes: &Sizes) -> (f64, f64) {
    ((sizes.seconds * 0.2).floor(), (sizes.seconds * 0.45).floor())
}

/// A day with that failure, the load scaled to the rate: calls are rarer and cost as many times the work.
pub fn day(seed: u64, sizes: &Sizes, failure: Failure) -> Scenario {
    let zones: Vec<String> = (0..sizes.zones).map(|z| format!("zone {z}")).collect();
    let each = sizes.each();
    let servers = each * sizes.zones;
    let mut day = plain(seed, sizes.seconds, zones.clone(), each, sizes.rate * f64::from(servers));
    let work = 1_000.0 * BUSY * CORES / sizes.rate;
    let c = &mut day.classes[0];
    // As in the deep days, an answer in time for twelve times the work, useless after twenty-five.
    (c.work, c.most_work) = (Span::ms(work), Span::ms(4.0 * work));
    (c.aim, c.deadline) = (Span::ms(12.5 * work), Span::ms(25.0 * work));
    // Neighbouring balancers stand in one zone, as they do beside their servers.
    day.balancers.zones = zones.iter().flat_map(|z| std::iter::repeat_n(z.clone(), each as usize)).collect();
    day.name = format!("{servers} servers, {}", failure.name());
    let (begin, end) = span(sizes);
    let length = end - begin;
    let some = |n: u32| (0..n.min(each) as usize).collect::<Vec<_>>();
    let mut put = |kind, at: f64, length: f64, which: Vec<usize>, zone: Option<u32>| {
        let mut f = fault(kind, at, length);
        f.which = which;
        f.zone = zone.map(|z| zones[z as usize].clone());
        (f.drain, f.share) = (Span::s(3.0), if kind == FaultKind::RollingDeploy { 0.05 } else { 1.0 });
        day.faults.push(f);
    };
    match failure {
        Failure::None => {}
        Failure::Zone => put(FaultKind::ZoneLost, begin, length, Vec::new(), Some(0)),
        Failure::Rack => {
            put(FaultKind::Vanished, begin, length, some(20), None);
            put(FaultKind::BalancerKilled, begin, length, some(20), None);
        }
        Failure::Day => {
            // Spread over the zones; the same part of a smaller fleet.
            let part = (f64::from(servers) / 2_000.0).min(1.0);
            let most = |n: f64| (n * part).ceil().max(1.0) as usize;
            let spread = |n: usize, first: usize| -> Vec<usize> {
                (0..n).map(|i| (first + i * servers as usize / n) % servers as usize).collect()
            };
            let left = sizes.seconds - begin;
            for (i, &machine) in spread(most(8.0), 1).iter().enumerate() {
                let at = begin + left * 0.5 * i as f64 / most(8.0) as f64;
                put(FaultKind::Vanished, at, length.min(left * 0.4), vec![machine], None);
                put(FaultKind::BalancerKilled, at, length.min(left * 0.4), vec![machine], None);
            }
            let restarted = spread(most(110.0), 0);
            put(FaultKind::RollingDeploy, begin, left * 0.7, restarted.clone(), None);
            put(FaultKind::BalancerRestart, begin, left * 0.7, restarted, None);
        }
        Failure::Region => {
            // Four regions share the zones; the first has what division leaves over.
            for zone in 0..sizes.zones.div_ceil(4) {
                put(FaultKind::ZoneCut, begin, length, Vec::new(), Some(zone));
            }
        }
    }
    day
}
