//! Measurement of one scenario: calls and their answers, and the requests, attempts and work of each tier.

use crate::policy::Kind;
use crate::scenario::{Scenario, ScenarioError};
use crate::scoring::TierCount;
use crate::world::run_scenario;

/// Seconds at the beginning of a scenario that are not measured, because balancers start without learned state.
const UNMEASURED_SECONDS: usize = 2;

/// Counts of one scenario without its first seconds.
pub(super) struct Measurement {
    /// First attempts of clients.
    pub calls: f64,
    /// Calls answered within the latency objective.
    good: f64,
    /// Calls answered within the deadline.
    answered: f64,
    /// Counts of each tier.
    tiers: Vec<TierCount>,
    /// Work in one tier of the calls that were answered, in microseconds. It is the same in every tier.
    answered_work: f64,
    /// Number of rules broken.
    pub broken: u64,
}

/// Runs a scenario with the decision module and measures it.
///
/// # Errors
///
/// The scenario contradicts itself.
pub(super) fn measure(scenario: &Scenario) -> Result<Measurement, ScenarioError> {
    let run = run_scenario(scenario, Kind::Module, false)?;
    let detail = &run.detail;
    let mut calls = 0;
    let mut good = 0;
    let mut answered = 0;
    for second in detail.seconds.iter().skip(UNMEASURED_SECONDS) {
        calls += second.served + second.late + second.rejected + second.failed;
        good += second.served;
        answered += second.served + second.late;
    }
    Ok(Measurement {
        calls: f64::from(calls),
        good: f64::from(good),
        answered: f64::from(answered),
        tiers: sum_by_tier(&detail.tiers, scenario.tiers.len()),
        answered_work: detail.served_work.iter().skip(UNMEASURED_SECONDS).sum(),
        broken: run.result.breach_count,
    })
}

/// Sums the counts of the measured seconds for each tier.
fn sum_by_tier(seconds: &[Vec<TierCount>], tiers: usize) -> Vec<TierCount> {
    let mut sums = vec![TierCount::default(); tiers];
    for second in seconds.iter().skip(UNMEASURED_SECONDS) {
        for (sum, count) in sums.iter_mut().zip(second) {
            sum.requests += count.requests;
            sum.attempts += count.attempts;
            sum.time_left += count.time_left;
            sum.work += count.work;
        }
    }
    sums
}

impl Measurement {
    /// Returns the share of the calls that were answered within the latency objective.
    pub fn goodput(&self) -> f64 {
        ratio(self.good, self.calls)
    }

    /// Returns the share of the calls that were answered within the deadline.
    pub fn answered_share(&self) -> f64 {
        ratio(self.answered, self.calls)
    }

    /// Returns the attempts in the last tier for each call.
    pub fn attempts_in_last_tier(&self) -> f64 {
        let attempts = self.tiers.last().map_or(0, |count| count.attempts);
        ratio(attempts as f64, self.calls)
    }

    /// Returns the attempts of a tier for each request that reached it.
    pub fn amplification(&self, tier: usize) -> f64 {
        let count = &self.tiers[tier];
        ratio(count.attempts as f64, count.requests as f64)
    }

    /// Returns the requests that reached a tier for each call.
    pub fn requests_per_call(&self, tier: usize) -> f64 {
        ratio(self.tiers[tier].requests as f64, self.calls)
    }

    /// Returns the mean share of the deadline that was left when a request reached a tier.
    pub fn time_left(&self, tier: usize) -> f64 {
        let count = &self.tiers[tier];
        ratio(count.time_left, count.requests as f64)
    }

    /// Returns the share of a tier's work that contributed to no client's answer.
    pub fn wasted_in_tier(&self, tier: usize) -> f64 {
        let work = self.tiers[tier].work;
        ratio(work - self.answered_work, work).max(0.0)
    }

    /// Returns the share of the work of all tiers that contributed to no client's answer.
    pub fn wasted(&self) -> f64 {
        let work: f64 = self.tiers.iter().map(|count| count.work).sum();
        ratio(work - self.answered_work * self.tiers.len() as f64, work).max(0.0)
    }
}

/// Returns `part / total`, and 0 if `total` is 0.
fn ratio(part: f64, total: f64) -> f64 {
    if total > 0.0 { part / total } else { 0.0 }
}
