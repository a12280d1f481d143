//! What goes wrong, stage by stage.

use zincstand_policy::Micros;

use super::{Ev, ServerAt, World, news::Listed};
use crate::random::{self, Purpose};
use crate::scenario::{Fault, FaultKind};
use crate::server::Server;

/// From the end of a process to the start of the next one on the same machine.
const RESTART: Micros = 500_000;
/// The front sends new connections elsewhere so long after a balancer says no.
const FRONT: Micros = 300_000;
/// A balancer that was asked to end is ended so long after the longest deadline.
const LAST: Micros = 700_000;
/// From the start of a balancer's process to its first connection.
const READY: Micros = 300_000;

const BEGIN: u32 = 0;
const END: u32 = 1;
/// Stages from here on belong to one target and a step of it.
const STEPS: u32 = 2;
/// Steps of one target: it drains, stops, starts.
const PER_TARGET: u32 = 3;

impl World<'_> {
    pub(super) fn plan_faults(&mut self) {
        let day = self.day;
        for (number, f) in day.faults.iter().enumerate() {
            let fault = number as u32;
            let targets = self.targets(f).len() as u32;
            let step = |target: u32, step: u32| STEPS + target * PER_TARGET + step;
            match f.kind {
                FaultKind::RollingDeploy => {
                    let batch = (f.share * f64::from(targets)).ceil().max(1.0) as u32;
                    let rounds = targets.div_ceil(batch).max(1);
                    for target in 0..targets {
                        let at = f.at.0 + f.length.0 * u64::from(target / batch) / u64::from(rounds);
                        self.at(at, Ev::Fault { fault, stage: step(target, 0) });
                        self.at(at + f.drain.0, Ev::Fault { fault, stage: step(target, 1) });
                        self.at(at + f.drain.0 + RESTART, Ev::Fault { fault, stage: step(target, 2) });
                    }
                }
                FaultKind::Replaced => {
                    for target in 0..targets {
                        let at = f.at.0 + f.length.0 * u64::from(target) / u64::from(targets.max(1));
                        self.at(at, Ev::Fault { fault, stage: step(target, 1) });
                        self.at(at + RESTART, Ev::Fault { fault, stage: step(target, 2) });
                    }
                }
                FaultKind::ProcessReplaced | FaultKind::BalancerRestart | FaultKind::BalancerKilled => {
                    let longest = day.classes.iter().map(|c| c.deadline.0).max().unwrap_or(0);
                    // One after the other where they are replaced, all at once where they are killed.
                    for target in 0..targets {
                        let apart = match f.kind {
                            FaultKind::BalancerKilled => 0,
                            _ => f.length.0 / u64::from(targets.max(1)),
                        };
                        let at = f.at.0 + u64::from(target) * apart;
                        let (gone, back) = match f.kind {
                            FaultKind::BalancerKilled => (at, at + f.length.0),
                            FaultKind::BalancerRestart => {
                                (at + longest + LAST, at + longest + LAST + RESTART)
                            }
                            _ => (at + longest + LAST, at),
                        };
                        self.at(at, Ev::Fault { fault, stage: step(target, 0) });
                        self.at(gone, Ev::Fault { fault, stage: step(target, 1) });
                        self.at(back, Ev::Fault { fault, stage: step(target, 2) });
                    }
                }
                _ => {
                    self.at(f.at.0, Ev::Fault { fault, stage: BEGIN });
                    self.at(f.at.0 + f.length.0, Ev::Fault { fault, stage: END });
                }
            }
            if f.kind == FaultKind::OutByHand && f.restarts {
                // Restarted in the time that it is out, it is cold when it is put back.
                let at = f.at.0 + f.drain.0.min(f.length.0.saturating_sub(RESTART));
                for target in 0..targets {
                    self.at(at, Ev::Fault { fault, stage: step(target, 1) });
                    self.at(at + RESTART, Ev::Fault { fault, stage: step(target, 2) });
                }
            }
        }
    }

    /// The places, or balancers, that a fault befalls.
    fn targets(&self, f: &Fault) -> Vec<usize> {
        use FaultKind as K;
        if matches!(f.kind, K::BalancerKilled | K::BalancerRestart | K::ProcessReplaced | K::Evacuated) {
            let all = 0..self.edges.len();
            return if f.which.is_empty() { all.collect() } else { f.which.clone() };
        }
        let first = self.firsts[f.tier];
        let count: u32 = self.day.tiers[f.tier].servers.iter().sum();
        if f.which.is_empty() {
            (first..first + count as usize).collect()
        } else {
            f.which.iter().map(|w| first + w).collect()
        }
    }

    pub(super) fn fault(&mut self, fault: u32, stage: u32) {
        let day = self.day;
        let f = &day.faults[fault as usize];
        let targets = self.targets(f);
        if stage >= STEPS {
            let (target, step) = ((stage - STEPS) / PER_TARGET, (stage - STEPS) % PER_TARGET);
            let Some(&target) = targets.get(target as usize) else { return };
            return match f.kind {
                FaultKind::RollingDeploy | FaultKind::OutByHand => self.deploy(self.places[target], step),
                FaultKind::Replaced => self.replace(target, step),
                _ => self.balancer(f, target, step),
            };
        }
        let on = stage == BEGIN;
        match f.kind {
            FaultKind::HeavyTail => {
                let class = day.classes.iter().position(|c| Some(&c.name) == f.class.as_ref()).unwrap_or(0);
                self.heavy.retain(|h| h.0 != fault);
                if on {
                    self.heavy.push((fault, class, f.share, f.factor));
                }
            }
            FaultKind::ZoneLost => self.zone(f, on),
            FaultKind::ZoneCut => self.cut_off(f, on),
            FaultKind::Vanished => targets.into_iter().for_each(|place| self.vanish(self.places[place], on)),
            FaultKind::DiscoveryOutage => self.outage(on),
            FaultKind::Evacuated => {
                for balancer in targets {
                    self.after(FRONT, Ev::Front { balancer: balancer as u32, open: !on });
                }
            }
            FaultKind::OutByHand => {
                for place in targets {
                    self.by_operators(f, self.places[place], on);
                }
            }
            _ => {
                let class = day.classes.iter().position(|c| Some(&c.name) == f.class.as_ref());
                for place in targets {
                    let server = self.places[place];
                    let rate = day.tiers[f.tier].error_rate;
                    let s = &mut self.servers[server as usize];
                    s.advance(self.now);
                    match f.kind {
                        FaultKind::FastErrors => s.failing = if on { f.share } else { rate },
                        FaultKind::Silent => s.silent = on,
                        FaultKind::Resets => s.breaking = if on { f.share } else { 0.0 },
                        _ => s.slow = on.then_some((f.factor, class)),
                    }
                    self.replan(server);
                }
            }
        }
    }

    fn deploy(&mut self, server: ServerAt, step: u32) {
        if self.servers[server as usize].fallen {
            return;
        }
        match step {
            0 => {
                self.servers[server as usize].draining = true;
                self.changed(server, Listed::Draining, false);
            }
            1 => self.stop_server(server, true),
            _ => self.start_server(server),
        }
    }

    /// A server's next process starts, cold.
    fn start_server(&mut self, server: ServerAt) {
        let s = &mut self.servers[server as usize];
        if s.up || s.fallen {
            return;
        }
        s.start(self.now);
        if let Some(watch) = &mut self.watch {
            watch.starts.push((server, self.now, s.full_capacity()));
        }
        let (started, epoch) = (s.started, s.epoch);
        self.start_behind(server);
        self.pause_later(server, epoch, 0);
        self.changed(server, Listed::Ready(started), false);
    }

    /// A machine goes; another, with an id of its own, starts at its address.
    fn replace(&mut self, place: usize, step: u32) {
        let old = self.places[place];
        let s = &self.servers[old as usize];
        if step == 1 {
            if s.up {
                self.stop_server(old, true);
            }
            return self.changed(old, Listed::Gone, false);
        }
        let (tier, zone, cell) = (s.tier, s.zone, s.cell);
        let number = self.servers.len();
        let mut new =
            Server::new(self.day.seed, number as u64, tier, &self.day.tiers[tier], zone, cell, place);
        // Connections to the old one lead nowhere.
        new.epoch = s.epoch + 1;
        new.up = false;
        self.servers.push(new);
        self.behind.push(None);
        self.places[place] = number as ServerAt;
        self.start_server(number as ServerAt);
    }

    fn zone(&mut self, f: &Fault, lost: bool) {
        let Some(zone) = self.day.zones.iter().position(|z| Some(z) == f.zone.as_ref()) else { return };
        let zone = zone as u32;
        for place in 0..self.places.len() {
            let server = self.places[place];
            if self.servers[server as usize].zone == zone {
                self.vanish(server, lost);
            }
        }
        let notice = self.day.balancers.notice.0;
        for balancer in 0..self.edges.len() {
            if self.edges[balancer].zone != zone {
                continue;
            }
            if lost {
                if let Some(process) = self.edges[balancer].process {
                    self.end_process(process, false);
                }
                self.after(notice, Ev::Front { balancer: balancer as u32, open: false });
            } else {
                self.start_edge(balancer, None);
                self.after(READY, Ev::Front { balancer: balancer as u32, open: true });
            }
        }
    }

    /// A server's machine vanishes without a word, or is back with a cold process.
    fn vanish(&mut self, server: ServerAt, lost: bool) {
        let s = &mut self.servers[server as usize];
        if s.fallen {
            return;
        }
        if lost {
            s.vanished = true;
            if let Some(process) = self.behind[server as usize] {
                self.end_process(process, false);
            }
            self.changed(server, Listed::Gone, true);
        } else {
            self.stop_server(server, true);
            self.start_server(server);
        }
    }

    /// What crosses the cut is lost without a word. Discovery is on the side that is not cut off: it takes the
    /// servers beyond for gone, and the balancers there hear nothing until it is over, then the whole list.
    fn cut_off(&mut self, f: &Fault, on: bool) {
        let Some(zone) = self.day.zones.iter().position(|z| Some(z) == f.zone.as_ref()) else { return };
        self.cut[zone] = on;
        for server in 0..self.servers.len() as ServerAt {
            let s = &self.servers[server as usize];
            if s.zone != zone as u32 || !s.up || s.vanished {
                continue;
            }
            let state = if on { Listed::Gone } else { Listed::Ready(s.started) };
            self.changed(server, state, on);
        }
        for process in 0..self.processes.len() {
            let p = &self.processes[process];
            if !on && p.alive && p.watching && p.zone == zone as u32 {
                let late = random::unit(self.day.seed, Purpose::News, random::pair(process as u64, self.now));
                let late = (late * self.day.discovery.spread.0 as f64) as Micros;
                self.after(late, Ev::News { process: process as u32, whole: true });
            }
        }
    }

    fn outage(&mut self, on: bool) {
        self.discovery_down = on;
        if on {
            return;
        }
        // What it missed comes as a whole list.
        for process in 0..self.processes.len() {
            if self.processes[process].alive && self.processes[process].watching {
                let late = random::unit(self.day.seed, Purpose::News, random::pair(process as u64, self.now));
                let late = (late * self.day.discovery.spread.0 as f64) as Micros;
                self.after(late, Ev::News { process: process as u32, whole: true });
            }
        }
    }

    fn by_operators(&mut self, f: &Fault, server: ServerAt, out: bool) {
        self.by_hand.retain(|s| *s != server);
        if out {
            self.by_hand.push(server);
        }
        let tier = f.tier;
        for process in 0..self.processes.len() {
            if self.processes[process].alive && self.processes[process].tier == tier {
                self.by_hand(process as u32, server);
            }
        }
    }

    /// A balancer of the first tier is killed, restarted or replaced.
    fn balancer(&mut self, f: &Fault, target: usize, step: u32) {
        let balancer = target as u32;
        let replaced = f.kind == FaultKind::ProcessReplaced;
        let notice = match f.kind {
            FaultKind::BalancerKilled => self.day.balancers.notice.0,
            _ => FRONT,
        };
        match step {
            // The old one serves until the new one does.
            0 if replaced => {}
            0 => self.after(notice, Ev::Front { balancer, open: false }),
            1 if replaced => {
                // The one before the present one.
                let me = target as u32;
                let present = self.edges[target].process;
                let old = (0..self.processes.len() as u32).find(|&p| {
                    let process = &self.processes[p as usize];
                    process.alive && process.tier == 0 && process.me == me && Some(p) != present
                });
                if let Some(old) = old {
                    self.end_process(old, true);
                }
            }
            1 => {
                if let Some(process) = self.edges[target].process {
                    self.end_process(process, true);
                }
            }
            _ => {
                let learned = self.edges[target].process.filter(|_| f.learned).and_then(|p| {
                    let p = &self.processes[p as usize];
                    p.policy.learned_state(self.now + p.offset)
                });
                self.start_edge(target, learned);
                if !replaced {
                    self.after(READY, Ev::Front { balancer, open: true });
                }
            }
        }
    }
}
