//! Utility by second, class and tenant, and the losses, summed over the requests of a scenario.

use std::collections::BTreeMap;

use zincstand_policy::Micros;

use super::arrival::{Arrival, RequestEnd};
use super::{Cause, Detail, Loss, MIN_UTILITY, NotificationCount, Second, TierCount};
use crate::scenario::{Class, Scenario};

/// Microseconds in a second.
const MICROS_PER_SECOND: Micros = 1_000_000;
/// Length of the window that [`Score::worst_window`](super::Score::worst_window) rates, in seconds.
const WORST_WINDOW_SECONDS: usize = 10;

/// Utility that a set of requests offered, and the part of it that was earned.
#[derive(Clone, Copy, Default)]
pub(super) struct Utility {
    /// Utility earned by responses.
    pub earned: f64,
    /// Utility that responses within the latency objective would have earned.
    pub offered: f64,
}

impl Utility {
    fn add(&mut self, other: Utility) {
        self.earned += other.earned;
        self.offered += other.offered;
    }

    /// Returns the share of utility that was earned, and 1 if none was offered.
    pub fn share(self) -> f64 {
        if self.offered > 0.0 { self.earned / self.offered } else { 1.0 }
    }
}

/// The consecutive seconds with the smallest share of utility.
pub(super) struct WorstWindow {
    /// First second of the window.
    pub start: usize,
    /// Share of utility in the window.
    pub share: f64,
}

/// Category in which a request is counted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    OnTime,
    Late,
    Rejected,
    Failed,
}

impl Outcome {
    fn of(arrival: &Arrival, class: &Class) -> Outcome {
        match arrival.end {
            RequestEnd::Served(time) if time <= arrival.at + class.latency_objective.0 => Outcome::OnTime,
            RequestEnd::Served(_) => Outcome::Late,
            RequestEnd::Rejected(_) => Outcome::Rejected,
            RequestEnd::Failed(_) | RequestEnd::Open => Outcome::Failed,
        }
    }
}

impl Second {
    fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::OnTime => self.served += 1,
            Outcome::Late => self.late += 1,
            Outcome::Rejected => self.rejected += 1,
            Outcome::Failed => self.failed += 1,
        }
    }
}

/// Key by which losses are summed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LossKey {
    cause: Cause,
    server: Option<u32>,
    second: usize,
}

/// Sums over all recorded requests.
pub(super) struct RequestTotals {
    /// Utility of all requests.
    pub total: Utility,
    /// Utility offered by requests that failed or were rejected after their latency objective.
    pub failed_late: f64,
    /// Ends of all requests.
    pub ends: Second,
    ends_by_second: Vec<Second>,
    by_second: Vec<Utility>,
    by_class: Vec<Utility>,
    by_tenant: Vec<Utility>,
    served_work: Vec<f64>,
    losses: BTreeMap<LossKey, f64>,
}

impl RequestTotals {
    /// Creates the sums of no requests.
    pub fn new(scenario: &Scenario) -> RequestTotals {
        let seconds = (scenario.length.secs().ceil() as usize).max(1);
        RequestTotals {
            total: Utility::default(),
            failed_late: 0.0,
            ends: Second::default(),
            ends_by_second: vec![Second::default(); seconds],
            by_second: vec![Utility::default(); seconds],
            by_class: vec![Utility::default(); scenario.classes.len()],
            by_tenant: vec![Utility::default(); scenario.tenants.len()],
            served_work: vec![0.0; seconds],
            losses: BTreeMap::new(),
        }
    }

    /// Adds a request to all sums.
    pub fn record(&mut self, scenario: &Scenario, arrival: &Arrival) {
        let class = &scenario.classes[arrival.class];
        let second = ((arrival.at / MICROS_PER_SECOND) as usize).min(self.by_second.len() - 1);
        let outcome = Outcome::of(arrival, class);
        self.ends.count(outcome);
        self.ends_by_second[second].count(outcome);
        if matches!(arrival.end, RequestEnd::Served(_)) {
            self.served_work[second] += arrival.work;
        }
        let utility = utility_of(scenario, class, arrival);
        self.total.add(utility);
        self.by_second[second].add(utility);
        self.by_class[arrival.class].add(utility);
        if let Some(tenant) = arrival.tenant.filter(|_| arrival.within_quota) {
            self.by_tenant[tenant].add(utility);
        }
        if let RequestEnd::Rejected(time) | RequestEnd::Failed(time) = arrival.end
            && time > arrival.at + class.latency_objective.0
        {
            self.failed_late += utility.offered;
        }
        if utility.earned < utility.offered {
            self.record_loss(arrival, second, utility.offered - utility.earned);
        }
    }

    fn record_loss(&mut self, arrival: &Arrival, second: usize, lost: f64) {
        let cause = arrival.main_cause();
        let server = arrival.worst_server().filter(|_| cause != Cause::Rejected);
        *self.losses.entry(LossKey { cause, server, second }).or_default() += lost;
    }

    /// Returns the window with the smallest share of utility, and the first one if several are equal.
    pub fn worst_window(&self) -> WorstWindow {
        let length = WORST_WINDOW_SECONDS.min(self.by_second.len());
        let shares = self.by_second.windows(length).enumerate().map(|(start, window)| {
            let mut sum = Utility::default();
            for utility in window {
                sum.add(*utility);
            }
            WorstWindow { start, share: sum.share() }
        });
        shares
            .min_by(|one, other| one.share.total_cmp(&other.share))
            .unwrap_or(WorstWindow { start: 0, share: 1.0 })
    }

    /// Returns the share of utility of the worst-served class.
    pub fn worst_class(&self) -> f64 {
        smallest_share(&self.by_class)
    }

    /// Returns the share of utility of the worst-served tenant, of its requests within the quota.
    pub fn worst_tenant(&self) -> f64 {
        smallest_share(&self.by_tenant)
    }

    /// Converts the sums into details of the result, without samples of servers.
    pub fn into_detail(self, tiers: Vec<Vec<TierCount>>, discovery: Vec<NotificationCount>) -> Detail {
        let offered = self.total.offered.max(MIN_UTILITY);
        let to_loss = |(key, lost): (LossKey, f64)| Loss {
            cause: key.cause,
            server: key.server,
            second: key.second,
            utility: lost / offered,
        };
        let mut losses: Vec<Loss> = self.losses.into_iter().map(to_loss).collect();
        losses.sort_by(|one, other| other.utility.total_cmp(&one.utility));
        Detail {
            seconds: self.ends_by_second,
            losses,
            servers: Vec::new(),
            tiers,
            served_work: self.served_work,
            discovery,
        }
    }
}

fn utility_of(scenario: &Scenario, class: &Class, arrival: &Arrival) -> Utility {
    let offered =
        class.priority_weight * if arrival.within_quota { 1.0 } else { scenario.load.over_quota_weight };
    let earned = match arrival.end {
        RequestEnd::Served(time) if time <= arrival.at + class.latency_objective.0 => offered,
        RequestEnd::Served(time) if time <= arrival.at + class.deadline.0 => offered * class.late_weight,
        _ => 0.0,
    };
    Utility { earned, offered }
}

fn smallest_share(groups: &[Utility]) -> f64 {
    let groups = groups.iter().filter(|utility| utility.offered > 0.0);
    groups.map(|utility| utility.share()).min_by(f64::total_cmp).unwrap_or(1.0)
}
