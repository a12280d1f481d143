//! Server processes: stop and start, pauses, health checks, and the plan of their next change.

use zincstand_policy::{Micros, Outcome};

use super::event::{Message, WorldEvent};
use super::index::{ProcessIndex, ServerIndex};
use super::processes::ProcessEnd;
use super::{ServerStart, World, keys};
use crate::random::{self, Purpose};
use crate::world::discovery::ChangeVisibility;
use crate::world::event::ListedState;

impl World<'_> {
    /// Ends the process and the sidecar of a server. The connections of its jobs are reset.
    pub(super) fn stop_server(&mut self, server: ServerIndex) {
        let lost_jobs = self.servers[server].stop();
        for job in lost_jobs {
            let attempt = self.jobs[job].attempt;
            if !self.attempts[attempt].ended {
                self.send_outcome(attempt, Outcome::Reset);
            }
        }
        let sidecar = self.sidecars[server];
        if let Some(process) = sidecar.filter(|process| self.processes[*process].alive) {
            self.end_process(process, ProcessEnd::Silent);
        }
    }

    /// Starts a server's next process, which warms up, and its sidecar. Has no effect on a server that runs or has
    /// collapsed.
    pub(super) fn start_server(&mut self, server: ServerIndex) {
        let record = &mut self.servers[server];
        if record.is_up() || record.has_collapsed() {
            return;
        }
        record.start(self.now);
        if let Some(recording) = &mut self.start_recording {
            let full_capacity = record.full_capacity();
            recording.starts.push(ServerStart { server, at: self.now, full_capacity });
        }
        let started = record.started;
        let epoch = record.epoch;
        self.start_sidecar(server);
        self.schedule_pause(server, epoch, 0);
        self.schedule_detection(server, ListedState::Ready(started), ChangeVisibility::Announced);
    }

    /// Schedules a server's next pause (even `number`) or the end of its pause (odd `number`).
    pub(super) fn schedule_pause(&mut self, server: ServerIndex, epoch: u32, number: u32) {
        let record = &self.servers[server];
        let tier = &self.scenario.tiers[record.tier];
        if tier.pause_interval.0 == 0 || tier.pause.0 == 0 {
            return;
        }
        let delay = if number % 2 == 1 {
            let growth = tier.pause_growth * record.job_count() as f64 / f64::from(tier.cores);
            (tier.pause.0 as f64 * (1.0 + growth)) as Micros
        } else {
            let key = keys::pause(server, epoch, number);
            let drawn = random::unit(self.scenario.seed, Purpose::Pause, key);
            (tier.pause_interval.0 as f64 * (0.5 + drawn)) as Micros
        };
        self.schedule_after(delay, WorldEvent::ServerPause { server, epoch, number });
    }

    /// Pauses a server, or ends its pause.
    pub(super) fn server_pause(&mut self, server: ServerIndex, epoch: u32, number: u32) {
        let record = &mut self.servers[server];
        if record.epoch != epoch || !record.is_up() || self.now > self.scenario.length.0 {
            return;
        }
        record.advance(self.now);
        record.set_paused(number.is_multiple_of(2));
        self.plan_next_change(server);
        self.schedule_pause(server, epoch, number + 1);
    }

    /// Schedules the next change of a server that happens without further events. Changes planned earlier are ignored.
    pub(super) fn plan_next_change(&mut self, server: ServerIndex) {
        let record = &mut self.servers[server];
        record.update_choke(self.now);
        record.plan_version += 1;
        let plan_version = record.plan_version;
        if let Some(at) = record.next_change(self.now) {
            self.schedule_at(at, WorldEvent::ServerStep { server, plan_version });
        }
    }

    /// Executes a health check. A server answers it without queueing. The answer shows that the process of the server
    /// runs, and costs the server work.
    pub(super) fn health_check(&mut self, process: ProcessIndex, server: ServerIndex) {
        self.metrics.health_checks += 1;
        let key = keys::health_check(process, server, self.now);
        let from = self.processes[process].zone;
        let to = self.servers[server].zone;
        let round_trip = 2 * self.network_latency(from, to, key);
        let destination = self.server_at_address[self.servers[server].address];
        let record = &mut self.servers[destination];
        let tier = &self.scenario.tiers[record.tier];
        let (outcome, latency) = if record.vanished || record.silent {
            (Outcome::TimedOut, tier.connections.connect_timeout.0)
        } else if record.is_up() {
            record.advance(self.now);
            record.spend(tier.health_check_work.0 as f64);
            self.plan_next_change(destination);
            (Outcome::Ok, round_trip)
        } else {
            (Outcome::ConnectFailed, round_trip)
        };
        let message = Message::HealthChecked { server, outcome, latency };
        self.schedule_after(latency, WorldEvent::Message { process, message });
    }
}
