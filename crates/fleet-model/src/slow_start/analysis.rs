//! Work that the warming servers of one scenario received, compared with the budget that the rules allow.
//!
//! The keys of the JSON result are fixed by stored results: fields whose names differ carry theirs in
//! `#[serde(rename)]`.

use serde::{Deserialize, Serialize};

use super::scenario::mean_work;
use super::{BINS, BINS_PER_WARM_UP, OverloadCount};
use crate::policy::Kind;
use crate::scenario::{Scenario, ScenarioError};
use crate::world::{ArrivalAtServer, RecordedRun, ServerStart, run_recorded};

/// Balancers that had been notified of the start count as the cause of an overload if more than this share of the
/// requests, or of the work, came from them.
const INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Requests beyond a budget of N that are attributed to chance, in square roots of N, in addition to
/// [`CHANCE_REQUESTS`].
const CHANCE_ROOTS: f64 = 2.0;
/// Requests beyond a budget that are attributed to chance, whatever the budget.
const CHANCE_REQUESTS: f64 = 2.0;

/// Work that the warming servers of one scenario received.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Number of starts of servers.
    pub starts: usize,
    /// Requests beyond the budget N at the most overloaded server in its worst window, in square roots of N.
    pub excess: f64,
    /// `excess` over the windows in which more than two thirds of the requests came from balancers notified of the
    /// start.
    #[serde(rename = "excess_told")]
    pub informed_excess: f64,
    /// `excess` in work, in multiples of the mean work, over the windows in which more than two thirds of the work
    /// came from balancers notified of the start.
    #[serde(rename = "excess_work")]
    pub informed_excess_work: f64,
    /// Servers overloaded by count of requests.
    #[serde(rename = "fallen")]
    pub overloaded: OverloadCount,
    /// Servers overloaded by work.
    #[serde(rename = "fallen_work")]
    pub overloaded_by_work: OverloadCount,
    /// Mean traffic of a server by tenths of the warm-up time, as a multiple of an even share.
    #[serde(rename = "share")]
    pub traffic_shares: Vec<f64>,
    /// Warm-up time of the settings, in seconds.
    #[serde(rename = "warm_after")]
    pub warm_up_time: f64,
    /// Score of the scenario.
    #[serde(rename = "g")]
    pub score: f64,
}

/// Requests that a server received within the time window of the overload rule.
struct Window<'a> {
    arrivals: &'a [&'a ArrivalAtServer],
    /// Work in the window, in requests of mean work.
    work: f64,
    /// Work that the settings permit, in requests of mean work.
    budget: f64,
}

/// Senders of most of the work of the first overload of a server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OverloadedBy {
    /// Balancers that had been notified of the start.
    Informed,
    /// Balancers that had not been notified.
    Others,
}

impl OverloadedBy {
    fn new(informed: bool) -> OverloadedBy {
        if informed { OverloadedBy::Informed } else { OverloadedBy::Others }
    }
}

impl OverloadCount {
    fn add(&mut self, overload: Option<OverloadedBy>) {
        self.total += usize::from(overload.is_some());
        self.informed += usize::from(overload == Some(OverloadedBy::Informed));
    }
}

/// Runs a scenario and measures the work that its warming servers receive. No server collapses, so that the
/// measurement is complete.
///
/// # Errors
///
/// The scenario contradicts itself.
pub fn measure(scenario: &Scenario, kind: Kind) -> Result<Measurement, ScenarioError> {
    let RecordedRun { run, recording } = run_recorded(scenario, kind)?;
    let total_share: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let analysis = Analysis {
        scenario,
        starts: recording.starts.len(),
        mean_work: mean_work(&scenario.classes, scenario.seed) * 1e6 / total_share,
    };
    let mut measurement = Measurement {
        starts: recording.starts.len(),
        excess: f64::NEG_INFINITY,
        informed_excess: f64::NEG_INFINITY,
        informed_excess_work: f64::NEG_INFINITY,
        traffic_shares: vec![0.0; BINS],
        warm_up_time: scenario.tiers[0].warm_up_time.secs(),
        score: run.result.g,
        ..Measurement::default()
    };
    for start in &recording.starts {
        let of_start =
            |arrival: &&ArrivalAtServer| (arrival.server, arrival.started) == (start.server, start.at);
        let arrivals: Vec<&ArrivalAtServer> = recording.arrivals.iter().filter(of_start).collect();
        analysis.add_traffic_shares(start, &arrivals, &mut measurement.traffic_shares);
        analysis.add_windows(start, &arrivals, &mut measurement);
    }
    Ok(measurement)
}

/// A scenario, with values that are the same for all its servers.
struct Analysis<'a> {
    scenario: &'a Scenario,
    /// Number of starts of servers.
    starts: usize,
    /// Mean work of a request, in microseconds.
    mean_work: f64,
}

impl Analysis<'_> {
    /// Adds the requests of a server to the mean traffic by tenths of the warm-up time.
    fn add_traffic_shares(&self, start: &ServerStart, arrivals: &[&ArrivalAtServer], shares: &mut [f64]) {
        let tier = &self.scenario.tiers[0];
        let bin_length = tier.warm_up_time.0 as f64 / BINS_PER_WARM_UP;
        let servers = f64::from(tier.servers.iter().sum::<u32>());
        let even_share = self.scenario.load.rate / servers / 1e6;
        for arrival in arrivals {
            let index = ((arrival.at - start.at) as f64 / bin_length) as usize;
            if let Some(share) = shares.get_mut(index) {
                *share += 1.0 / (bin_length * even_share * self.starts as f64);
            }
        }
    }

    /// Measures the windows that end with the requests that a server receives while it warms up.
    fn add_windows(&self, start: &ServerStart, arrivals: &[&ArrivalAtServer], measurement: &mut Measurement) {
        let span = self.scenario.rules.overload_window.0;
        let warm_at = start.at + self.scenario.tiers[0].warm_up_time.0;
        let mut overload = None;
        let mut overload_by_work = None;
        let mut first = 0;
        let mut work = 0.0;
        for (last, arrival) in arrivals.iter().enumerate().take_while(|(_, arrival)| arrival.at < warm_at) {
            work += arrival.work / self.mean_work;
            while arrivals[first].at + span <= arrival.at {
                work -= arrivals[first].work / self.mean_work;
                first += 1;
            }
            let budget = self.budget(start, arrival);
            let window = Window { arrivals: &arrivals[first..=last], work, budget };
            self.add_window(&window, measurement, &mut overload, &mut overload_by_work);
        }
        measurement.overloaded.add(overload);
        measurement.overloaded_by_work.add(overload_by_work);
    }

    /// Returns the work that the settings permit in the window that ends with a request, in requests of mean work.
    fn budget(&self, start: &ServerStart, arrival: &ArrivalAtServer) -> f64 {
        let tier = &self.scenario.tiers[0];
        let age = (arrival.at - start.at) as f64 / tier.warm_up_time.0 as f64;
        let share = tier.initial_capacity + (1.0 - tier.initial_capacity) * age;
        let rules = &self.scenario.rules;
        let span = rules.overload_window.0 as f64;
        rules.overload_factor * share * start.full_capacity * span / self.mean_work
    }

    fn add_window(
        &self,
        window: &Window<'_>,
        measurement: &mut Measurement,
        overload: &mut Option<OverloadedBy>,
        overload_by_work: &mut Option<OverloadedBy>,
    ) {
        let count = window.arrivals.len() as f64;
        let informed = window.arrivals.iter().filter(|arrival| arrival.informed);
        let informed_count = informed.clone().count() as f64;
        let informed_work: f64 = informed.map(|arrival| arrival.work / self.mean_work).sum();
        let mostly_informed = informed_count > INFORMED_SHARE * count;
        let mostly_informed_work = informed_work > INFORMED_SHARE * window.work;
        let budget_root = window.budget.sqrt();
        let excess = (count - window.budget) / budget_root;
        measurement.excess = measurement.excess.max(excess);
        if mostly_informed {
            measurement.informed_excess = measurement.informed_excess.max(excess);
        }
        if mostly_informed_work {
            let excess_work = (window.work - window.budget) / budget_root;
            measurement.informed_excess_work = measurement.informed_excess_work.max(excess_work);
        }
        let limit = window.budget + CHANCE_ROOTS * budget_root + CHANCE_REQUESTS;
        if count > limit {
            overload.get_or_insert(OverloadedBy::new(mostly_informed));
        }
        if window.work > limit {
            overload_by_work.get_or_insert(OverloadedBy::new(mostly_informed_work));
        }
    }
}
