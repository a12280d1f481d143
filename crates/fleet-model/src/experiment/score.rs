//! Scores of the decision module, relative to bounds that follow from the results of other policies.

use std::collections::BTreeMap;

use super::{Row, ScenarioKey};
use crate::policy::Kind;

/// Smallest distance between the lower and the upper bound of a scenario.
const MIN_BOUND_DISTANCE: f64 = 0.3;
/// Largest distance between the lower and the upper bound of a scenario.
const MAX_BOUND_DISTANCE: f64 = 0.45;

/// Score of the decision module in a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScenarioScore<'a> {
    /// Kind of the scenario.
    pub kind: &'a str,
    /// Seed of the scenario.
    pub seed: u64,
    /// Position of the module's result between the lower bound (0) and the upper bound (1). 0 if the module broke a
    /// rule.
    pub score: f64,
}

/// Results of one scenario by policy.
type RowsByPolicy<'a> = BTreeMap<&'a str, &'a Row>;

/// Scores the decision module in each scenario that was also run with random choice and full knowledge.
///
/// The upper bound is the best result of any policy. The lower bound is the result of random choice, but at least
/// `MIN_BOUND_DISTANCE` and at most `MAX_BOUND_DISTANCE` below the upper bound.
pub fn scores(rows: &[Row]) -> Vec<ScenarioScore<'_>> {
    let mut scenarios: BTreeMap<ScenarioKey<'_>, RowsByPolicy<'_>> = BTreeMap::new();
    for row in rows {
        scenarios.entry(row.scenario_key()).or_default().insert(&row.policy, row);
    }
    let mut scores = Vec::new();
    for (key, rows) in &scenarios {
        if let Some(score) = score(rows) {
            scores.push(ScenarioScore { kind: key.kind, seed: key.seed, score });
        }
    }
    scores
}

/// Returns the score of a scenario. `None` if it was not run with a policy that the score needs.
fn score(rows: &RowsByPolicy<'_>) -> Option<f64> {
    let module = rows.get(Kind::Module.name())?;
    let random = rows.get(Kind::Random.name())?;
    rows.get(Kind::Oracle.name())?;
    let upper = rows.values().map(|row| row.g).fold(f64::NEG_INFINITY, f64::max);
    let lower = random.g.clamp(upper - MAX_BOUND_DISTANCE, upper - MIN_BOUND_DISTANCE);
    let score = if module.broken > 0 { 0.0 } else { (module.g - lower) / (upper - lower) };
    Some(score.clamp(0.0, 1.0))
}
