//! Call chains of many tiers: how many attempts a client's request causes in each tier, and how much goodput, time and
//! work is lost.
//!
//! The keys of the JSON result are fixed by stored results: fields whose names differ carry theirs in
//! `#[serde(rename)]`.

mod fit;
mod measure;
mod scenario;

use rayon::prelude::*;
use serde::{Deserialize, Serialize};

use self::measure::{Measurement, measure};
use crate::scenario::ScenarioError;

pub use self::fit::{Fit, Mean, Point};
pub use self::scenario::{RATE_PER_BALANCER, SERVERS_PER_TIER, build_scenario};

/// Smallest amplification whose logarithm is taken. It stands for zero if the last tier received no attempt.
const MIN_AMPLIFICATION: f64 = 1e-9;

/// Condition of the last tier, which lasts for the whole scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DepthCondition {
    /// No fault.
    Healthy,
    /// No fault. Every depth has the same deadline.
    FixedDeadline,
    /// No fault. The work of a call varies little.
    EvenWork,
    /// One server in twenty fails one request in five, so that one request in a hundred fails.
    OnePercent,
    /// One server in twenty fails every request.
    FivePercent,
    /// Every server fails one request in five.
    TwentyPercent,
    /// Every server takes 1.8 times as long, which makes it 81% busy instead of 45%.
    Slow,
}

impl DepthCondition {
    /// All conditions, in the order of tables.
    pub const ALL: [DepthCondition; 7] = [
        DepthCondition::Healthy,
        DepthCondition::FixedDeadline,
        DepthCondition::EvenWork,
        DepthCondition::OnePercent,
        DepthCondition::FivePercent,
        DepthCondition::TwentyPercent,
        DepthCondition::Slow,
    ];

    /// Returns the condition's name in tables.
    pub fn name(self) -> &'static str {
        match self {
            DepthCondition::Healthy => "healthy",
            DepthCondition::FixedDeadline => "healthy, deadline fixed",
            DepthCondition::EvenWork => "healthy, even work",
            DepthCondition::OnePercent => "1% fail in the last",
            DepthCondition::FivePercent => "5% of the last fail",
            DepthCondition::TwentyPercent => "20% fail in the last",
            DepthCondition::Slow => "the last is slow",
        }
    }
}

/// Depths, conditions and seeds that [`run`] combines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Parameters {
    /// Depths, in tiers.
    pub tiers: Vec<usize>,
    /// Conditions of the last tier.
    #[serde(rename = "troubles")]
    pub conditions: Vec<DepthCondition>,
    /// Number of scenarios for each depth and condition. Their seeds count up from the first one.
    pub seeds: u64,
    /// Length of a scenario in seconds. Its first two seconds are not measured.
    pub seconds: f64,
}

impl Default for Parameters {
    fn default() -> Parameters {
        Parameters {
            tiers: vec![2, 4, 8, 16, 30],
            conditions: DepthCondition::ALL.to_vec(),
            seeds: 3,
            seconds: 4.5,
        }
    }
}

impl Parameters {
    /// Returns parameters of a run of about a minute: two seeds and shorter scenarios.
    pub fn quick() -> Parameters {
        Parameters { seeds: 2, seconds: 3.0, ..Parameters::default() }
    }
}

/// Measured values of one depth and condition over all seeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Condition of the last tier.
    #[serde(rename = "trouble")]
    pub condition: DepthCondition,
    /// Number of tiers.
    pub tiers: usize,
    /// First attempts of clients that were measured, summed over the seeds.
    pub calls: u64,
    /// Share of the calls that were answered within the latency objective.
    pub goodput: Mean,
    /// Share of the calls that were answered within the deadline.
    pub answered: Mean,
    /// Attempts in the last tier for each call.
    #[serde(rename = "bottom")]
    pub last_tier_attempts: Mean,
    /// By tier, attempts for each request that reached the tier.
    pub amplification: Vec<f64>,
    /// By tier, requests that reached the tier for each call.
    pub requests: Vec<f64>,
    /// By tier, mean share of the deadline that was left when a request reached the tier.
    pub time_left: Vec<f64>,
    /// By tier, share of the tier's work that contributed to no client's answer.
    #[serde(rename = "wasted")]
    pub waste_by_tier: Vec<f64>,
    /// Share of the work of all tiers that contributed to no client's answer.
    pub waste: Mean,
    /// Number of rules broken, summed over the seeds.
    pub broken: u64,
}

/// Lines through the values of one condition, by the number of tiers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConditionFits {
    /// Condition of the last tier.
    #[serde(rename = "trouble")]
    pub condition: DepthCondition,
    /// Line through the natural logarithm of the attempts in the last tier for each call.
    pub amplification: Fit,
    /// Line through the goodput.
    pub goodput: Fit,
    /// Line through the share of work that contributed to no client's answer.
    pub waste: Fit,
}

/// Result of [`run`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DepthResult {
    /// The first seed.
    pub seed: u64,
    /// Parameters of the run.
    #[serde(rename = "sizes")]
    pub parameters: Parameters,
    /// One row for each condition and depth, ordered by condition and then by depth.
    pub rows: Vec<Row>,
    /// One entry for each condition.
    #[serde(rename = "slopes")]
    pub fits: Vec<ConditionFits>,
}

/// Depth, condition and seed of a scenario to run.
struct Cell {
    condition: DepthCondition,
    tiers: usize,
    seed: u64,
}

impl Cell {
    fn run(&self, seconds: f64) -> Result<MeasuredCell, ScenarioError> {
        let scenario = build_scenario(self.tiers, self.condition, self.seed, seconds);
        let measurement = measure(&scenario)?;
        Ok(MeasuredCell { condition: self.condition, tiers: self.tiers, measurement })
    }
}

/// A scenario that has been run, and its measurement.
struct MeasuredCell {
    condition: DepthCondition,
    tiers: usize,
    measurement: Measurement,
}

/// Runs every combination of depth, condition and seed on all cores. Calls `done` after each scenario.
///
/// # Errors
///
/// The parameters require a scenario that cannot be run.
pub fn run(seed: u64, parameters: &Parameters, done: impl Fn() + Sync) -> Result<DepthResult, ScenarioError> {
    let run_cell = |cell: Cell| {
        let measured = cell.run(parameters.seconds)?;
        done();
        Ok(measured)
    };
    let mut measured: Vec<MeasuredCell> = cells(seed, parameters)
        .into_par_iter()
        .with_max_len(1)
        .map(run_cell)
        .collect::<Result<_, ScenarioError>>()?;
    measured.sort_by_key(|cell| (cell.condition, cell.tiers));
    let in_same_row = |one: &MeasuredCell, other: &MeasuredCell| {
        one.condition == other.condition && one.tiers == other.tiers
    };
    let rows: Vec<Row> = measured.chunk_by(in_same_row).map(row).collect();
    let fits = rows.chunk_by(|one, other| one.condition == other.condition).map(fit_condition).collect();
    Ok(DepthResult { seed, parameters: parameters.clone(), rows, fits })
}

/// Returns all cells, those with the most tiers first. They take longest, and if they started last, other threads would
/// be idle meanwhile.
fn cells(first_seed: u64, parameters: &Parameters) -> Vec<Cell> {
    let mut cells = Vec::new();
    for &condition in &parameters.conditions {
        for &tiers in &parameters.tiers {
            for offset in 0..parameters.seeds {
                cells.push(Cell { condition, tiers, seed: first_seed + offset });
            }
        }
    }
    cells.sort_by_key(|cell| std::cmp::Reverse(cell.tiers));
    cells
}

/// Summarizes the measurements of all seeds of one depth and condition.
fn row(cells: &[MeasuredCell]) -> Row {
    let tiers = cells[0].tiers;
    let measurements: Vec<&Measurement> = cells.iter().map(|cell| &cell.measurement).collect();
    let mean = |value: &dyn Fn(&Measurement) -> f64| {
        let values: Vec<f64> = measurements.iter().map(|measurement| value(measurement)).collect();
        Mean::of(&values)
    };
    let mean_by_tier = |value: &dyn Fn(&Measurement, usize) -> f64| -> Vec<f64> {
        let of_tier = |tier: usize| {
            let sum = measurements.iter().map(|measurement| value(measurement, tier)).sum::<f64>();
            sum / measurements.len() as f64
        };
        (0..tiers).map(of_tier).collect()
    };
    Row {
        condition: cells[0].condition,
        tiers,
        calls: measurements.iter().map(|measurement| measurement.calls as u64).sum(),
        goodput: mean(&Measurement::goodput),
        answered: mean(&Measurement::answered_share),
        last_tier_attempts: mean(&Measurement::attempts_in_last_tier),
        amplification: mean_by_tier(&Measurement::amplification),
        requests: mean_by_tier(&Measurement::requests_per_call),
        time_left: mean_by_tier(&Measurement::time_left),
        waste_by_tier: mean_by_tier(&Measurement::wasted_share_in_tier),
        waste: mean(&Measurement::wasted_share),
        broken: measurements.iter().map(|measurement| measurement.broken).sum(),
    }
}

/// Fits the lines of one condition through its rows.
fn fit_condition(rows: &[Row]) -> ConditionFits {
    let fit = |value: &dyn Fn(&Row) -> f64| {
        let points: Vec<Point> =
            rows.iter().map(|row| Point { x: row.tiers as f64, y: value(row) }).collect();
        Fit::of(&points)
    };
    ConditionFits {
        condition: rows[0].condition,
        amplification: fit(&|row| row.last_tier_attempts.mean.max(MIN_AMPLIFICATION).ln()),
        goodput: fit(&|row| row.goodput.mean),
        waste: fit(&|row| row.waste.mean),
    }
}
