//! The slow start of a fleet: what cold servers get from all balancers together, beside what the rules let be.

use rand::RngExt;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use zincstand_policy::Micros;

use crate::catalog::{self, Size};
use crate::policy::Kind;
use crate::random::{self, Purpose, within};
use crate::scenario::{Fault, FaultKind, Scenario, ScenarioError, Spread};
use crate::span::Span;
use crate::world;

/// When servers begin to go: thin balancers have sent some requests by then.
const BEGIN: f64 = 8.0;
/// How uneven the traffic of balancers is: the busiest of many gets several times the mean.
const UNEVEN: f64 = 1.0;
/// Parts of the warm-up that are told apart, and how many of them: traffic is looked at for some time after it.
const BINS_A_WARM_UP: f64 = 10.0;
const BINS: usize = 16;
/// From this one on a server gets what it always gets.
const WARM_BIN: usize = 12;
/// A server that gets this part of that is back.
const BACK: f64 = 0.9;
/// A fall is a broken rule if over this part of it came from balancers that had been told of the start.
const TOLD: f64 = 2.0 / 3.0;
/// What is put down to chance beyond the budget of N: so many roots of N, and so many more.
const CHANCE: (f64, f64) = (2.0, 2.0);

/// How servers come to be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Two in ten restart one after the other.
    Restart,
    /// Six in ten are replaced within 7 s.
    Release,
    /// A zone is lost for 5 s and returns whole, its balancers with it.
    Zone,
    /// Six in ten are replaced while all balancers are killed, and start knowing no rate.
    Start,
}

impl Shape {
    /// All of them.
    pub const ALL: [Shape; 4] = [Shape::Restart, Shape::Release, Shape::Zone, Shape::Start];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Shape::Restart => "restart",
            Shape::Release => "release",
            Shape::Zone => "zone",
            Shape::Start => "start",
        }
    }
}

/// Rules other than those of the site in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// The multiple of its capacity that makes a cold server fall.
    pub overload_factor: Option<f64>,
    /// The share of its capacity with which a server starts.
    pub cold_from: Option<f64>,
}

/// Servers of a fleet with so many balancers: traffic is thin, some requests a second for each balancer.
fn servers(balancers: u32) -> u32 {
    match balancers {
        0..=4 => 6,
        5..=16 => 8,
        17..=60 => 10,
        61..=200 => 20,
        _ => 30,
    }
}

/// Draws a day of a shape: one tier, all else as on a busy day of the site, shortened to what the shape needs.
///
/// # Errors
///
/// The rules contradict themselves.
pub fn day(shape: Shape, balancers: u32, seed: u64, rules: Rules) -> Result<Scenario, ScenarioError> {
    let mut day = catalog::generate("busy", seed, Size::Site)?;
    let rng = &mut random::stream(seed, Purpose::Fate, 2_000);
    let count = servers(balancers);
    day.name = format!("ramp {} {balancers} {seed}", shape.name());
    day.tiers.truncate(1);
    let t = &mut day.tiers[0];
    (t.servers, t.calls, t.work) = (catalog::zoned(count, within(rng, (0.4, 0.6))), 0.0, 1.0);
    t.cold_from = rules.cold_from.unwrap_or(t.cold_from);
    day.rules.overload_factor = rules.overload_factor.unwrap_or(day.rules.overload_factor);
    let shares: f64 = day.classes.iter().map(|c| c.share).sum();
    let work = day.classes.iter().map(|c| c.share * catalog::mean_work(c, seed)).sum::<f64>() / shares;
    let cores = f64::from(count * day.tiers[0].cores) * day.tiers[0].speed;
    day.load.rate = cores / work * within(rng, (0.54, 0.68));
    let first = catalog::zoned(balancers, day.load.zone_shares[0])[0];
    let b = &mut day.balancers;
    b.zones = (0..balancers).map(|i| day.zones[usize::from(i >= first)].clone()).collect();
    b.shares = (0..balancers).map(|_| random::factor(rng, Spread::Lognormal, UNEVEN)).collect();
    let warm_after = day.tiers[0].warm_after.secs();
    let mut all: Vec<usize> = (0..count as usize).collect();
    for i in 0..all.len() {
        all.swap(i, rng.random_range(i..count as usize));
    }
    let mut some = |share: f64| {
        all.truncate((f64::from(count) * share).round().max(1.0) as usize);
        all.clone()
    };
    let last = match shape {
        Shape::Restart => {
            let which = some(0.2);
            day.faults.push(Fault { which, ..catalog::fault(FaultKind::Replaced, BEGIN, 4.0) });
            4.0
        }
        Shape::Release => {
            let which = some(0.6);
            day.faults.push(Fault { which, ..catalog::fault(FaultKind::Replaced, BEGIN, 7.0) });
            7.0
        }
        Shape::Zone => {
            let zone = Some(day.zones[1].clone());
            day.faults.push(Fault { zone, ..catalog::fault(FaultKind::ZoneLost, BEGIN, 5.0) });
            5.0
        }
        Shape::Start => {
            let which = some(0.6);
            day.faults.push(Fault { which, ..catalog::fault(FaultKind::Replaced, BEGIN, 1.0) });
            day.faults.push(catalog::fault(FaultKind::BalancerKilled, BEGIN, 1.0));
            // A notice that came after the restart would be taken for one of the new process.
            day.balancers.notice = Span::ms(500.0);
            1.0
        }
    };
    day.length = Span::s(BEGIN + last + warm_after * BINS as f64 / BINS_A_WARM_UP);
    day.check()?;
    Ok(day)
}

/// What reached a server after it had started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Landing {
    pub server: u32,
    pub started: Micros,
    pub at: Micros,
    pub work: f64,
    pub told: bool,
}

/// What is written down of a day whose cold servers are looked at.
#[derive(Default)]
pub(crate) struct Watch {
    /// Servers with what all their cores do, each time they start.
    pub starts: Vec<(u32, Micros, f64)>,
    pub landings: Vec<Landing>,
}

/// What one day's cold servers got.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Played {
    /// Servers that started.
    pub starts: usize,
    /// Requests beyond the budget N at the most-hit of them in its worst window, in roots of N.
    pub excess: f64,
    /// The same over windows of which over two thirds came from balancers that had been told.
    pub excess_told: f64,
    /// The same in work, as multiples of the mean.
    pub excess_work: f64,
    /// Servers that fell by count of requests, and how many of them to balancers that had been told.
    pub fallen: (usize, usize),
    /// The same by work.
    pub fallen_work: (usize, usize),
    /// Traffic of a server by tenths of the warm-up, beside an even share.
    pub share: Vec<f64>,
    /// The warm-up that the settings name, in seconds.
    pub warm_after: f64,
    /// What the day was worth.
    pub g: f64,
}

/// Plays a day and looks at what its cold servers get; none of them goes down, so that all of it is seen.
///
/// # Errors
///
/// The day contradicts itself.
pub fn play(day: &Scenario, kind: Kind) -> Result<Played, ScenarioError> {
    let (played, watch) = world::play_watched(day, kind)?;
    let t = &day.tiers[0];
    let shares: f64 = day.classes.iter().map(|c| c.share).sum();
    let mean =
        day.classes.iter().map(|c| c.share * catalog::mean_work(c, day.seed)).sum::<f64>() * 1e6 / shares;
    let (tip, warm_after) = (day.rules.tip_after.0, t.warm_after.0);
    let bin = warm_after as f64 / BINS_A_WARM_UP;
    let even = day.load.rate / f64::from(t.servers.iter().sum::<u32>()) / 1e6;
    let mut out = Played {
        starts: watch.starts.len(),
        excess: f64::NEG_INFINITY,
        excess_told: f64::NEG_INFINITY,
        excess_work: f64::NEG_INFINITY,
        share: vec![0.0; BINS],
        warm_after: t.warm_after.secs(),
        g: played.result.g,
        ..Played::default()
    };
    for &(server, started, capacity) in &watch.starts {
        let own: Vec<&Landing> =
            watch.landings.iter().filter(|l| (l.server, l.started) == (server, started)).collect();
        for l in &own {
            let at = ((l.at - started) as f64 / bin) as usize;
            if at < BINS {
                out.share[at] += 1.0 / (bin * even * watch.starts.len() as f64);
            }
        }
        let (mut fell, mut fell_work) = (None, None);
        let (mut from, mut work) = (0, 0.0);
        for (upto, l) in own.iter().enumerate().filter(|(_, l)| l.at < started + warm_after) {
            work += l.work / mean;
            while own[from].at + tip <= l.at {
                work -= own[from].work / mean;
                from += 1;
            }
            let window = &own[from..=upto];
            // What the settings allow now, in requests of mean work.
            let age = (l.at - started) as f64 / warm_after as f64;
            let share = t.cold_from + (1.0 - t.cold_from) * age;
            let n = day.rules.overload_factor * share * capacity * tip as f64 / mean;
            let told = window.iter().filter(|l| l.told).count() as f64 > TOLD * window.len() as f64;
            let told_work: f64 = window.iter().filter(|l| l.told).map(|l| l.work / mean).sum();
            out.excess = out.excess.max((window.len() as f64 - n) / n.sqrt());
            if told {
                out.excess_told = out.excess_told.max((window.len() as f64 - n) / n.sqrt());
            }
            if told_work > TOLD * work {
                out.excess_work = out.excess_work.max((work - n) / n.sqrt());
            }
            let most = n + CHANCE.0 * n.sqrt() + CHANCE.1;
            if window.len() as f64 > most {
                fell.get_or_insert(told);
            }
            if work > most {
                fell_work.get_or_insert(told_work > TOLD * work);
            }
        }
        for (fell, count) in [(fell, &mut out.fallen), (fell_work, &mut out.fallen_work)] {
            count.0 += usize::from(fell.is_some());
            count.1 += usize::from(fell == Some(true));
        }
    }
    Ok(out)
}

/// What all days of a shape and a size came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The shape.
    pub shape: Shape,
    /// Balancers.
    pub balancers: u32,
    /// Days played.
    pub days: usize,
    /// Servers that started, all told.
    pub starts: usize,
    /// Requests beyond the budget at the most-hit server of a day, in roots of N: mean, 99th percentile, most.
    pub excess: [f64; 3],
    /// The same over windows of which over two thirds came from balancers that had been told.
    pub excess_told: [f64; 3],
    /// The same in work.
    pub excess_work: [f64; 3],
    /// Servers that fell by count of requests, and of them to balancers that had been told.
    pub fallen: (usize, usize),
    /// The same by work.
    pub fallen_work: (usize, usize),
    /// Traffic of a server by tenths of the warm-up, beside an even share.
    pub share: Vec<f64>,
    /// When a server gets nine tenths of what it gets once warm: in warm-ups, and in seconds.
    pub warm: (f64, f64),
    /// Mean worth of the days.
    pub g: f64,
}

/// Plays all seeds of a shape and a size on all cores.
///
/// # Errors
///
/// The rules contradict themselves.
pub fn run(
    shape: Shape,
    balancers: u32,
    seeds: u64,
    rules: Rules,
    done: impl Fn() + Sync,
) -> Result<Line, ScenarioError> {
    let one = |seed: u64| -> Result<Played, ScenarioError> {
        let played = play(&day(shape, balancers, seed, rules)?, Kind::Module)?;
        done();
        Ok(played)
    };
    let seeds: Vec<u64> = (1..=seeds).collect();
    let days: Vec<Played> = seeds.into_par_iter().with_max_len(1).map(one).collect::<Result<_, _>>()?;
    let spread = |of: fn(&Played) -> f64| {
        let mut all: Vec<f64> = days.iter().map(of).filter(|x| x.is_finite()).collect();
        all.sort_by(f64::total_cmp);
        let at = |q: f64| all.get(((all.len() as f64 * q) as usize).min(all.len().max(1) - 1)).copied();
        let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
        [mean, at(0.99).unwrap_or(0.0), at(1.0).unwrap_or(0.0)]
    };
    let sum = |of: fn(&Played) -> usize| days.iter().map(of).sum::<usize>();
    let mean = |of: &dyn Fn(&Played) -> f64| days.iter().map(of).sum::<f64>() / days.len().max(1) as f64;
    let share: Vec<f64> = (0..BINS).map(|bin| mean(&|d| d.share[bin])).collect();
    let full = share[WARM_BIN..].iter().sum::<f64>() / (BINS - WARM_BIN) as f64;
    let back = share[..WARM_BIN].iter().rposition(|s| *s < BACK * full).map_or(0, |at| at + 1);
    let warm = back as f64 / BINS_A_WARM_UP;
    Ok(Line {
        shape,
        balancers,
        days: days.len(),
        starts: sum(|d| d.starts),
        excess: spread(|d| d.excess),
        excess_told: spread(|d| d.excess_told),
        excess_work: spread(|d| d.excess_work),
        fallen: (sum(|d| d.fallen.0), sum(|d| d.fallen.1)),
        fallen_work: (sum(|d| d.fallen_work.0), sum(|d| d.fallen_work.1)),
        share,
        warm: (warm, warm * mean(&|d| d.warm_after)),
        g: mean(&|d| d.g),
    })
}
