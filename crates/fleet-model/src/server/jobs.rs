//! Jobs of a server. They occupy slots and share the cores equally, or wait in the queue for a slot.

use std::cmp::Reverse;

use zincstand_policy::Micros;

use super::Server;
use crate::table::index_type;

index_type! {
    /// Index of a job in the world's table of jobs.
    JobIndex
}

/// Remaining service below which a job counts as done, in microseconds. Without it, rounding errors could keep a job
/// running.
const SERVICE_TOLERANCE: f64 = 1e-6;

/// State of a job after its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobAdmission {
    /// It occupies a slot and runs.
    Running,
    /// It waits in the queue for a slot.
    Waiting,
}

impl Server {
    /// Whether all slots and the queue are in use.
    pub fn is_full(&self) -> bool {
        self.jobs.len() >= self.properties.slots + self.properties.queue_capacity
    }

    /// Returns the number of jobs that occupy a slot or wait for one.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs that run or wait for a slot. Jobs whose call of the next tier is in flight are not
    /// counted.
    pub(super) fn running_or_waiting(&self) -> f64 {
        (self.running.len() + self.queue.len()) as f64
    }

    /// Returns the service that each running job receives in a microsecond.
    pub(super) fn service_rate(&self, now: Micros) -> f64 {
        if self.paused || self.running.is_empty() {
            return 0.0;
        }
        let running = self.running.len() as f64;
        self.capacity(now) / self.properties.cores * (self.properties.cores / running).min(1.0)
    }

    /// Advances the jobs to `now`. Must be called before any change of the service rate.
    pub fn advance(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.advanced_to) as f64;
        if elapsed > 0.0 && !self.running.is_empty() {
            let running = self.running.len() as f64;
            // The capacity of a warming server grows in between, but planned changes are so frequent that the rate at
            // the beginning is close enough.
            let service = self.service_rate(self.advanced_to) * elapsed;
            self.virtual_service += service;
            if self.started.is_some() {
                self.work_since_start += service * running;
            }
            if !self.paused {
                self.busy_time += elapsed * (running / self.properties.cores).min(1.0);
            }
        }
        self.advanced_to = now;
    }

    /// Admits a job, which runs immediately if a slot is free.
    pub fn admit(&mut self, job: JobIndex, work: f64) -> JobAdmission {
        self.jobs.insert(job);
        self.pending_work += work;
        if self.slots_in_use < self.properties.slots {
            self.slots_in_use += 1;
            self.run(job, work);
            return JobAdmission::Running;
        }
        self.queue.push_back(job);
        JobAdmission::Waiting
    }

    /// Runs a job that occupies a slot.
    pub fn run(&mut self, job: JobIndex, work: f64) {
        if self.running.is_empty() {
            self.virtual_service = 0.0;
        }
        self.running.push(Reverse(((self.virtual_service + work).to_bits(), job)));
    }

    /// Spends work that belongs to no job. It delays the running jobs equally, less the part that idle cores do.
    pub fn spend(&mut self, work: f64) {
        self.virtual_service =
            (self.virtual_service - work / (self.running.len() as f64).max(self.properties.cores)).max(0.0);
    }

    /// Removes and returns the next job that has received its service.
    pub fn pop_finished(&mut self) -> Option<JobIndex> {
        let Reverse((done_at, _)) = *self.running.peek()?;
        if f64::from_bits(done_at) > self.virtual_service + SERVICE_TOLERANCE {
            return None;
        }
        self.running.pop().map(|Reverse((_, job))| job)
    }

    /// Removes a job that occupied a slot and returns the queued job that gets the slot, if any.
    pub fn release_slot(&mut self, job: JobIndex) -> Option<JobIndex> {
        self.jobs.remove(&job);
        self.slots_in_use -= 1;
        let next = self.queue.pop_front()?;
        self.slots_in_use += 1;
        Some(next)
    }
}
