//! Experiments: many scenarios run in parallel, and paired comparisons of two experiments.
//!
//! Files of rows written by earlier versions are compared with new ones, so the keys of [`Row`] are fixed: fields whose
//! names differ carry their key in `#[serde(rename)]`.

mod comparison;
mod score;

use rayon::prelude::*;
use serde::{Deserialize, Serialize};

use crate::catalog::{self, Size};
use crate::policy::Kind;
use crate::scenario::{Scenario, ScenarioError};
use crate::scoring::Score;
use crate::world::run_scenario;

pub use self::comparison::{Comparison, ComparisonError, Estimate, Pair};
pub use self::score::{ScenarioScore, scores};

/// A scenario to run, and the policy to run it with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Kind of the scenario.
    pub kind: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Size of the fleet.
    pub size: Size,
    /// The policy.
    pub policy: Kind,
}

impl Cell {
    /// Draws the scenario of the cell.
    ///
    /// # Errors
    ///
    /// The catalog has no such kind.
    pub fn scenario(&self) -> Result<Scenario, ScenarioError> {
        catalog::generate(&self.kind, self.seed, self.size)
    }
}

/// Result of a cell, which is a line of an experiment's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Label of the experiment, such as a revision or a variation.
    pub label: String,
    /// Kind of the scenario.
    pub kind: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Name of the size of the fleet.
    pub size: String,
    /// Name of the policy.
    pub policy: String,
    /// The result, whether or not rules were broken.
    pub g: f64,
    /// The result that counts: `g`, or zero if a rule was broken or `g` is negative.
    pub counted: f64,
    /// Share of utility over the scenario.
    #[serde(rename = "whole")]
    pub total: f64,
    /// Share of utility of the worst ten seconds.
    pub worst_window: f64,
    /// Share of utility of the worst-served class.
    pub worst_class: f64,
    /// Share of utility of the worst-served tenant.
    pub worst_tenant: f64,
    /// Points subtracted by prices.
    pub prices: f64,
    /// Share of the work that contributed to no answer.
    pub waste: f64,
    /// Number of first attempts of clients.
    pub requests: u64,
    /// Number of attempts of all balancers.
    pub attempts: u64,
    /// Number of servers that choked at least once.
    pub choked: usize,
    /// Number of servers that collapsed while warming up.
    #[serde(rename = "fallen")]
    pub collapsed: usize,
    /// Number of broken rules.
    pub broken: u64,
}

impl Row {
    fn new(label: &str, cell: &Cell, score: &Score) -> Row {
        Row {
            label: label.to_owned(),
            kind: cell.kind.clone(),
            seed: cell.seed,
            size: cell.size.name().to_owned(),
            policy: cell.policy.name().to_owned(),
            g: score.g,
            counted: score.counted,
            total: score.total,
            worst_window: score.worst_window,
            worst_class: score.worst_class,
            worst_tenant: score.worst_tenant,
            prices: score.prices,
            waste: score.wasted_share,
            requests: score.requests,
            attempts: score.attempts,
            choked: score.choked,
            collapsed: score.collapsed,
            broken: score.breach_count,
        }
    }

    /// Returns the key of the row's scenario.
    fn scenario_key(&self) -> ScenarioKey<'_> {
        ScenarioKey { kind: &self.kind, size: &self.size, seed: self.seed }
    }
}

/// Kind, size and seed, which identify a scenario of the catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScenarioKey<'a> {
    kind: &'a str,
    size: &'a str,
    seed: u64,
}

/// Runs all cells on all cores and returns their rows in the order of the cells. Calls `done` after each cell.
///
/// # Errors
///
/// The catalog has no such kind, or a scenario cannot be run.
pub fn run(label: &str, cells: &[Cell], done: impl Fn() + Sync) -> Result<Vec<Row>, ScenarioError> {
    let row = |cell: &Cell| {
        let run = run_scenario(&cell.scenario()?, cell.policy, false)?;
        done();
        Ok(Row::new(label, cell, &run.result))
    };
    // One cell at a time balances the load: the duration of a scenario is not known in advance.
    cells.par_iter().with_max_len(1).map(row).collect()
}

#[cfg(test)]
mod tests;
