//! A server: cores that its jobs share, slots, a waiting room, and what makes it slow.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

use rand::RngExt;
use zincstand_policy::Micros;

use crate::random::{self, Purpose};
use crate::scenario::{Choke, Spread, Tier};

/// Number of a job.
pub(crate) type JobId = u32;
/// Times that a choked server is looked at within the span that it must rest.
const LOOKS: u64 = 10;
/// Of the capacity that a span of warming up has, the part of which work makes a server warm.
const WARMING_WORK: f64 = 0.5;

/// What a server is, and what it holds.
pub(crate) struct Server {
    pub tier: usize,
    pub zone: u32,
    pub cell: u32,
    /// Its address; another server may take it over.
    pub place: usize,
    cores: f64,
    speed: f64,
    slots: usize,
    room: usize,
    thrash: f64,
    crowded: f64,
    cold_from: f64,
    warm_after: Micros,
    most_connections: u32,
    full_tax: f64,
    choke: Option<Choke>,
    /// The process runs.
    pub up: bool,
    /// The machine answers nobody.
    pub vanished: bool,
    pub draining: bool,
    /// It fell over while cold and stays down.
    pub fallen: bool,
    /// Counts its processes.
    pub epoch: u32,
    pub started: Option<Micros>,
    pub connections: u32,
    /// When it choked, if it has.
    pub choked: Option<Micros>,
    pub ever_choked: bool,
    crowded_since: Option<Micros>,
    /// Busy time before each look, while choked.
    looks: VecDeque<(Micros, f64)>,
    busy: f64,
    paused: bool,
    /// Jobs by the virtual service at which each is done.
    running: BinaryHeap<Reverse<(u64, JobId)>>,
    waiting: VecDeque<JobId>,
    /// All jobs that hold a slot or wait for one.
    pub present: BTreeSet<JobId>,
    /// Jobs with a slot.
    holding: usize,
    served: f64,
    last: Micros,
    warmed: f64,
    /// Counts plans, so that an old one is told from the present one.
    pub plan: u32,
    /// Work that is waiting or running.
    pub pending: f64,
    /// Share of requests that fail at once.
    pub failing: f64,
    pub silent: bool,
    /// Share of requests whose connection breaks.
    pub breaking: f64,
    /// How many times the work, and of which class.
    pub slow: Option<(f64, Option<usize>)>,
    /// Attempts that it answered since it was last looked at, and their latencies together.
    pub answered: (u32, Micros),
    /// Work sent to it while cold: when, how much, whether its sender knew.
    pushed: VecDeque<(Micros, f64, bool)>,
}

/// What a choked, cold or paused server does to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Condition {
    Well,
    Cold,
    Choked,
    Silent,
    Slowed,
}

impl Server {
    pub fn new(seed: u64, number: u64, tier: usize, t: &Tier, zone: u32, cell: u32, place: usize) -> Server {
        let mut rng = random::stream(seed, Purpose::Server, number);
        Server {
            tier,
            zone,
            cell,
            place,
            cores: f64::from(t.cores),
            speed: t.speed * random::factor(&mut rng, Spread::Lognormal, t.speed_cv),
            slots: t.slots as usize,
            room: t.waiting as usize,
            thrash: t.thrash,
            crowded: t.crowded,
            cold_from: t.cold_from,
            // Servers warm up at their own pace, never slower than the tier's figure.
            warm_after: (t.warm_after.0 as f64 * (0.6 + 0.4 * rng.random::<f64>())) as Micros,
            most_connections: t.connections.most,
            full_tax: t.connections.full_tax,
            choke: t.choke.clone(),
            up: true,
            vanished: false,
            draining: false,
            fallen: false,
            epoch: 0,
            started: None,
            connections: 0,
            choked: None,
            ever_choked: false,
            crowded_since: None,
            looks: VecDeque::new(),
            busy: 0.0,
            paused: false,
            running: BinaryHeap::new(),
            waiting: VecDeque::new(),
            present: BTreeSet::new(),
            holding: 0,
            served: 0.0,
            last: 0,
            warmed: 0.0,
            plan: 0,
            pending: 0.0,
            failing: t.error_rate,
            silent: false,
            breaking: 0.0,
            slow: None,
            answered: (0, 0),
            pushed: VecDeque::new(),
        }
    }

    /// Its present share of its full capacity.
    pub fn share(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / self.warm_after.max(1) as f64;
        let enough = WARMING_WORK * self.cores * self.speed * self.warm_after as f64;
        let warm = age.max(self.warmed / enough.max(1.0));
        (self.cold_from + (1.0 - self.cold_from) * warm).min(1.0)
    }

    /// Work a microsecond, were all its cores busy.
    pub fn capacity(&self, now: Micros) -> f64 {
        let choked = match &self.choke {
            Some(c) if self.choked.is_some() => c.slower,
            _ => 1.0,
        };
        let slowed = match self.slow {
            Some((factor, None)) => factor,
            _ => 1.0,
        };
        let over = (self.present.len() as f64 - self.crowded).max(0.0);
        let tax = 1.0 - self.full_tax * f64::from(self.connections) / f64::from(self.most_connections);
        self.cores * self.speed * self.share(now) * tax.max(0.1)
            / ((1.0 + self.thrash * over) * choked * slowed)
    }

    /// Work a microsecond, were it warm and well and all its cores busy.
    pub fn full_capacity(&self) -> f64 {
        self.cores * self.speed
    }

    /// Service a microsecond that each running job gets.
    fn rate(&self, now: Micros) -> f64 {
        if self.paused || self.running.is_empty() {
            return 0.0;
        }
        let n = self.running.len() as f64;
        self.capacity(now) / self.cores * (self.cores / n).min(1.0)
    }

    /// Work that keeps its waiting room and cores from one more job, beside its capacity.
    pub fn backlog(&self, now: Micros) -> f64 {
        self.pending / self.capacity(now).max(1e-9)
    }

    /// Places left before it counts as crowded in the sense of its choke; without one, before it turns away.
    pub fn spare(&self) -> f64 {
        let most = match &self.choke {
            Some(c) => (1.0 + c.at) * self.cores,
            None => (self.slots + self.room) as f64,
        };
        most - (self.running.len() + self.waiting.len()) as f64
    }

    pub fn condition(&self, now: Micros) -> Condition {
        match () {
            () if self.silent || self.vanished => Condition::Silent,
            () if self.choked.is_some() => Condition::Choked,
            () if self.share(now) < 1.0 => Condition::Cold,
            () if self.slow.is_some() => Condition::Slowed,
            () => Condition::Well,
        }
    }

    pub fn full(&self) -> bool {
        self.present.len() >= self.slots + self.room
    }

    pub fn table_full(&self) -> bool {
        self.connections >= self.most_connections
    }

    pub fn held(&self) -> usize {
        self.present.len()
    }

    /// Brings its jobs to `now`. Whatever changes its rate comes after this.
    pub fn advance(&mut self, now: Micros) {
        let span = now.saturating_sub(self.last) as f64;
        if span > 0.0 && !self.running.is_empty() {
            let n = self.running.len() as f64;
            // The share of a cold server grows meanwhile; plans are short enough for one rate each.
            let done = self.rate(self.last) * span;
            self.served += done;
            if self.started.is_some() {
                self.warmed += done * n;
            }
            if !self.paused {
                self.busy += span * (n / self.cores).min(1.0);
            }
        }
        self.last = now;
    }

    /// A job takes a place; it runs at once where a slot is free, and is told so.
    pub fn admit(&mut self, job: JobId, work: f64) -> bool {
        self.present.insert(job);
        self.pending += work;
        if self.holding < self.slots {
            self.holding += 1;
            self.run(job, work);
            return true;
        }
        self.waiting.push_back(job);
        false
    }

    /// A job that holds a slot runs.
    pub fn run(&mut self, job: JobId, work: f64) {
        if self.running.is_empty() {
            self.served = 0.0;
        }
        self.running.push(Reverse(((self.served + work).to_bits(), job)));
    }

    /// Work beside its jobs: they share the delay, and idle cores take their part of it.
    pub fn spend(&mut self, work: f64) {
        self.served = (self.served - work / (self.running.len() as f64).max(self.cores)).max(0.0);
    }

    /// The next job that has had its service.
    pub fn done(&mut self) -> Option<JobId> {
        let Reverse((at, _)) = *self.running.peek()?;
        if f64::from_bits(at) > self.served + 1e-6 {
            return None;
        }
        self.running.pop().map(|Reverse((_, job))| job)
    }

    /// A job leaves; the next in the waiting room gets its slot.
    pub fn leave(&mut self, job: JobId) -> Option<JobId> {
        self.present.remove(&job);
        self.holding -= 1;
        let next = self.waiting.pop_front()?;
        self.holding += 1;
        Some(next)
    }

    /// When its state changes by itself, if nothing comes.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let mut at = Micros::MAX;
        let rate = self.rate(now);
        if let (Some(Reverse((done, _))), true) = (self.running.peek(), rate > 0.0) {
            let left = ((f64::from_bits(*done) - self.served).max(0.0) / rate).ceil().min(1e12);
            at = now + (left as Micros).max(1);
            if self.share(now) < 1.0 {
                at = at.min(now + (self.warm_after / 64).max(1));
            }
        }
        if let Some(choke) = &self.choke {
            if let Some(since) = self.crowded_since {
                at = at.min((since + choke.over.0).max(now + 1));
            }
            if self.choked.is_some() {
                at = at.min(now + (choke.rest.0 / LOOKS).max(1));
            }
        }
        (at < Micros::MAX).then_some(at)
    }

    /// Looks at its crowd: tells if it has just choked or recovered.
    pub fn crowd(&mut self, now: Micros) -> bool {
        let Some(choke) = &self.choke else { return false };
        if let Some(since) = self.choked {
            let look = choke.rest.0 / LOOKS;
            if self.looks.back().is_none_or(|(at, _)| now >= at + look) {
                self.looks.push_back((now, self.busy));
            }
            while self.looks.len() > 1 && self.looks[1].0 + choke.rest.0 <= now {
                self.looks.pop_front();
            }
            let (from, busy) = self.looks[0];
            let rested = now >= from + choke.rest.0 && self.busy - busy < choke.below * (now - from) as f64;
            if rested || now >= since + choke.most.0 {
                (self.choked, self.crowded_since) = (None, None);
                self.looks.clear();
                return true;
            }
            return false;
        }
        let crowd = (self.running.len() + self.waiting.len()) as f64 - self.cores;
        if crowd <= choke.at * self.cores {
            self.crowded_since = None;
            return false;
        }
        let since = *self.crowded_since.get_or_insert(now);
        if now < since + choke.over.0 {
            return false;
        }
        (self.choked, self.ever_choked, self.crowded_since) = (Some(now), true, None);
        true
    }

    pub fn pause(&mut self, on: bool) {
        self.paused = on;
    }

    /// Counts work sent to it while it is cold; if it falls over, tells the share that knew of its start.
    pub fn push(&mut self, now: Micros, work: f64, knew: bool, factor: f64, span: Micros) -> Option<f64> {
        let share = self.share(now);
        if share >= 1.0 {
            self.pushed.clear();
            return None;
        }
        self.pushed.push_back((now, work, knew));
        while self.pushed.front().is_some_and(|(at, ..)| at + span < now) {
            self.pushed.pop_front();
        }
        let sum: f64 = self.pushed.iter().map(|p| p.1).sum();
        let heaviest = self.pushed.iter().map(|p| p.1).fold(0.0, f64::max);
        // One heavy request is chance, not a push.
        if sum - heaviest <= factor * share * self.cores * self.speed * span as f64 {
            return None;
        }
        let known: f64 = self.pushed.iter().filter(|p| p.2).map(|p| p.1).sum();
        Some(known / sum)
    }

    /// The process ends, whatever it holds.
    pub fn stop(&mut self) -> Vec<JobId> {
        self.up = false;
        self.epoch += 1;
        self.plan += 1;
        self.connections = 0;
        (self.choked, self.crowded_since) = (None, None);
        self.looks.clear();
        self.running.clear();
        self.waiting.clear();
        self.pushed.clear();
        (self.holding, self.pending) = (0, 0.0);
        std::mem::take(&mut self.present).into_iter().collect()
    }

    /// A new process starts, cold.
    pub fn start(&mut self, now: Micros) {
        (self.up, self.draining, self.vanished) = (true, false, false);
        (self.started, self.warmed, self.last) = (Some(now), 0.0, now);
        self.paused = false;
    }
}

/// The true state of all servers, for the policy that stands for the top.
pub struct Truth<'a> {
    pub(crate) servers: &'a [Server],
    pub(crate) now: Micros,
}

/// What is true of one server; work and times are microseconds.
#[derive(Clone, Copy, Debug)]
pub struct TrueState {
    /// It would take a request now, and answer.
    pub takes: bool,
    /// Until the work that it has now is done, in microseconds.
    pub backlog: f64,
    /// Work a microsecond that it can do.
    pub capacity: f64,
    /// Requests that it may get before it is crowded.
    pub spare: f64,
    /// Its share of its full capacity.
    pub share: f64,
    /// It has turned slow and needs rest.
    pub choked: bool,
}

impl Truth<'_> {
    /// Mean backlog of the fullest tier behind one, in microseconds.
    pub fn behind(&self, tier: u32) -> f64 {
        let mut sums: std::collections::BTreeMap<usize, (f64, f64)> = std::collections::BTreeMap::new();
        for s in self.servers.iter().filter(|s| s.tier > tier as usize && s.up && !s.vanished && !s.silent) {
            let (sum, count) = sums.entry(s.tier).or_default();
            *sum += s.backlog(self.now);
            *count += 1.0;
        }
        sums.values().map(|(sum, count)| sum / count).fold(0.0, f64::max)
    }

    /// What is true of a server; `None` for one that never was.
    pub fn of(&self, server: zincstand_policy::ServerId) -> Option<TrueState> {
        let s = self.servers.get(server as usize)?;
        Some(TrueState {
            takes: s.up
                && !s.vanished
                && !s.draining
                && !s.silent
                && !s.full()
                && s.failing < 0.02
                && s.breaking < 0.02,
            backlog: s.backlog(self.now),
            capacity: s.capacity(self.now),
            spare: s.spare(),
            share: s.share(self.now),
            choked: s.choked.is_some(),
        })
    }
}
