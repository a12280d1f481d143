//! Jobs: the execution of attempts at servers, in segments with calls of the next tier in between.

use zincstand_policy::{Micros, Outcome};

use super::World;
use super::event::{Message, WorldEvent};
use super::index::ServerIndex;
use super::state::{Caller, Job, JobPhase};
use crate::scoring::Cause;
use crate::server::JobIndex;

/// Shortest time limit of a call of the next tier, even if its caller has no time left.
const MIN_CALL_TIME: Micros = 1_000;

impl World<'_> {
    /// Executes a planned change of a server: jobs have received their service, or the server has choked or recovered.
    pub(super) fn server_step(&mut self, server: ServerIndex, plan_version: u32) {
        let record = &mut self.servers[server];
        if record.plan_version != plan_version {
            return;
        }
        record.advance(self.now);
        while let Some(job) = self.servers[server].pop_finished() {
            self.segment_finished(server, job);
        }
        self.plan_next_change(server);
    }

    /// Makes the next call of a job whose segment is done, or ends the job if no call is left.
    fn segment_finished(&mut self, server: ServerIndex, job: JobIndex) {
        self.account_segment(server, job);
        let record = &mut self.jobs[job];
        if record.calls_left == 0 {
            return self.finish_job(job, Outcome::Ok);
        }
        record.calls_left -= 1;
        record.phase = JobPhase::Calling;
        record.since = self.now;
        self.call_next_tier(server, job);
    }

    /// Counts the work of a finished segment. Charges as much of the elapsed time as the work needs to the work, and
    /// the rest to the condition of the server.
    fn account_segment(&mut self, server: ServerIndex, job: JobIndex) {
        let cause = self.server_cause(server, Cause::Queueing);
        let record = &mut self.jobs[job];
        let Job { segment, since, arrival, .. } = *record;
        record.useful += segment;
        self.metrics.work += segment;
        let server_record = &mut self.servers[server];
        server_record.pending_work = (server_record.pending_work - segment).max(0.0);
        let tier = server_record.tier;
        self.tier_count(arrival, tier).work += segment;
        let elapsed = self.now - since;
        let work_time = elapsed.min(segment as Micros);
        let arrival = &mut self.arrivals[arrival];
        arrival.charge(Cause::Work, None, work_time);
        arrival.charge(cause, Some(server), elapsed - work_time);
    }

    /// Sends a job's call to the next tier through the server's own balancer.
    fn call_next_tier(&mut self, server: ServerIndex, job: JobIndex) {
        let sidecar = self.sidecars[server];
        let Some(process) = sidecar.filter(|process| self.processes[*process].alive) else {
            return self.finish_job(job, Outcome::Error);
        };
        let Job { attempt, arrival, .. } = self.jobs[job];
        let attempt = &self.attempts[attempt];
        let class = self.requests[attempt.request].class;
        let time_left = if self.scenario.passes_deadline {
            (attempt.sent + attempt.limit).saturating_sub(self.now).max(MIN_CALL_TIME)
        } else {
            self.scenario.classes[class].deadline.0
        };
        let deadline = self.now + time_left;
        let request = self.new_request(process, Caller::Job(job), arrival, class, deadline);
        self.jobs[job].call = Some(request);
        self.schedule_after(0, WorldEvent::Message { process, message: Message::Request(request) });
    }

    /// Continues a job whose call of the next tier has succeeded, or fails the job if the call has failed.
    pub(super) fn nested_call_ended(&mut self, job: JobIndex, ok: bool, useful: f64) {
        let record = &mut self.jobs[job];
        let server = record.server;
        record.call = None;
        if self.servers[server].epoch != record.epoch {
            return;
        }
        let server_record = &mut self.servers[server];
        server_record.advance(self.now);
        if ok {
            let segment = record.segment_between_calls;
            record.useful += useful;
            record.phase = JobPhase::Running;
            record.since = self.now;
            record.segment = segment;
            server_record.pending_work += segment;
            server_record.run(job, segment);
        } else {
            self.finish_job(job, Outcome::Error);
        }
        self.plan_next_change(server);
    }

    /// Ends a job with an outcome. The next queued job gets its slot.
    fn finish_job(&mut self, job: JobIndex, outcome: Outcome) {
        let Job { attempt, server, .. } = self.jobs[job];
        let vanished = self.servers[server].vanished;
        if !vanished && !self.attempts[attempt].ended {
            self.send_outcome(attempt, outcome);
        }
        let Some(next) = self.servers[server].release_slot(job) else { return };
        let cause = self.server_cause(server, Cause::Queueing);
        let record = &mut self.jobs[next];
        let waited = self.now - record.since;
        record.phase = JobPhase::Running;
        record.since = self.now;
        self.servers[server].run(next, record.segment);
        self.arrivals[record.arrival].charge(cause, Some(server), waited);
    }
}
