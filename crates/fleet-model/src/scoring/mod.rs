//! What a day was worth, where the worth went, and which rules were broken.

use serde::{Deserialize, Serialize};
use zincstand_policy::Micros;

use crate::scenario::Scenario;

const SECOND: Micros = 1_000_000;
/// The worst stretch that counts.
const WINDOW: usize = 10;

/// Why a request took longer than its work, or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Waited at servers that were well.
    Queueing,
    /// Waited at, or was worked on by, servers that had turned slow from crowding.
    Choke,
    /// The same at cold servers.
    Cold,
    /// Was with a server that answers nobody.
    Silent,
    /// Was worked on by a server that a fault had slowed.
    Slowed,
    /// Was held by a balancer before its first attempt.
    Held,
    /// Was refused without an attempt.
    Refused,
    /// An attempt at a server that was well was given up.
    TimeOut,
    /// A server answered with an error of its own.
    Error,
    /// A connection broke.
    Reset,
    /// Went to a server that was not there.
    WrongList,
    /// Waited for a retry, a client's or a balancer's.
    Retry,
    /// No balancer took it.
    Unreachable,
    /// Its own work.
    Work,
}

impl Cause {
    /// All of them.
    pub const ALL: [Cause; 14] = [
        Cause::Queueing,
        Cause::Choke,
        Cause::Cold,
        Cause::Silent,
        Cause::Slowed,
        Cause::Held,
        Cause::Refused,
        Cause::TimeOut,
        Cause::Error,
        Cause::Reset,
        Cause::WrongList,
        Cause::Retry,
        Cause::Unreachable,
        Cause::Work,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Queueing => "queueing",
            Cause::Choke => "choke",
            Cause::Cold => "cold server",
            Cause::Silent => "silent server",
            Cause::Slowed => "slowed server",
            Cause::Held => "held by a balancer",
            Cause::Refused => "refused unsent",
            Cause::TimeOut => "time-out",
            Cause::Error => "error",
            Cause::Reset => "broken connection",
            Cause::WrongList => "wrong list",
            Cause::Retry => "wait for a retry",
            Cause::Unreachable => "no balancer",
            Cause::Work => "its own work",
        }
    }
}

/// One of the four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every request gets one final answer in time.
    Lost,
    /// Repeats only as the class allows.
    Duplicate,
    /// Nothing new to a draining or gone server.
    Drain,
    /// No cold server pushed over.
    Cold,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in microseconds of the day.
    pub at: Micros,
    /// The balancer: its tier and its number there.
    pub balancer: (usize, u32),
    /// The server, if one is part of it.
    pub server: Option<u32>,
    /// What happened.
    pub what: String,
    /// What that balancer saw and did last.
    pub before: Vec<String>,
}

/// How a first try with its retries ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum End {
    #[default]
    Open,
    Served(Micros),
    Refused(Micros),
    Failed(Micros),
}

/// A first try: what it asks for and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub at: Micros,
    pub zone: u32,
    pub class: usize,
    pub tenant: Option<usize>,
    /// Within its tenant's share.
    pub within: bool,
    /// Work of one call of each tier, before the tier's part.
    pub work: f64,
    pub end: End,
    pub attempts: u32,
    charges: [u32; Cause::ALL.len()],
    /// The server that cost most, for how long.
    worst: Option<(u32, u32)>,
}

impl Arrival {
    pub fn new(at: Micros, zone: u32, class: usize, tenant: Option<usize>, work: f64) -> Arrival {
        let charges = [0; Cause::ALL.len()];
        let end = End::Open;
        Arrival { at, zone, class, tenant, within: true, work, end, attempts: 0, charges, worst: None }
    }

    /// Books a span to a cause.
    pub fn charge(&mut self, cause: Cause, server: Option<u32>, span: Micros) {
        let span = span.min(u64::from(u32::MAX)) as u32;
        let at = &mut self.charges[cause as usize];
        *at = at.saturating_add(span);
        if let Some(server) = server
            && cause != Cause::Work
            && self.worst.is_none_or(|(_, most)| span > most)
        {
            self.worst = Some((server, span));
        }
    }

    fn cause(&self) -> Cause {
        if self.attempts == 0 && matches!(self.end, End::Refused(_)) {
            return Cause::Refused;
        }
        let most = Cause::ALL.into_iter().max_by_key(|c| (self.charges[*c as usize], std::cmp::Reverse(*c)));
        match most {
            Some(cause) if self.charges[cause as usize] > 0 => cause,
            _ => Cause::TimeOut,
        }
    }
}

/// What the world counts while a day is played.
#[derive(Default)]
pub(crate) struct Metrics {
    pub first_tries: u64,
    pub attempts: u64,
    pub crossings: u64,
    pub probes: u64,
    pub handshakes: u64,
    pub client_retries: u64,
    pub work: f64,
    pub useful: f64,
    pub events: u64,
    pub breaches: Vec<Breach>,
    pub broken: u64,
    pub tiers: Vec<Vec<TierCount>>,
    pub news: Vec<NewsCount>,
}

/// What a tier had to do, for the first tries of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TierCount {
    /// Requests that reached a balancer of the tier.
    pub requests: u64,
    /// Attempts that these sent to its servers.
    pub attempts: u64,
    /// Sum over the requests of the share of their class's deadline that was left as they came.
    pub time_left: f64,
    /// Work that its servers did, in microseconds.
    pub work: f64,
}

/// What discovery sent and was asked, in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsCount {
    /// Lists and changes sent to balancers.
    pub messages: u64,
    /// Entries in them.
    pub entries: u64,
    /// Calls of balancers.
    pub calls: u64,
}

/// Ends of requests by the second in which they arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Answered within their aim.
    pub served: u32,
    /// Answered later.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
}

/// Where worth went.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loss {
    /// By cause.
    pub cause: Cause,
    /// At which server, if at one.
    pub server: Option<u32>,
    /// The second in which the request arrived.
    pub second: usize,
    /// How much, as a part of all worth asked for.
    pub worth: f64,
}

/// A day's result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Result {
    /// The goal's weighted parts less the prices: 1 at most, below zero where prices outweigh what was served.
    pub g: f64,
    /// `g`, or zero where a rule was broken.
    pub counted: f64,
    /// Worth of the whole day.
    pub whole: f64,
    /// Worth of the worst ten seconds.
    pub worst_window: f64,
    /// When these began, in seconds.
    pub worst_at: usize,
    /// Worth of the worst-served class.
    pub worst_class: f64,
    /// Worth of the worst-served tenant, within its share.
    pub worst_tenant: f64,
    /// Points that prices took.
    pub prices: f64,
    /// First tries.
    pub requests: u64,
    /// Their ends, all day.
    pub ends: Second,
    /// Attempts of all balancers.
    pub attempts: u64,
    /// Tries of clients after the first.
    pub client_retries: u64,
    /// Share of the work done that no answer came of.
    pub waste: f64,
    /// Servers that turned slow from crowding.
    pub choked: usize,
    /// Cold servers that fell over.
    pub fallen: usize,
    /// Rules broken, all told.
    pub broken: u64,
    /// Events of the day.
    pub events: u64,
    /// The first breaches.
    pub breaches: Vec<Breach>,
}

/// Second by second, and where the worth went.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Detail {
    /// Ends by second of arrival.
    pub seconds: Vec<Second>,
    /// Losses, largest first.
    pub losses: Vec<Loss>,
    /// Servers by second.
    pub servers: Vec<Vec<Sample>>,
    /// What each tier had to do, by second in which the first try arrived.
    pub tiers: Vec<Vec<TierCount>>,
    /// By the same second, work of one call of every tier for first tries that were served, in microseconds.
    pub served_work: Vec<f64>,
    /// What discovery had to do, by second.
    pub discovery: Vec<NewsCount>,
}

/// A server in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The tier.
    pub tier: usize,
    /// Requests that it holds.
    pub held: u32,
    /// Its process runs and answers.
    pub up: bool,
    /// It has turned slow.
    pub choked: bool,
    /// Its share of its full capacity.
    pub share: f64,
    /// Balancers whose breaker for it is open.
    pub open: u32,
    /// Window of its zone, in places a server, summed over its balancers.
    pub window: f64,
    /// Mean latency of the attempts that it answered since the second before, in microseconds; 0 if it had none.
    pub latency: f64,
}

/// Worth earned and asked for.
#[derive(Clone, Copy, Default)]
struct Worth {
    earned: f64,
    asked: f64,
}

impl Worth {
    fn add(&mut self, earned: f64, asked: f64) {
        self.earned += earned;
        self.asked += asked;
    }

    fn share(self) -> f64 {
        if self.asked > 0.0 { self.earned / self.asked } else { 1.0 }
    }
}

/// Judges a day that has been played.
pub(crate) fn score(
    day: &Scenario,
    arrivals: &[Arrival],
    tally: Metrics,
    choked: (usize, usize),
    fallen: usize,
) -> (Result, Detail) {
    let seconds = day.length.secs().ceil() as usize;
    let mut by_second = vec![Second::default(); seconds.max(1)];
    let mut worth_by_second = vec![Worth::default(); seconds.max(1)];
    let mut by_class = vec![Worth::default(); day.classes.len()];
    let mut by_tenant = vec![Worth::default(); day.tenants.len()];
    let (mut whole, mut late_failed) = (Worth::default(), 0.0);
    let mut served_work = vec![0.0; by_second.len()];
    let mut ends = Second::default();
    let mut losses: std::collections::BTreeMap<(usize, Option<u32>, usize), f64> = Default::default();
    for a in arrivals {
        let class = &day.classes[a.class];
        let second = ((a.at / SECOND) as usize).min(by_second.len() - 1);
        let asked = class.worth * if a.within { 1.0 } else { day.load.over_share_worth };
        let earned = match a.end {
            End::Served(at) if at <= a.at + class.aim.0 => asked,
            End::Served(at) if at <= a.at + class.deadline.0 => asked * class.late_worth,
            _ => 0.0,
        };
        let count = |s: &mut Second| match a.end {
            End::Served(at) if at <= a.at + class.aim.0 => s.served += 1,
            End::Served(_) => s.late += 1,
            End::Refused(_) => s.refused += 1,
            End::Failed(_) | End::Open => s.failed += 1,
        };
        if matches!(a.end, End::Served(_)) {
            served_work[second] += a.work;
        }
        let (mut total, mut one) = (ends, by_second[second]);
        count(&mut total);
        count(&mut one);
        (ends, by_second[second]) = (total, one);
        whole.add(earned, asked);
        worth_by_second[second].add(earned, asked);
        by_class[a.class].add(earned, asked);
        if let Some(t) = a.tenant.filter(|_| a.within) {
            by_tenant[t].add(earned, asked);
        }
        if let End::Refused(at) | End::Failed(at) = a.end
            && at > a.at + class.aim.0
        {
            late_failed += asked;
        }
        if earned < asked {
            let cause = a.cause();
            let server = a.worst.map(|w| w.0).filter(|_| cause != Cause::Refused);
            *losses.entry((cause as usize, server, second)).or_default() += asked - earned;
        }
    }
    let window = WINDOW.min(worth_by_second.len());
    let (worst_at, worst_window) = (0..=worth_by_second.len() - window)
        .map(|from| {
            let mut sum = Worth::default();
            worth_by_second[from..from + window].iter().for_each(|w| sum.add(w.earned, w.asked));
            (from, sum.share())
        })
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .unwrap_or((0, 1.0));
    let least = |parts: &[Worth]| {
        parts.iter().filter(|w| w.asked > 0.0).map(|w| w.share()).min_by(f64::total_cmp).unwrap_or(1.0)
    };
    let (worst_class, worst_tenant) = (least(&by_class), least(&by_tenant));
    let tries = tally.first_tries.max(1) as f64;
    let asked_work: f64 = {
        let parts = calls_and_parts(day);
        arrivals.iter().map(|a| a.work * parts).sum::<f64>().max(1.0)
    };
    let p = &day.prices;
    let wasted = (tally.work - tally.useful).max(0.0);
    let prices = p.waste * (wasted / asked_work).min(1.0)
        + p.cross_zone * tally.crossings as f64 / tries
        + p.probe * tally.probes as f64 / tries
        + p.handshake * tally.handshakes as f64 / tries
        + p.late_fail * late_failed / whole.asked.max(1e-9)
        + p.choke * choked.0 as f64 / choked.1.max(1) as f64;
    let g = &day.goal;
    let weights = g.whole + g.worst_window + g.worst_class + g.worst_tenant;
    let sum = g.whole * whole.share()
        + g.worst_window * worst_window
        + g.worst_class * worst_class
        + g.worst_tenant * worst_tenant;
    let value = sum / weights - prices;
    let mut losses: Vec<Loss> = losses
        .into_iter()
        .map(|((cause, server, second), worth)| Loss {
            cause: Cause::ALL[cause],
            server,
            second,
            worth: worth / whole.asked.max(1e-9),
        })
        .collect();
    losses.sort_by(|a, b| b.worth.total_cmp(&a.worth));
    let result = Result {
        g: value,
        counted: if tally.broken > 0 { 0.0 } else { value.max(0.0) },
        whole: whole.share(),
        worst_window,
        worst_at,
        worst_class,
        worst_tenant,
        prices,
        requests: tally.first_tries,
        ends,
        attempts: tally.attempts,
        client_retries: tally.client_retries,
        waste: if tally.work > 0.0 { wasted / tally.work } else { 0.0 },
        choked: choked.0,
        fallen,
        broken: tally.broken,
        events: tally.events,
        breaches: tally.breaches,
    };
    let (tiers, discovery) = (tally.tiers, tally.news);
    (result, Detail { seconds: by_second, losses, servers: Vec::new(), tiers, served_work, discovery })
}

/// Work of all tiers for a request whose one call costs 1.
fn calls_and_parts(day: &Scenario) -> f64 {
    let mut calls = 1.0;
    day.tiers
        .iter()
        .map(|t| {
            let work = calls * t.work;
            calls *= t.calls;
            work
        })
        .sum()
}
