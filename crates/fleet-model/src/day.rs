//! A day as a file tells it: the fleet, the traffic, the rules and what goes wrong.

use std::fmt;

use serde::{Deserialize, Serialize};
use zincstand_policy::{self as policy, Micros};

use crate::draw;
use crate::span::Span;

/// Most tiers of a day: calls go 30 deep.
const MOST_TIERS: usize = 32;

/// A whole day. What a field leaves open is drawn from `seed` as the day is played.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// What the day is called in tables.
    pub name: String,
    /// Decides every draw of the day.
    pub seed: u64,
    /// For how long requests arrive.
    pub length: Span,
    /// The zones' names.
    pub zones: Vec<String>,
    /// Latencies between machines.
    pub network: Network,
    /// How lists of servers arrive.
    pub discovery: Discovery,
    /// Calls of a later tier carry their caller's time left, not their class's whole deadline.
    pub passes_deadline: bool,
    /// The balancers of the first tier; a later tier has one for each server of the tier before.
    pub balancers: Balancers,
    /// What arrives.
    pub load: Load,
    /// How clients behave.
    pub clients: Clients,
    /// What balancers may do.
    pub limits: Limits,
    /// Figures of the four rules.
    pub rules: Rules,
    /// Weights of the parts of the result.
    pub goal: Goal,
    /// What costs points of the result.
    pub prices: Prices,
    /// The tiers, first the one that clients call.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Those who share the service.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// What goes wrong.
    #[serde(rename = "fault", default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// Latencies, one way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Within a zone.
    pub same_zone: Span,
    /// Between zones.
    pub cross_zone: Span,
    /// Between a client and its balancer.
    pub client: Span,
    /// Most by which a message takes longer, as a share.
    #[serde(default)]
    pub jitter: f64,
}

/// Whether lists arrive by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Asking {
    /// They do.
    Push,
    /// Only once asked for.
    Ask,
}

/// How news of servers travels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Push or ask.
    pub mode: Asking,
    /// From a change to its being noticed.
    pub notice: Span,
    /// The same for what vanishes without a word.
    pub silent_notice: Span,
    /// From a server's start to its listing.
    pub add: Span,
    /// Changes are sent out together this often.
    pub period: Span,
    /// Most by which balancers hear at different times.
    pub spread: Span,
    /// Share of the calls to discovery that fail, and of watches that break off with each round.
    #[serde(default)]
    pub failing: f64,
}

/// The balancers of the first tier, and the processor share of all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancers {
    /// The zone of each.
    pub zones: Vec<String>,
    /// Traffic of each beside the others of its zone; all alike if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<f64>,
    /// Share of a core that each has.
    pub cores: f64,
    /// Processor time of an event.
    pub event_cost: Span,
    /// How far their clocks lie apart at most.
    #[serde(default)]
    pub clock_spread: Span,
    /// Until a dead one gets no new connections.
    pub notice: Span,
}

/// First tries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean rate a second.
    pub rate: f64,
    /// Part by which the rate swings.
    #[serde(default)]
    pub swing: f64,
    /// How it does.
    pub shape: Shape,
    /// Share of each zone.
    pub zone_shares: Vec<f64>,
    /// Worth of what exceeds a tenant's share.
    pub over_share_worth: f64,
}

/// How the rate of arrivals changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// A sine over the day.
    Wave,
    /// High and low spells of a second or two.
    Bursty,
}

/// Clients' habits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Tries after the first.
    pub retries: u32,
    /// Part of a class's deadline after which a try is given up.
    pub try_share: f64,
    /// First wait before a retry; it doubles.
    pub backoff: Span,
    /// Share of clients that heed `Retry-After`.
    pub honour: f64,
    /// Share of tries that leave early.
    #[serde(default)]
    pub impatient: f64,
}

/// What balancers may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// Requests that one has open.
    pub max_open: u32,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Probes are answered.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// Longest wait that they heed.
    pub max_retry_after: Span,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Nothing new goes to a draining server later than this after the news.
    pub drain_grace: Span,
    /// A final answer counts so long after the deadline.
    pub answer_grace: Span,
    /// A cold server that is sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... for this span falls over.
    pub tip_after: Span,
    /// Where discovery must be asked, at least this often.
    pub ask_within: Span,
}

/// Weights of the result's parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// The day as a whole.
    pub whole: f64,
    /// Its worst ten seconds.
    pub worst_window: f64,
    /// Its worst-served class.
    pub worst_class: f64,
    /// Its worst-served tenant.
    pub worst_tenant: f64,
}

/// Points of the result, for a share or rate of one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Work that no answer came of, beside the work asked for.
    pub waste: f64,
    /// Attempts that cross zones, a first try.
    pub cross_zone: f64,
    /// Worth that failed only after its aim.
    pub late_fail: f64,
    /// Probes, a first try.
    pub probe: f64,
    /// New connections, a first try.
    pub handshake: f64,
    /// Servers that turned slow from crowding.
    pub choke: f64,
}

/// A tier of like servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Servers in each zone.
    pub servers: Vec<u32>,
    /// Part of a class's work that one call costs here.
    pub work: f64,
    /// Calls of the next tier for a request, on average; none in the last.
    #[serde(default)]
    pub calls: f64,
    /// Servers to a cell.
    pub cell_size: u32,
    /// Cores of a server.
    pub cores: u32,
    /// Speed of a core; work is told for 1.
    pub speed: f64,
    /// How much that differs from server to server.
    pub speed_cv: f64,
    /// Requests in work at once; one keeps its slot while the next tier works.
    pub slots: u32,
    /// Requests that wait beside; more are turned away.
    pub waiting: u32,
    /// Loss of efficiency for each request held beyond `crowded`.
    pub thrash: f64,
    /// Held requests from which that is so.
    pub crowded: f64,
    /// Share of the capacity with which a server starts.
    pub cold_from: f64,
    /// It is warm after this.
    pub warm_after: Span,
    /// Mean time between two stops of a server, none if zero.
    #[serde(default)]
    pub pause_every: Span,
    /// Length of such a stop.
    #[serde(default)]
    pub pause: Span,
    /// Part by which a stop is longer for each request that the server holds a core.
    #[serde(default)]
    pub pause_grow: f64,
    /// Share of the requests that fail for no reason.
    #[serde(default)]
    pub error_rate: f64,
    /// Connections.
    pub connections: Connections,
    /// Work of a probe.
    pub probe_work: Span,
    /// Servers turn slow and stay so when crowded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub choke: Option<Choke>,
}

/// Connections to the servers of a tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Connections {
    /// Round trips before a new one can be used.
    pub handshake_trips: f64,
    /// Work that it costs the server.
    pub handshake_work: Span,
    /// Idle ones are closed after this.
    pub idle_close: Span,
    /// One that is not up after this has failed.
    pub connect_timeout: Span,
    /// Most at one server.
    pub most: u32,
    /// Part of the capacity that a full table takes.
    pub full_tax: f64,
}

/// How servers turn slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    /// Requests waiting for each core ...
    pub at: f64,
    /// ... for this long ...
    pub over: Span,
    /// ... make it so many times slower,
    pub slower: f64,
    /// until it has been busy for less than this share ...
    pub below: f64,
    /// ... of this span,
    pub rest: Span,
    /// or this long.
    pub most: Span,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Anything.
    Safe,
    /// Within the cell and the window, see [`Class::repeats_dropped`].
    Keyed,
    /// Nothing that may have run.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Mean work of all tiers' first calls.
    pub work: Span,
    /// How the work is spread.
    pub spread: Spread,
    /// Standard deviation of the work, in means.
    pub cv: f64,
    /// No request is more work than this.
    pub most_work: Span,
    /// The same for attempts of one request.
    #[serde(default)]
    pub attempt_noise: f64,
    /// An answer within this is worth all.
    pub aim: Span,
    /// A client gives up after this.
    pub deadline: Span,
    /// Worth of a request.
    pub worth: f64,
    /// Part that a late answer earns.
    pub late_worth: f64,
    /// What may be repeated.
    pub effect: Effect,
    /// How long servers drop repeats of keyed ones.
    #[serde(default)]
    pub repeats_dropped: Span,
}

/// How work is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Log-normal.
    Lognormal,
    /// Pareto.
    Pareto,
}

/// One of those who share the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// Requests a second that are worth all.
    pub quota: f64,
    /// Its traffic beside its share.
    pub usage: f64,
}

/// One thing that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From when.
    pub at: Span,
    /// For how long, where it does not end by itself.
    #[serde(default)]
    pub length: Span,
    /// The tier, by number.
    #[serde(default)]
    pub tier: usize,
    /// Which of the tier's servers, or balancers, by number; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub which: Vec<usize>,
    /// The zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Share of the requests that it befalls, or of the servers that are out at once.
    #[serde(default = "one")]
    pub share: f64,
    /// How many times the work.
    #[serde(default = "one")]
    pub factor: f64,
    /// The new process takes over what the old one had learned.
    #[serde(default)]
    pub learned: bool,
    /// The upstream restarts meanwhile, the server comes back cold.
    #[serde(default)]
    pub restarts: bool,
    /// How long servers drain before they restart.
    #[serde(default)]
    pub drain: Span,
}

fn one() -> f64 {
    1.0
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers fail a share of their requests at once.
    FastErrors,
    /// A share of a class's requests costs many times the work.
    HeavyTail,
    /// Servers drain, restart and come back cold, a share of them at a time.
    RollingDeploy,
    /// Servers take requests and answer none.
    Silent,
    /// Servers work so many times longer, on one class or all.
    Slow,
    /// Connections break while a share of the requests is out.
    Resets,
    /// A zone's servers vanish without a word and return cold.
    ZoneLost,
    /// The same for single servers, of a rack or a machine; their balancers stay.
    Vanished,
    /// A zone is cut off from all others but those that are cut off with it.
    ZoneCut,
    /// Servers go and others, with other ids at the same addresses, start cold.
    Replaced,
    /// Balancers are killed and start again after `length`.
    BalancerKilled,
    /// Balancers drain, end and start again.
    BalancerRestart,
    /// Each balancer's process is replaced by another that serves from then on.
    ProcessReplaced,
    /// Operators take servers out at every balancer of the first tier, and put them back.
    OutByHand,
    /// Balancers send their clients away.
    Evacuated,
    /// Discovery tells nothing.
    DiscoveryOutage,
}

/// Why a day cannot be played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DayError {
    /// Line in the file, from 1; 0 where it came from no file.
    pub line: usize,
    /// What is wrong and what to do.
    pub what: String,
}

impl fmt::Display for DayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 { write!(f, "line {}: {}", self.line, self.what) } else { f.write_str(&self.what) }
    }
}

impl std::error::Error for DayError {}

/// A fault of a day: the key's path, and what is wrong with it.
type Contradiction = (Vec<Step>, String);

/// A step on the way to a key.
enum Step {
    Key(&'static str),
    At(usize),
}

macro_rules! path {
    ($($step:expr),*) => { vec![$(Step::from($step)),*] };
}

impl From<&'static str> for Step {
    fn from(key: &'static str) -> Step {
        Step::Key(key)
    }
}

impl From<usize> for Step {
    fn from(at: usize) -> Step {
        Step::At(at)
    }
}

fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes().iter().take(at).filter(|b| **b == b'\n').count() + 1
}

/// The line of a key, or of the nearest table round it that the text has.
fn find(text: &str, path: &[Step]) -> usize {
    let Ok(table) = toml::de::DeTable::parse(text) else { return 0 };
    let mut at = 0;
    let mut value: Option<&toml::de::DeValue<'_>> = None;
    for step in path {
        let next = match (step, value) {
            (Step::Key(key), None) => table.get_ref().get(*key),
            (Step::Key(key), Some(v)) => v.as_table().and_then(|t| t.get(*key)),
            (Step::At(i), Some(v)) => v.as_array().and_then(|a| a.get(*i)),
            (Step::At(_), None) => None,
        };
        let Some(next) = next else { break };
        at = next.span().start;
        value = Some(next.get_ref());
    }
    line_of(text, at)
}

impl Class {
    /// A request's work, in microseconds.
    pub(crate) fn draw(&self, rng: &mut impl rand::Rng) -> f64 {
        (self.work.0 as f64 * draw::factor(rng, self.spread, self.cv)).min(self.most_work.0 as f64)
    }
}

impl Day {
    /// Reads a day and tells the first thing that is wrong with it.
    pub fn parse(text: &str) -> Result<Day, DayError> {
        let day: Day = toml::from_str(text).map_err(|e| DayError {
            line: e.span().map_or(0, |s| line_of(text, s.start)),
            what: e.message().to_owned(),
        })?;
        day.contradiction().map_or(Ok(day), |(path, what)| Err(DayError { line: find(text, &path), what }))
    }

    /// The day as a file.
    pub fn text(&self) -> Result<String, DayError> {
        toml::to_string(self).map_err(|e| DayError { line: 0, what: e.to_string() })
    }

    /// Tells whether the day can be played.
    pub fn check(&self) -> Result<(), DayError> {
        self.contradiction().map_or(Ok(()), |(_, what)| Err(DayError { line: 0, what }))
    }

    fn contradiction(&self) -> Option<Contradiction> {
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let zero_or_more = |x: f64| x.is_finite() && x >= 0.0;
        let mut found: Option<Contradiction> = None;
        let mut test = |ok: bool, path: Vec<Step>, what: &str| {
            if !ok && found.is_none() {
                let key: Vec<String> = path
                    .iter()
                    .map(|s| match s {
                        Step::Key(k) => (*k).to_owned(),
                        Step::At(i) => format!("number {}", i + 1),
                    })
                    .collect();
                found = Some((path, format!("`{}`: {what}", key.join("."))));
            }
        };
        let zones = self.zones.len();
        test(zones > 0, path!["zones"], "name at least one zone");
        test(self.length.0 > 0, path!["length"], "a day needs a length above zero");
        test(self.length.secs() <= 3_600.0, path!["length"], "a day lasts an hour at most");
        let n = &self.network;
        test(share(n.jitter), path!["network", "jitter"], "must lie within 0 and 1");
        test(share(self.discovery.failing), path!["discovery", "failing"], "must lie within 0 and 1");
        test(self.discovery.period.0 > 0, path!["discovery", "period"], "must be above zero");
        let b = &self.balancers;
        test(!b.zones.is_empty(), path!["balancers", "zones"], "name the zone of at least one balancer");
        for (i, z) in b.zones.iter().enumerate() {
            test(self.zones.contains(z), path!["balancers", "zones", i], "no such zone in `zones`");
        }
        let right = b.shares.is_empty() || b.shares.len() == b.zones.len();
        let right = right && b.shares.iter().all(|s| positive(*s));
        test(right, path!["balancers", "shares"], "give one share above zero for each balancer, or none");
        test(positive(b.cores), path!["balancers", "cores"], "must be above zero");
        let l = &self.load;
        test(positive(l.rate), path!["load", "rate"], "must be above zero");
        test(
            l.rate * self.length.secs() <= 5e6,
            path!["load", "rate"],
            "more than five million requests in a day; lower `load.rate` or `length`",
        );
        test(share(l.swing), path!["load", "swing"], "must lie within 0 and 1");
        test(share(l.over_share_worth), path!["load", "over_share_worth"], "must lie within 0 and 1");
        let right = l.zone_shares.len() == zones && l.zone_shares.iter().all(|s| zero_or_more(*s));
        test(
            right && l.zone_shares.iter().sum::<f64>() > 0.0,
            path!["load", "zone_shares"],
            "give one share for each zone, not all of them zero",
        );
        let c = &self.clients;
        test(
            c.try_share > 0.0 && share(c.try_share),
            path!["clients", "try_share"],
            "must lie above 0, up to 1",
        );
        test(share(c.honour), path!["clients", "honour"], "must lie within 0 and 1");
        test(share(c.impatient), path!["clients", "impatient"], "must lie within 0 and 1");
        test(c.retries <= 100, path!["clients", "retries"], "at most 100");
        test(self.limits.max_attempts > 0, path!["limits", "max_attempts"], "at least one");
        test(positive(self.rules.overload_factor), path!["rules", "overload_factor"], "must be above zero");
        test(self.rules.tip_after.0 > 0, path!["rules", "tip_after"], "must be above zero");
        let g = &self.goal;
        let weights = [g.whole, g.worst_window, g.worst_class, g.worst_tenant];
        test(
            weights.iter().all(|w| zero_or_more(*w)) && weights.iter().sum::<f64>() > 0.0,
            path!["goal"],
            "give weights that are not all zero",
        );
        let p = &self.prices;
        let prices = [p.waste, p.cross_zone, p.late_fail, p.probe, p.handshake, p.choke];
        test(prices.iter().all(|x| zero_or_more(*x)), path!["prices"], "a price is zero or more");
        test(!self.tiers.is_empty(), path!["tier"], "describe at least one tier in a [[tier]] table");
        test(self.tiers.len() <= MOST_TIERS, path!["tier"], "at most 32 tiers");
        for (i, t) in self.tiers.iter().enumerate() {
            let at = |key: &'static str| path!["tier", i, key];
            test(t.servers.len() == zones, at("servers"), "give the number of servers in each zone");
            test(t.servers.iter().sum::<u32>() > 0, at("servers"), "a tier needs servers");
            test(t.servers.iter().sum::<u32>() <= 100_000, at("servers"), "at most 100,000 servers");
            test(positive(t.work), at("work"), "must be above zero");
            test((0.0..=16.0).contains(&t.calls), at("calls"), "must lie within 0 and 16");
            let last = i + 1 == self.tiers.len();
            test(!last || t.calls == 0.0, at("calls"), "the last tier has no tier to call");
            test(
                last || t.calls > 0.0,
                at("calls"),
                "the tier behind is never called; give the mean number of calls",
            );
            test(t.cell_size > 0, at("cell_size"), "at least one");
            test(t.cores > 0, at("cores"), "at least one");
            test(positive(t.speed), at("speed"), "must be above zero");
            test(share(t.speed_cv), at("speed_cv"), "must lie within 0 and 1");
            test(t.slots > 0, at("slots"), "at least one");
            test(zero_or_more(t.thrash), at("thrash"), "zero or more");
            test(zero_or_more(t.pause_grow), at("pause_grow"), "zero or more");
            test(positive(t.crowded), at("crowded"), "must be above zero");
            test(t.cold_from > 0.0 && share(t.cold_from), at("cold_from"), "must lie above 0, up to 1");
            test(t.warm_after.0 > 0, at("warm_after"), "must be above zero");
            test(share(t.error_rate), at("error_rate"), "must lie within 0 and 1");
            test(
                t.pause_every.0 == 0 || t.pause_every > t.pause,
                at("pause_every"),
                "must be longer than `pause`",
            );
            let at = |key: &'static str| path!["tier", i, "connections", key];
            test(t.connections.most > 0, at("most"), "at least one");
            test(share(t.connections.full_tax), at("full_tax"), "must lie within 0 and 1");
            test(t.connections.connect_timeout.0 > 0, at("connect_timeout"), "must be above zero");
            if let Some(choke) = &t.choke {
                let at = |key: &'static str| path!["tier", i, "choke", key];
                test(choke.slower >= 1.0 && choke.slower.is_finite(), at("slower"), "at least 1");
                test(positive(choke.at), at("at"), "must be above zero");
                test(share(choke.below), at("below"), "must lie within 0 and 1");
                test(choke.rest.0 > 0 && choke.most >= choke.rest, at("most"), "at least as long as `rest`");
            }
        }
        test(!self.classes.is_empty(), path!["class"], "describe at least one class in a [[class]] table");
        for (i, c) in self.classes.iter().enumerate() {
            let at = |key: &'static str| path!["class", i, key];
            test(positive(c.share), at("share"), "must be above zero");
            test(c.work.0 > 0, at("work"), "must be above zero");
            test(c.most_work >= c.work, at("most_work"), "must not be less than `work`");
            test(zero_or_more(c.cv) && c.cv <= 10.0, at("cv"), "must lie within 0 and 10");
            test(
                c.attempt_noise >= 0.0 && c.attempt_noise <= 10.0,
                at("attempt_noise"),
                "must lie within 0 and 10",
            );
            test(c.aim.0 > 0, at("aim"), "must be above zero");
            test(c.deadline.0 > 0, at("deadline"), "a class needs a deadline above zero");
            test(c.aim <= c.deadline, at("aim"), "must not exceed `deadline`");
            test(zero_or_more(c.worth), at("worth"), "zero or more");
            test(share(c.late_worth), at("late_worth"), "must lie within 0 and 1");
            let window = c.effect != Effect::Keyed || c.repeats_dropped.0 > 0;
            test(window, at("repeats_dropped"), "a keyed class needs the span in which repeats are dropped");
        }
        for (i, t) in self.tenants.iter().enumerate() {
            let right = positive(t.share) && positive(t.quota) && zero_or_more(t.usage);
            test(right, path!["tenant", i], "share and quota are above zero, usage is zero or more");
        }
        let named: f64 = self.tenants.iter().map(|t| t.share * t.usage).sum();
        test(self.tenants.is_empty() || named > 0.0, path!["tenant"], "some tenant must have traffic");
        for (i, f) in self.faults.iter().enumerate() {
            let at = |key: &'static str| path!["fault", i, key];
            use FaultKind as K;
            let balancers =
                matches!(f.kind, K::BalancerKilled | K::BalancerRestart | K::ProcessReplaced | K::Evacuated);
            test(f.at <= self.length, at("at"), "lies after the day's end");
            test(f.tier < self.tiers.len(), at("tier"), "no such tier; they are numbered from 0");
            let count = if balancers {
                self.balancers.zones.len()
            } else {
                self.tiers.get(f.tier).map_or(0, |t| t.servers.iter().sum::<u32>() as usize)
            };
            test(
                f.which.iter().all(|w| *w < count),
                at("which"),
                "no such server or balancer; they are numbered from 0",
            );
            let known = f.zone.as_ref().is_none_or(|z| self.zones.contains(z));
            test(known, at("zone"), "no such zone in `zones`");
            let zoned = matches!(f.kind, K::ZoneLost | K::ZoneCut);
            test(!zoned || f.zone.is_some(), at("zone"), "name the zone that is lost or cut off");
            let known = f.class.as_ref().is_none_or(|c| self.classes.iter().any(|k| k.name == *c));
            test(known, at("class"), "no such class");
            test(f.kind != K::HeavyTail || f.class.is_some(), at("class"), "name the class that is heavy");
            test(f.share > 0.0 && share(f.share), at("share"), "must lie above 0, up to 1");
            test(f.factor > 0.0 && f.factor <= 1e3, at("factor"), "must lie above 0, up to 1000");
            test(f.kind == K::ProcessReplaced || f.length.0 > 0, at("length"), "must be above zero");
        }
        found
    }

    /// The settings that balancer `me` of a tier is told.
    pub fn settings(&self, tier: usize, me: u32, zone: u32) -> policy::Settings {
        let class = |c: &Class| policy::Class {
            idempotency: match c.effect {
                Effect::Safe => policy::Idempotency::Idempotent,
                Effect::Keyed => policy::Idempotency::WithKey {
                    scope: policy::DedupScope::Cell,
                    window: c.repeats_dropped.0,
                },
                Effect::Unsafe => policy::Idempotency::NotIdempotent,
            },
            latency_objective: c.aim.0,
            objective_per_work: 0.0,
            deadline: c.deadline.0,
            priority_weight: c.worth,
            late_weight: c.late_worth,
            streaming: false,
        };
        let t = &self.tiers[tier];
        let balancers = if tier == 0 {
            self.balancers.zones.len() as u32
        } else {
            self.tiers[tier - 1].servers.iter().sum()
        };
        let (p, g, r) = (&self.prices, &self.goal, &self.rules);
        policy::Settings {
            balancer_index: me,
            balancer_count: balancers,
            zone,
            zone_count: self.zones.len() as u32,
            tier: tier as u32,
            tier_count: self.tiers.len() as u32,
            propagates_deadline: self.passes_deadline,
            tenants: self.tenants.iter().map(|t| policy::Tenant { share: t.share, quota: t.quota }).collect(),
            over_quota_weight: self.load.over_share_worth,
            clients_mark_retries: true,
            discovery: match self.discovery.mode {
                Asking::Push => policy::DiscoveryMode::Push,
                Asking::Ask => policy::DiscoveryMode::Poll,
            },
            limits: policy::Limits {
                cancel: true,
                health_checks: self.limits.probes,
                hedging: self.limits.second_copies,
                retry_after: self.limits.retry_after,
                max_retry_after: self.limits.max_retry_after.0,
                max_attempts: self.limits.max_attempts,
                max_open_requests: self.limits.max_open,
                max_streams: 1,
                idle_timeout: t.connections.idle_close.0,
                connect_timeout: t.connections.connect_timeout.0,
                cpu_per_second: (self.balancers.cores * 1e6) as Micros,
                cpu_per_request: 0.0,
            },
            rules: policy::Rules {
                cold_capacity: t.cold_from,
                warm_up_time: t.warm_after.0,
                overload_factor: r.overload_factor,
                overload_window: r.tip_after.0,
                max_poll_interval: r.ask_within.0,
                drain_grace: r.drain_grace.0,
                answer_grace: r.answer_grace.0,
            },
            prices: policy::Prices {
                cross_zone: p.cross_zone,
                probe: p.probe,
                late_fail: p.late_fail,
                waste: p.waste,
                handshake: p.handshake,
                ..policy::Prices::default()
            },
            goal: policy::Goal {
                whole: g.whole,
                worst_window: g.worst_window,
                worst_class: g.worst_class,
                worst_tenant: g.worst_tenant,
                ..policy::Goal::default()
            },
            ..policy::Settings::new(self.classes.iter().map(class).collect())
        }
    }
}
