//! Points that the prices subtract from a result.

use super::request_totals::RequestTotals;
use super::{Arrival, FinishedRun, MIN_UTILITY};
use crate::scenario::{Prices, Scenario};

/// A quantity of a run, and the base that it is divided by, such as the number of requests.
struct Quantity {
    amount: f64,
    base: f64,
}

impl Quantity {
    /// Returns the cost at a price per unit. Stored results fix the order of the operations: dividing first would
    /// round differently.
    fn cost(&self, price: f64) -> f64 {
        price * self.amount / self.base
    }
}

/// The quantities of a run that have a price.
pub(super) struct Expenses {
    /// Work that contributed to no answer, as a share of the work that the requests need; at most 1.
    wasted_share: f64,
    /// Attempts to another zone, for each first attempt of a client.
    cross_zone: Quantity,
    /// Health checks, for each first attempt of a client.
    health_checks: Quantity,
    /// New connections, for each first attempt of a client.
    handshakes: Quantity,
    /// Utility offered by requests that failed after the latency objective, for each unit of utility offered.
    late_failures: Quantity,
    /// Servers that choked, for each server.
    choked: Quantity,
}

impl Expenses {
    /// Determines the quantities of a run.
    pub fn of(run: &FinishedRun<'_>, totals: &RequestTotals) -> Expenses {
        let metrics = &run.metrics;
        let requests = metrics.first_attempts.max(1) as f64;
        let per_request = |count: u64| Quantity { amount: count as f64, base: requests };
        let needed_work = needed_work(run.scenario, run.arrivals);
        let offered = totals.total.offered.max(MIN_UTILITY);
        let servers = run.servers.total.max(1) as f64;
        Expenses {
            wasted_share: (metrics.wasted_work() / needed_work).min(1.0),
            cross_zone: per_request(metrics.cross_zone_attempts),
            health_checks: per_request(metrics.health_checks),
            handshakes: per_request(metrics.handshakes),
            late_failures: Quantity { amount: totals.failed_late, base: offered },
            choked: Quantity { amount: run.servers.choked as f64, base: servers },
        }
    }

    /// Returns the points that these prices subtract.
    pub fn points(&self, prices: &Prices) -> f64 {
        prices.waste * self.wasted_share
            + self.cross_zone.cost(prices.cross_zone)
            + self.health_checks.cost(prices.health_check)
            + self.handshakes.cost(prices.handshake)
            + self.late_failures.cost(prices.late_fail)
            + self.choked.cost(prices.choke)
    }
}

/// Returns the work of all tiers that the requests need, in microseconds, and at least 1.
fn needed_work(scenario: &Scenario, arrivals: &[Arrival]) -> f64 {
    let work_factor = work_of_all_tiers(scenario);
    arrivals.iter().map(|arrival| arrival.work * work_factor).sum::<f64>().max(1.0)
}

/// Returns the work of all tiers for a request, as a multiple of the work of the request.
fn work_of_all_tiers(scenario: &Scenario) -> f64 {
    let mut calls = 1.0;
    let work_of_tiers = scenario.tiers.iter().map(|tier| {
        let work = calls * tier.work;
        calls *= tier.calls;
        work
    });
    work_of_tiers.sum()
}
