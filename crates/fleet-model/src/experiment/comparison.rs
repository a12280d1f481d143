//! Paired comparison of two experiments.

use std::collections::BTreeMap;

use rand::RngExt;
use rayon::prelude::*;
use serde::Serialize;

use super::{Row, ScenarioKey};
use crate::random::{self, Purpose};

/// Number of resamples of a bootstrap interval.
const RESAMPLES: u64 = 10_000;
/// Seed of the resamples. It is fixed, so that equal values have equal intervals.
const RESAMPLE_SEED: u64 = 0;
/// Quantile of the lower end of a 95% interval.
const LOWER_QUANTILE: f64 = 0.025;
/// Quantile of the upper end of a 95% interval.
const UPPER_QUANTILE: f64 = 0.975;
/// Results whose difference is at most this count as equal.
const EQUALITY_TOLERANCE: f64 = 1e-9;

/// A mean with its 95% confidence interval by the bootstrap.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Number of values.
    pub count: usize,
    /// Mean of the values.
    pub mean: f64,
    /// Lower end of the bootstrap interval. Negative infinity for fewer than two values.
    pub low: f64,
    /// Upper end of the bootstrap interval. Infinity for fewer than two values.
    pub high: f64,
}

impl Estimate {
    /// Estimates the mean of these values. Equal values have equal intervals.
    pub fn of(values: &[f64]) -> Estimate {
        let count = values.len();
        let mean = values.iter().sum::<f64>() / count.max(1) as f64;
        if count < 2 {
            return Estimate { count, mean, low: f64::NEG_INFINITY, high: f64::INFINITY };
        }
        let mut means: Vec<f64> =
            (0..RESAMPLES).into_par_iter().map(|resample| mean_of_resample(values, resample)).collect();
        means.sort_by(f64::total_cmp);
        let quantile = |level: f64| means[((means.len() - 1) as f64 * level).round() as usize];
        Estimate { count, mean, low: quantile(LOWER_QUANTILE), high: quantile(UPPER_QUANTILE) }
    }
}

/// Draws a resample of the same size from the values, with replacement, and returns its mean.
fn mean_of_resample(values: &[f64], resample: u64) -> f64 {
    let count = values.len();
    let mut rng = random::stream(RESAMPLE_SEED, Purpose::Process, resample);
    (0..count).map(|_| values[rng.random_range(0..count)]).sum::<f64>() / count as f64
}

/// Reason why two lists of rows cannot be compared.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ComparisonError {
    /// A list has rows of one scenario for several policies or labels.
    #[error("{list} list has rows for scenario {scenario} more than once; select one policy and one label")]
    Repeated {
        /// Which of the two lists.
        list: &'static str,
        /// Kind, seed and size of the scenario.
        scenario: String,
    },
    /// No scenario is in both lists.
    #[error("the two lists of rows have no scenario in common")]
    NothingInCommon,
}

/// Results of one scenario in both lists.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pair {
    /// Kind of the scenario.
    pub kind: String,
    /// Name of the size of the fleet.
    pub size: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Result in the first list.
    pub a: f64,
    /// Result in the second list.
    pub b: f64,
}

impl Pair {
    fn difference(&self) -> f64 {
        self.b - self.a
    }
}

/// Differences between the results of two lists, B minus A, by scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Results of the scenarios that are in both lists.
    pub pairs: Vec<Pair>,
    /// Number of rows whose scenario is in only one list.
    pub unpaired: usize,
    /// Mean difference over all scenarios.
    pub all: Estimate,
    /// Mean difference of each kind.
    pub kinds: BTreeMap<String, Estimate>,
    /// Share of the scenarios in which B is better.
    pub better: f64,
    /// Share of the scenarios in which B is worse.
    pub worse: f64,
}

impl Comparison {
    /// Pairs rows by kind, size and seed, and compares their values.
    ///
    /// # Errors
    ///
    /// A list has a scenario twice, or the lists have no scenario in common.
    pub fn of(a: &[Row], b: &[Row], value: impl Fn(&Row) -> f64) -> Result<Comparison, ComparisonError> {
        let first = rows_by_scenario(a, "the first")?;
        let second = rows_by_scenario(b, "the second")?;
        let mut pairs = Vec::new();
        for (key, row) in &first {
            if let Some(other) = second.get(key) {
                pairs.push(Pair {
                    kind: key.kind.to_owned(),
                    size: key.size.to_owned(),
                    seed: key.seed,
                    a: value(row),
                    b: value(other),
                });
            }
        }
        if pairs.is_empty() {
            return Err(ComparisonError::NothingInCommon);
        }
        let unpaired = first.len() + second.len() - 2 * pairs.len();
        Ok(Comparison::of_pairs(pairs, unpaired))
    }

    fn of_pairs(pairs: Vec<Pair>, unpaired: usize) -> Comparison {
        let differences: Vec<f64> = pairs.iter().map(Pair::difference).collect();
        let mut by_kind: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        for pair in &pairs {
            by_kind.entry(pair.kind.clone()).or_default().push(pair.difference());
        }
        let share_of = |condition: fn(f64) -> bool| {
            differences.iter().filter(|difference| condition(**difference)).count() as f64
                / differences.len() as f64
        };
        Comparison {
            unpaired,
            all: Estimate::of(&differences),
            kinds: by_kind.into_iter().map(|(kind, values)| (kind, Estimate::of(&values))).collect(),
            better: share_of(|difference| difference > EQUALITY_TOLERANCE),
            worse: share_of(|difference| difference < -EQUALITY_TOLERANCE),
            pairs,
        }
    }

    /// Returns the `count` scenarios whose results differ most, the largest difference first.
    pub fn largest_differences(&self, count: usize) -> Vec<&Pair> {
        let mut pairs: Vec<&Pair> = self.pairs.iter().collect();
        pairs.sort_by(|one, other| other.difference().abs().total_cmp(&one.difference().abs()));
        pairs.truncate(count);
        pairs
    }
}

/// Returns the rows of a list by scenario.
fn rows_by_scenario<'a>(
    rows: &'a [Row],
    list: &'static str,
) -> Result<BTreeMap<ScenarioKey<'a>, &'a Row>, ComparisonError> {
    let mut by_scenario = BTreeMap::new();
    for row in rows {
        if by_scenario.insert(row.scenario_key(), row).is_some() {
            let scenario = format!("{} {} {}", row.kind, row.seed, row.size);
            return Err(ComparisonError::Repeated { list, scenario });
        }
    }
    Ok(by_scenario)
}
