//! Table of an experiment: mean results and scores by kind of scenario.

use std::collections::BTreeMap;

use zincstand_fleet_model::experiment::{Row, scores};

use crate::model::columns::new_table;

/// Policy whose results are scored.
const SCORED_POLICY: &str = "module";
/// Name of the table's last line, which covers all kinds.
const ALL_KINDS: &str = "all";
/// Scores below this value are counted as low.
const LOW_SCORE: f64 = 0.5;
/// Text of a cell that has no value.
const NO_VALUE: &str = "-";

/// Rows and scores of one line of the table: those of one kind, or of all kinds.
#[derive(Default)]
struct Line<'a> {
    /// Rows by the name of their policy.
    rows: BTreeMap<&'a str, Vec<&'a Row>>,
    /// Scores of [`SCORED_POLICY`].
    scores: Vec<f64>,
}

/// Formats the mean results by kind and policy, and the scores of [`SCORED_POLICY`] by kind.
pub fn experiment_table(rows: &[Row]) -> String {
    let mut lines: BTreeMap<&str, Line<'_>> = BTreeMap::new();
    let mut all = Line::default();
    for row in rows {
        lines.entry(&row.kind).or_default().rows.entry(&row.policy).or_default().push(row);
        all.rows.entry(&row.policy).or_default().push(row);
    }
    for score in scores(rows) {
        lines.entry(score.kind).or_default().scores.push(score.score);
        all.scores.push(score.score);
    }

    let policies = policies_in_order(rows);
    let mut header = vec!["kind", "scenarios"];
    header.extend(&policies);
    header.extend(["score", "worst third", "under 0.5", "rules broken"]);
    let mut table = new_table(&header, 1);
    for (kind, line) in lines {
        table.add_row(line.cells(kind, &policies));
    }
    table.add_row(all.cells(ALL_KINDS, &policies));
    format!(
        "{table}\n(mean G by policy; the module's score is its position between the scenario's lower and upper bound)"
    )
}

/// Returns the policies in the order of their first row.
fn policies_in_order(rows: &[Row]) -> Vec<&str> {
    let mut policies: Vec<&str> = Vec::new();
    for row in rows {
        if !policies.contains(&row.policy.as_str()) {
            policies.push(&row.policy);
        }
    }
    policies
}

impl Line<'_> {
    /// Formats the cells of the line; `policies` are the columns of mean results.
    fn cells(mut self, name: &str, policies: &[&str]) -> Vec<String> {
        let scenarios = self.rows.values().map(Vec::len).max().unwrap_or(0);
        let mut cells = vec![name.to_owned(), scenarios.to_string()];
        for policy in policies {
            let mean = self.rows.get(policy).map(|rows| format!("{:.3}", mean_result(rows)));
            cells.push(mean.unwrap_or(NO_VALUE.to_owned()));
        }
        self.scores.sort_by(f64::total_cmp);
        cells.extend(score_cells(&self.scores));
        let scored = self.rows.get(SCORED_POLICY).map_or(&[][..], Vec::as_slice);
        let scenarios_with_breach = scored.iter().filter(|row| row.broken > 0).count();
        cells.push(scenarios_with_breach.to_string());
        cells
    }
}

/// Formats the mean score, the mean of the worst third, and the number of low scores; `scores` is sorted.
fn score_cells(scores: &[f64]) -> [String; 3] {
    if scores.is_empty() {
        return [NO_VALUE; 3].map(str::to_owned);
    }
    let worst_third = &scores[..scores.len().div_ceil(3)];
    let low_scores = scores.iter().filter(|score| **score < LOW_SCORE).count();
    [format!("{:.3}", mean(scores)), format!("{:.3}", mean(worst_third)), low_scores.to_string()]
}

/// Returns the mean of the rows' results.
fn mean_result(rows: &[&Row]) -> f64 {
    let results: Vec<f64> = rows.iter().map(|row| row.g).collect();
    mean(&results)
}

/// Returns the mean of the values, or 0 if there is none.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
