//! Clients: what they send, how long they wait, when they try again.

use rand::RngExt;
use zincstand_policy::Micros;

use super::{Caller, Edge, Ev, Message, ProcessAt, Reply, Request, RequestAt, World};
use crate::random::{self, Purpose};
use crate::scenario::{Effect, Scenario, Shape};
use crate::scoring::{Arrival, Cause, End, Rule};

/// A spell of a bursty day.
const SPELL: f64 = 1.5;
/// Times that the rate goes up and down in a wavy day.
const WAVES: f64 = 1.5;
/// Seconds of quota that a tenant may send at once.
const BURST: f64 = 1.0;

/// Draws all first tries of the day.
pub(super) fn arrivals(day: &Scenario) -> Vec<Arrival> {
    let mut rng = random::stream(day.seed, Purpose::Arrivals, 0);
    let phase: f64 = rng.random();
    let length = day.length.secs();
    let top = day.load.rate * (1.0 + day.load.swing);
    let swing = |t: f64| match day.load.shape {
        Shape::Wave => (std::f64::consts::TAU * (t / length * WAVES + phase)).sin(),
        Shape::Bursty => {
            let spell = random::unit(day.seed, Purpose::Arrivals, 1 + (t / SPELL) as u64);
            if spell < 0.5 { -1.0 } else { 1.0 }
        }
    };
    let mut tokens: Vec<(f64, f64)> = day.tenants.iter().map(|t| (t.quota * BURST, 0.0)).collect();
    let (mut all, mut now) = (Vec::new(), 0.0);
    loop {
        now += -(1.0 - rng.random::<f64>()).ln() / top;
        if now >= length {
            return all;
        }
        if rng.random::<f64>() * top > day.load.rate * (1.0 + day.load.swing * swing(now)) {
            continue;
        }
        let mut own = random::stream(day.seed, Purpose::Request, all.len() as u64);
        let zone = weighted(own.random(), day.load.zone_shares.iter().copied());
        let class = weighted(own.random(), day.classes.iter().map(|c| c.share));
        let drawn: f64 = own.random();
        let tenant =
            (!day.tenants.is_empty()).then(|| weighted(drawn, day.tenants.iter().map(|t| t.share * t.usage)));
        let c = &day.classes[class];
        let work = random::request_work(c, &mut own);
        let mut arrival = Arrival::new((now * 1e6) as Micros, zone as u32, class, tenant, work);
        if let Some(t) = tenant {
            let (have, at) = &mut tokens[t];
            let quota = day.tenants[t].quota;
            *have = (*have + (now - *at) * quota).min(quota * BURST);
            *at = now;
            arrival.within = *have >= 1.0;
            *have -= f64::from(u8::from(arrival.within));
        }
        all.push(arrival);
    }
}

/// The place of a number from 0 to 1 among weights.
fn weighted(drawn: f64, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = drawn * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, w) in weights.enumerate() {
        if w > 0.0 {
            last = i;
            if left < w {
                return i;
            }
        }
        left -= w;
    }
    last
}

impl World<'_> {
    /// The front learns whether a balancer takes connections.
    pub(super) fn front(&mut self, balancer: u32, open: bool) {
        self.edges[balancer as usize].listed = open;
        self.deal();
    }

    /// Clients go to the balancers of their zone, or to any where that has none.
    pub(super) fn deal(&mut self) {
        let listed = |zone: Option<u32>| {
            let takes = |e: &Edge| e.listed && zone.is_none_or(|z| e.zone == z);
            (0..self.edges.len() as u32).filter(|&i| takes(&self.edges[i as usize])).collect::<Vec<_>>()
        };
        let own = (0..self.taking.len() as u32).map(|zone| listed(Some(zone)));
        self.taking = own.map(|own| if own.is_empty() { listed(None) } else { own }).collect();
    }

    /// The time that a client gives one try.
    fn patience(&self, arrival: u32) -> (Micros, Micros) {
        let a = &self.arrivals[arrival as usize];
        let deadline = self.day.classes[a.class].deadline.0;
        let each = (deadline as f64 * self.day.clients.try_share) as Micros;
        (each, (a.at + deadline).saturating_sub(self.now))
    }

    pub(super) fn send_try(&mut self, arrival: u32, number: u32) {
        let (each, left) = self.patience(arrival);
        let wait = each.min(left);
        if wait < 1_000 {
            return self.try_ended(arrival, number, Reply::Failed);
        }
        if number == 0 {
            self.tally.first_tries += 1;
        } else {
            self.tally.client_retries += 1;
        }
        self.tries[arrival as usize] = (number, true);
        self.after(wait, Ev::TryOver { arrival, number });
        let a = &self.arrivals[arrival as usize];
        let (zone, class) = (a.zone, a.class);
        let key = random::pair(u64::from(arrival), u64::from(number));
        let drawn = random::unit(self.day.seed, Purpose::Front, key);
        let taken = &self.taking[zone as usize];
        let way = self.day.network.client.0;
        let shares = &self.day.balancers.shares;
        let at = match shares.is_empty() {
            true => (drawn * taken.len() as f64) as usize,
            false => weighted(drawn, taken.iter().map(|&i| shares[i as usize])),
        };
        let picked = taken.get(at);
        let process = picked.and_then(|&i| self.edges[i as usize].process);
        let Some(process) = process.filter(|p| self.processes[*p as usize].alive) else {
            let reply = Reply::Unreachable;
            return self.after(2 * way, Ev::Reply { arrival, number, reply, useful: 0.0 });
        };
        let full = self.processes[process as usize].open.len() >= self.day.limits.max_open.max(1) as usize;
        if full {
            let reply = Reply::Refused { retry_after: 0 };
            return self.after(2 * way, Ev::Reply { arrival, number, reply, useful: 0.0 });
        }
        let caller = Caller::Client { arrival, number };
        let request = self.new_request(process, caller, arrival, class, self.now + way + wait);
        self.after(way, Ev::Message { process, message: Message::Request(request) });
        let patience = random::unit(self.day.seed, Purpose::Client, key);
        if patience < self.day.clients.impatient {
            // Leaves somewhere on the way; nothing is owed then.
            let at = (wait as f64 * patience / self.day.clients.impatient) as Micros;
            self.after(at + way, Ev::Message { process, message: Message::Gone(request) });
        }
    }

    pub(super) fn new_request(
        &mut self,
        process: ProcessAt,
        caller: Caller,
        arrival: u32,
        class: usize,
        deadline: Micros,
    ) -> RequestAt {
        let request = self.requests.len() as RequestAt;
        self.requests.push(Request {
            process,
            caller,
            arrival,
            class,
            deadline,
            closed: false,
            sent: 0,
            out: 0,
            may_have_run: None,
            idle: self.now,
            attempt: None,
        });
        self.processes[process as usize].open.insert(request);
        self.at(deadline + self.day.rules.answer_grace.0, Ev::Due { request });
        request
    }

    /// A request whose client waits no longer, or that was never answered.
    pub(super) fn due(&mut self, request: RequestAt) {
        let r = &self.requests[request as usize];
        if r.closed || !self.processes[r.process as usize].alive {
            return;
        }
        let process = r.process;
        self.breach(Rule::Lost, process, None, format!("request {request} has no final answer"));
        self.close(request, Reply::Failed, 0.0);
        self.message(process, Message::Gone(request));
    }

    pub(super) fn try_over(&mut self, arrival: u32, number: u32) {
        if self.tries[arrival as usize] == (number, true) {
            self.try_ended(arrival, number, Reply::Failed);
        }
    }

    pub(super) fn reply(&mut self, arrival: u32, number: u32, reply: Reply, useful: f64) {
        if self.tries[arrival as usize] != (number, true) {
            return;
        }
        if let Reply::Served = reply {
            self.tries[arrival as usize].1 = false;
            self.tally.useful += useful;
            self.arrivals[arrival as usize].end = End::Served(self.now);
            return;
        }
        self.try_ended(arrival, number, reply);
    }

    /// A try that brought nothing: tries again where there is time and the class allows it.
    fn try_ended(&mut self, arrival: u32, number: u32, reply: Reply) {
        self.tries[arrival as usize].1 = false;
        let clients = &self.day.clients;
        let class = &self.day.classes[self.arrivals[arrival as usize].class];
        // Servers of one cell only drop repeats of a key, and the next try may reach any.
        let may = class.effect == Effect::Safe || matches!(reply, Reply::Refused { .. } | Reply::Unreachable);
        let key = random::pair(u64::from(arrival), 1_000 + u64::from(number));
        let drawn = random::unit(self.day.seed, Purpose::Client, key);
        let mut wait = clients.backoff.0 as f64 * f64::from(1u32 << number.min(16)) * (0.5 + drawn);
        if let Reply::Refused { retry_after } = reply
            && self.day.limits.retry_after
            && random::unit(self.day.seed, Purpose::Client, key ^ 1) < clients.honour
        {
            wait = wait.max(retry_after.min(self.day.limits.max_retry_after.0) as f64);
        }
        let wait = wait as Micros;
        let a = &mut self.arrivals[arrival as usize];
        let over = self.now + wait >= a.at + class.deadline.0;
        if !may || number >= clients.retries || over {
            a.end = match reply {
                Reply::Refused { .. } => End::Refused(self.now),
                _ => End::Failed(self.now),
            };
            if let Reply::Unreachable = reply {
                a.charge(Cause::Unreachable, None, 1);
            }
            return;
        }
        a.charge(Cause::Retry, None, wait);
        self.after(wait, Ev::Try { arrival, number: number + 1 });
    }
}
