//! The world: one queue of events in virtual time, and all that they happen to.

mod calls;
mod clients;
mod faults;
mod news;
mod processes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use rand::RngExt;
use zincstand_policy::{Action, Micros, Outcome, Settings, SettingsError};

use crate::policy::{Kind, Policy};
use crate::ramp::Watch;
use crate::random::{self, Purpose};
use crate::scenario::{Scenario, ScenarioError};
use crate::scoring::{
    self, Arrival, Breach, Detail, NewsCount, Result, Rule, Sample, ServerOutcome, Tally, TierCount,
};
use crate::server::{JobId, Server};

const SECOND: Micros = 1_000_000;
/// Breaches told in full; the others are counted.
const TOLD: usize = 20;
/// What a balancer's memory of its last events holds.
const REMEMBERED: usize = 24;

pub(crate) type ServerAt = u32;
pub(crate) type ProcessAt = u32;
pub(crate) type RequestAt = u32;
pub(crate) type AttemptAt = u32;

/// What happens.
#[derive(Clone, Copy, Debug)]
enum Ev {
    /// A client sends a try.
    Try { arrival: u32, number: u32 },
    /// It waits no longer for it.
    TryOver { arrival: u32, number: u32 },
    /// Its answer is there.
    Reply { arrival: u32, number: u32, reply: Reply, useful: f64 },
    /// Something reaches a balancer's process.
    Message { process: ProcessAt, message: Message },
    /// A process that was busy goes on.
    Wake { process: ProcessAt },
    /// A request reaches a server.
    Land { attempt: AttemptAt },
    /// An attempt's end reaches its balancer.
    Answer { attempt: AttemptAt, outcome: Outcome },
    /// An attempt's time is over.
    Limit { attempt: AttemptAt },
    /// A request's final answer is due.
    Due { request: RequestAt },
    /// A server's next change by itself.
    Step { server: ServerAt, plan: u32 },
    /// A server's call of the next tier is over.
    CallOver { job: JobId, ok: bool, useful: f64 },
    /// A server stops for a moment, or goes on.
    Pause { server: ServerAt, epoch: u32, number: u32 },
    /// Idle connections to a place are looked over.
    Prune { process: ProcessAt, place: u32 },
    /// Discovery has noticed a change.
    Noticed { server: ServerAt, state: news::Listed },
    /// Discovery tells a process what it has.
    News { process: ProcessAt, whole: bool },
    /// The front learns whether a balancer takes connections.
    Front { balancer: u32, open: bool },
    /// A fault's stage.
    Fault { fault: u32, stage: u32 },
    /// Every second, where the day is told in detail.
    Look,
}

/// What a client hears.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Served,
    Refused {
        retry_after: Micros,
    },
    Failed,
    /// No balancer took the try, or it died with it.
    Unreachable,
}

/// What reaches a balancer's process.
#[derive(Clone, Copy, Debug)]
enum Message {
    Request(RequestAt),
    Outcome(AttemptAt, Outcome),
    Gone(RequestAt),
    Timer(u64),
    /// A probe sent so long ago is over.
    Probed {
        server: ServerAt,
        outcome: Outcome,
        took: Micros,
    },
}

struct Queued {
    at: Micros,
    number: u64,
    what: Ev,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Who asked a balancer.
#[derive(Clone, Copy)]
enum Caller {
    Client { arrival: u32, number: u32 },
    Job(JobId),
}

struct Request {
    process: ProcessAt,
    caller: Caller,
    arrival: u32,
    class: usize,
    deadline: Micros,
    closed: bool,
    sent: u32,
    out: u32,
    /// The earliest attempt that is out or may have run: its number, when it was sent, to which cell.
    may_have_run: Option<(AttemptAt, Micros, u32)>,
    /// Since when none of its attempts is out.
    idle: Micros,
    /// The attempt that is out, the last if there are two.
    attempt: Option<AttemptAt>,
}

struct Attempt {
    request: RequestAt,
    number: u32,
    process: ProcessAt,
    /// Whom the balancer means.
    server: ServerAt,
    /// Who is at its address.
    to: ServerAt,
    sent: Micros,
    limit: Micros,
    ended: bool,
    /// Its connection is new.
    fresh: bool,
    /// It has a connection.
    connected: bool,
    /// The server's process that its connection leads to; none where nobody answers.
    epoch: u32,
    job: Option<JobId>,
    /// Decides its draws, the same whatever the policy did before.
    key: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Calling,
}

struct Job {
    attempt: AttemptAt,
    server: ServerAt,
    epoch: u32,
    arrival: u32,
    phase: Phase,
    since: Micros,
    /// Work of the segment that runs or is next.
    segment: f64,
    /// Work of the segments between calls.
    each: f64,
    calls_left: u32,
    useful: f64,
    /// The call that is out.
    call: Option<RequestAt>,
}

/// What a balancer's process saw or did.
#[derive(Clone, Copy)]
enum Note {
    Told { server: ServerAt, state: zincstand_policy::ServerState },
    Asked { request: RequestAt },
    Sent { request: RequestAt, server: ServerAt, limit: Micros },
    Ended { request: RequestAt, server: ServerAt, outcome: Outcome },
    GaveUp { request: RequestAt, refused: bool },
}

/// What a process was told of a server.
#[derive(Clone, Copy, Default)]
struct Told {
    /// Since when it drains or is gone, if so.
    out: Option<Micros>,
    started: Option<Micros>,
    known: bool,
}

#[derive(Default)]
struct Idle {
    /// Since when, and to which process.
    connections: VecDeque<(Micros, u32)>,
    looked_over: bool,
}

/// A balancer's process.
struct Process {
    tier: usize,
    /// Its balancer's number in the tier.
    me: u32,
    zone: u32,
    policy: Box<dyn Policy>,
    alive: bool,
    /// Its clock, ahead of the world's.
    offset: Micros,
    busy: Micros,
    inbox: VecDeque<Message>,
    waking: bool,
    idle: BTreeMap<u32, Idle>,
    told: BTreeMap<ServerAt, Told>,
    /// How much of discovery's log it has heard.
    heard: usize,
    watching: bool,
    notes: VecDeque<(Micros, Note)>,
    /// Requests without a final answer.
    open: BTreeSet<RequestAt>,
    /// Attempts that are out.
    out: BTreeSet<AttemptAt>,
}

/// A balancer of the first tier, as the front sees it.
struct Edge {
    zone: u32,
    process: Option<ProcessAt>,
    listed: bool,
}

/// A day that is being played.
struct World<'d> {
    day: &'d Scenario,
    start: Start<'d>,
    now: Micros,
    queue: BinaryHeap<Reverse<Queued>>,
    numbered: u64,
    arrivals: Vec<Arrival>,
    /// The number of the try that each client waits for, and whether it still does.
    tries: Vec<(u32, bool)>,
    servers: Vec<Server>,
    /// Who is at which address.
    places: Vec<ServerAt>,
    /// The first place of each tier.
    firsts: Vec<usize>,
    edges: Vec<Edge>,
    /// Where the front sends the clients of each zone.
    taking: Vec<Vec<u32>>,
    processes: Vec<Process>,
    /// The process of each server's balancer for the next tier.
    behind: Vec<Option<ProcessAt>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    jobs: Vec<Job>,
    /// Discovery's log, by tier.
    log: Vec<Vec<news::Change>>,
    discovery_down: bool,
    /// Zones that are cut off from the others.
    cut: Vec<bool>,
    /// Servers that operators have taken out.
    by_hand: Vec<ServerAt>,
    /// Heavy requests: class, share, factor, since.
    heavy: Vec<(u32, usize, f64, f64)>,
    fallen: usize,
    tally: Tally,
    actions: Vec<Action>,
    samples: Option<Vec<Vec<Sample>>>,
    /// What servers get after their start, where that is asked for.
    watch: Option<Watch>,
}

/// What came of a day.
#[derive(Clone, Debug)]
pub struct Played {
    /// Figures.
    pub result: Result,
    /// Seconds, losses and, where asked for, servers.
    pub detail: Detail,
}

/// Starts the policy of a process: its settings, and a seed of its own.
pub type Start<'a> =
    &'a (dyn Fn(Settings, u64) -> std::result::Result<Box<dyn Policy>, SettingsError> + Sync);

/// Plays a day with one kind of policy. With `detail`, servers are looked at every second.
///
/// # Errors
///
/// The day contradicts itself; the error names the key.
pub fn play(day: &Scenario, kind: Kind, detail: bool) -> std::result::Result<Played, ScenarioError> {
    play_with(day, &|settings, seed| kind.start(settings, seed), detail)
}

/// Plays a day with policies that `start` makes.
///
/// # Errors
///
/// The day contradicts itself, or `start` refuses its settings.
pub fn play_with(
    day: &Scenario,
    start: Start<'_>,
    detail: bool,
) -> std::result::Result<Played, ScenarioError> {
    day.check()?;
    for tier in 0..day.tiers.len() {
        let settings = day.settings(tier, 0, 0);
        start(settings, 0)?;
    }
    let mut world = World::new(day, start, detail);
    world.run();
    Ok(world.end())
}

/// Plays a day and writes down what servers get after their start.
pub(crate) fn play_watched(
    day: &Scenario,
    kind: Kind,
) -> std::result::Result<(Played, Watch), ScenarioError> {
    day.check()?;
    let start = |settings, seed| kind.start(settings, seed);
    let mut world = World::new(day, &start, false);
    world.watch = Some(Watch::default());
    world.run();
    let watch = world.watch.take().unwrap_or_default();
    Ok((world.end(), watch))
}

impl<'d> World<'d> {
    fn new(day: &'d Scenario, start: Start<'d>, detail: bool) -> World<'d> {
        let mut world = World {
            day,
            start,
            now: 0,
            queue: BinaryHeap::new(),
            numbered: 0,
            arrivals: Vec::new(),
            tries: Vec::new(),
            servers: Vec::new(),
            places: Vec::new(),
            firsts: Vec::new(),
            edges: Vec::new(),
            taking: vec![Vec::new(); day.zones.len()],
            processes: Vec::new(),
            behind: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            jobs: Vec::new(),
            log: day.tiers.iter().map(|_| Vec::new()).collect(),
            discovery_down: false,
            cut: vec![false; day.zones.len()],
            by_hand: Vec::new(),
            heavy: Vec::new(),
            fallen: 0,
            tally: Tally::default(),
            actions: Vec::new(),
            samples: detail.then(Vec::new),
            watch: None,
        };
        let mut cell = 0;
        for (tier, t) in day.tiers.iter().enumerate() {
            world.firsts.push(world.servers.len());
            for (zone, &count) in t.servers.iter().enumerate() {
                for i in 0..count {
                    let number = world.servers.len();
                    // No two zones share a cell.
                    cell += u32::from(i % t.cell_size == 0);
                    world.servers.push(Server::new(
                        day.seed,
                        number as u64,
                        tier,
                        t,
                        zone as u32,
                        cell,
                        number,
                    ));
                    world.places.push(number as ServerAt);
                    world.behind.push(None);
                }
            }
        }
        world.arrivals = clients::arrivals(day);
        world.tries = vec![(0, false); world.arrivals.len()];
        for server in 0..world.servers.len() {
            world.pause_later(server as ServerAt, 0, 0);
            world.listed_at_start(server as ServerAt);
        }
        for (balancer, zone) in day.balancers.zones.iter().enumerate() {
            let zone = day.zones.iter().position(|z| z == zone).unwrap_or(0) as u32;
            world.edges.push(Edge { zone, process: None, listed: true });
            world.start_edge(balancer, None);
        }
        for server in 0..world.servers.len() {
            world.start_behind(server as ServerAt);
        }
        world.deal();
        world.plan_faults();
        for arrival in 0..world.arrivals.len() {
            let at = world.arrivals[arrival].at;
            world.at(at, Ev::Try { arrival: arrival as u32, number: 0 });
        }
        if detail {
            world.at(SECOND / 2, Ev::Look);
        }
        world
    }

    fn at(&mut self, at: Micros, what: Ev) {
        self.numbered += 1;
        self.queue.push(Reverse(Queued { at: at.max(self.now), number: self.numbered, what }));
    }

    fn after(&mut self, span: Micros, what: Ev) {
        self.at(self.now + span, what);
    }

    fn run(&mut self) {
        let longest = self.day.classes.iter().map(|c| c.deadline.0).max().unwrap_or(0);
        let end = self.day.length.0 + 2 * longest + SECOND;
        while let Some(Reverse(Queued { at, what, .. })) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.tally.events += 1;
            self.happen(what);
        }
    }

    fn happen(&mut self, what: Ev) {
        match what {
            Ev::Try { arrival, number } => self.send_try(arrival, number),
            Ev::TryOver { arrival, number } => self.try_over(arrival, number),
            Ev::Reply { arrival, number, reply, useful } => self.reply(arrival, number, reply, useful),
            Ev::Message { process, message } => self.message(process, message),
            Ev::Wake { process } => self.wake(process),
            Ev::Land { attempt } => self.land(attempt),
            Ev::Answer { attempt, outcome } => self.answer(attempt, outcome),
            Ev::Limit { attempt } => self.limit(attempt),
            Ev::Due { request } => self.due(request),
            Ev::Step { server, plan } => self.step(server, plan),
            Ev::CallOver { job, ok, useful } => self.call_over(job, ok, useful),
            Ev::Pause { server, epoch, number } => self.pause(server, epoch, number),
            Ev::Prune { process, place } => self.prune(process, place),
            Ev::Noticed { server, state } => self.noticed(server, state),
            Ev::News { process, whole } => self.tell_news(process, whole),
            Ev::Front { balancer, open } => self.front(balancer, open),
            Ev::Fault { fault, stage } => self.fault(fault, stage),
            Ev::Look => self.look(),
        }
    }

    /// A message's way between two zones.
    fn way(&self, from: u32, to: u32, number: u64) -> Micros {
        let n = &self.day.network;
        let base = if from == to { n.same_zone } else { n.cross_zone };
        let late = n.jitter * random::unit(self.day.seed, Purpose::Message, number);
        (base.0 as f64 * (1.0 + late)) as Micros
    }

    /// What goes from one zone to the other is lost.
    fn severed(&self, process: ProcessAt, server: ServerAt) -> bool {
        let (from, to) = (self.processes[process as usize].zone, self.servers[server as usize].zone);
        self.cut[from as usize] != self.cut[to as usize]
    }

    /// Counts of a tier, for requests that arrived in the same second as this one.
    fn count(&mut self, arrival: u32, tier: usize) -> &mut TierCount {
        let second = (self.arrivals[arrival as usize].at / SECOND) as usize;
        let tiers = self.day.tiers.len();
        let all = &mut self.tally.tiers;
        if all.len() <= second {
            all.resize_with(second + 1, || vec![TierCount::default(); tiers]);
        }
        &mut all[second][tier]
    }

    /// Counts of discovery's side in this second.
    fn news_count(&mut self) -> &mut NewsCount {
        let second = (self.now / SECOND) as usize;
        let all = &mut self.tally.news;
        if all.len() <= second {
            all.resize_with(second + 1, NewsCount::default);
        }
        &mut all[second]
    }

    fn breach(&mut self, rule: Rule, process: ProcessAt, server: Option<ServerAt>, what: String) {
        self.tally.broken += 1;
        if self.tally.breaches.len() >= TOLD {
            return;
        }
        let p = &self.processes[process as usize];
        let before = p.notes.iter().map(|(at, note)| format!("{:.3} s: {}", *at as f64 / 1e6, told(note)));
        self.tally.breaches.push(Breach {
            rule,
            at: self.now,
            balancer: (p.tier, p.me),
            server,
            what,
            before: before.collect(),
        });
    }

    fn look(&mut self) {
        let mut samples: Vec<Sample> = self
            .servers
            .iter()
            .map(|s| Sample {
                tier: s.tier,
                held: s.held() as u32,
                up: s.up && !s.vanished && !s.silent,
                choked: s.choked.is_some(),
                share: s.share(self.now),
                open: 0,
                window: 0.0,
                latency: s.answered.1 as f64 / f64::from(s.answered.0.max(1)),
            })
            .collect();
        self.servers.iter_mut().for_each(|s| s.answered = (0, 0));
        let mut in_zone: BTreeMap<(usize, u32), f64> = BTreeMap::new();
        for s in &self.servers {
            *in_zone.entry((s.tier, s.zone)).or_default() += f64::from(u8::from(s.up));
        }
        for p in self.processes.iter().filter(|p| p.alive) {
            let Some(learned) = p.policy.learned_state(self.now + p.offset) else { continue };
            for s in &learned.servers {
                let open = s.breakers.first().is_some_and(|b| b.1.is_some());
                samples[s.server as usize].open += u32::from(open);
            }
            for z in &learned.zones {
                let each =
                    z.concurrency_limit / in_zone.get(&(p.tier, z.zone)).copied().unwrap_or(1.0).max(1.0);
                for (sample, server) in samples.iter_mut().zip(&self.servers) {
                    if (server.tier, server.zone) == (p.tier, z.zone) {
                        sample.window += each;
                    }
                }
            }
        }
        if let Some(all) = &mut self.samples {
            all.push(samples);
        }
        if self.now + SECOND < self.day.length.0 {
            self.after(SECOND, Ev::Look);
        }
    }

    fn end(mut self) -> Played {
        let tally = std::mem::take(&mut self.tally);
        let servers = ServerOutcome {
            choked: self.servers.iter().filter(|s| s.ever_choked).count(),
            total: self.servers.len(),
            fallen: self.fallen,
        };
        let (result, mut detail) = scoring::score(self.day, &self.arrivals, tally, &servers);
        detail.servers = self.samples.unwrap_or_default();
        Played { result, detail }
    }

    /// The next stop of a server, or its end.
    fn pause_later(&mut self, server: ServerAt, epoch: u32, number: u32) {
        let t = &self.day.tiers[self.servers[server as usize].tier];
        if t.pause_every.0 == 0 || t.pause.0 == 0 {
            return;
        }
        let held = self.servers[server as usize].held() as f64;
        let span = if number % 2 == 1 {
            (t.pause.0 as f64 * (1.0 + t.pause_grow * held / f64::from(t.cores))) as Micros
        } else {
            let drawn = random::unit(
                self.day.seed,
                Purpose::Pause,
                random::pair(u64::from(server), u64::from(epoch) << 32 | u64::from(number)),
            );
            (t.pause_every.0 as f64 * (0.5 + drawn)) as Micros
        };
        self.after(span, Ev::Pause { server, epoch, number });
    }

    fn pause(&mut self, server: ServerAt, epoch: u32, number: u32) {
        let s = &mut self.servers[server as usize];
        if s.epoch != epoch || !s.up || self.now > self.day.length.0 {
            return;
        }
        s.advance(self.now);
        s.pause(number.is_multiple_of(2));
        self.replan(server);
        self.pause_later(server, epoch, number + 1);
    }

    /// Plans a server's next change anew; what was planned no longer counts.
    fn replan(&mut self, server: ServerAt) {
        let s = &mut self.servers[server as usize];
        s.crowd(self.now);
        s.plan += 1;
        let (plan, next) = (s.plan, s.next(self.now));
        if let Some(at) = next {
            self.at(at, Ev::Step { server, plan });
        }
    }
}

fn told(note: &Note) -> String {
    match note {
        Note::Told { server, state } => format!("told server {server}: {state:?}"),
        Note::Asked { request } => format!("request {request} came"),
        Note::Sent { request, server, limit } => {
            format!("request {request} sent to server {server}, for {:.0} ms", *limit as f64 / 1e3)
        }
        Note::Ended { request, server, outcome } => {
            format!("request {request} at server {server}: {outcome:?}")
        }
        Note::GaveUp { request, refused: true } => format!("request {request} refused"),
        Note::GaveUp { request, refused: false } => format!("request {request} failed"),
    }
}

/// A seed for a process of its own.
fn process_seed(day: &Scenario, number: usize) -> u64 {
    random::stream(day.seed, Purpose::Process, number as u64).random()
}
