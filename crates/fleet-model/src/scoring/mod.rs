//! Scoring of a finished run: the utility earned, the causes of lost utility, and the rules broken.

mod arrival;
mod breach;
mod cause;
mod metrics;
mod prices;
mod request_totals;
mod result;

pub use breach::{Breach, Rule};
pub use cause::Cause;
pub use metrics::{NotificationCount, TierCount};
pub use result::{Detail, Loss, Sample, Score, Second};

pub(crate) use arrival::{Arrival, RequestEnd};
pub(crate) use metrics::Metrics;

use crate::scenario::{Goal, Scenario};
use prices::Expenses;
use request_totals::RequestTotals;

/// Smallest total utility by which a share of utility is divided.
const MIN_UTILITY: f64 = 1e-9;

/// State of the servers at the end of a scenario.
pub(crate) struct ServerOutcome {
    /// Number of servers that choked at least once.
    pub choked: usize,
    /// Number of all servers.
    pub total: usize,
    /// Number of servers that collapsed while warming up.
    pub collapsed: usize,
}

/// A run that has ended.
pub(crate) struct FinishedRun<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// All requests of clients.
    pub arrivals: &'a [Arrival],
    /// Counters of the run.
    pub metrics: Metrics,
    /// State of the servers.
    pub servers: ServerOutcome,
}

/// Result of a run with its details.
pub(crate) struct ScoredRun {
    /// The result.
    pub score: Score,
    /// The details, without samples of servers.
    pub detail: Detail,
}

impl FinishedRun<'_> {
    /// Scores the run.
    pub fn score(self) -> ScoredRun {
        let mut totals = RequestTotals::new(self.scenario);
        for arrival in self.arrivals {
            totals.record(self.scenario, arrival);
        }
        let score = self.score_of(&totals);
        let detail = totals.into_detail(self.metrics.tiers, self.metrics.notifications);
        ScoredRun { score, detail }
    }

    fn score_of(&self, totals: &RequestTotals) -> Score {
        let metrics = &self.metrics;
        let worst_window = totals.worst_window();
        let worst_class = totals.worst_class();
        let worst_tenant = totals.worst_tenant();
        let prices = Expenses::of(self, totals).points(&self.scenario.prices);
        let goal = &self.scenario.goal;
        let weighted = goal.total * totals.total.share()
            + goal.worst_window * worst_window.share
            + goal.worst_class * worst_class
            + goal.worst_tenant * worst_tenant;
        let g = weighted / total_weight(goal) - prices;
        Score {
            g,
            counted: if metrics.breach_count > 0 { 0.0 } else { g.max(0.0) },
            total: totals.total.share(),
            worst_window: worst_window.share,
            worst_window_start: worst_window.start,
            worst_class,
            worst_tenant,
            prices,
            requests: metrics.first_attempts,
            ends: totals.ends,
            attempts: metrics.attempts,
            client_retries: metrics.client_retries,
            wasted_share: metrics.wasted_share(),
            choked: self.servers.choked,
            collapsed: self.servers.collapsed,
            breach_count: metrics.breach_count,
            events: metrics.events,
            breaches: metrics.breaches.clone(),
        }
    }
}

fn total_weight(goal: &Goal) -> f64 {
    goal.total + goal.worst_window + goal.worst_class + goal.worst_tenant
}
