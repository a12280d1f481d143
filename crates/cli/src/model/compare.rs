//! `zincstand model compare`: the differences between two experiments, scenario by scenario.

use std::path::PathBuf;

use anyhow::{Result, anyhow};
use clap::Args;
use zincstand_fleet_model::experiment::{Comparison, Estimate, Row};

use crate::model::columns::new_table;
use crate::model::experiment::read_rows_of_policy;
use crate::model::output::print;

/// Number of scenarios in the table of the largest differences.
const LISTED_SCENARIOS: usize = 10;

/// Arguments of `zincstand model compare`.
#[derive(Args)]
pub struct CompareArgs {
    /// Rows of the baseline experiment
    #[arg(value_name = "A")]
    baseline: PathBuf,
    /// Rows of the experiment to compare with the baseline
    #[arg(value_name = "B")]
    candidate: PathBuf,
    /// Policy whose rows of A are compared
    #[arg(long, default_value = "module")]
    policy_a: String,
    /// Policy whose rows of B are compared
    #[arg(long, default_value = "module")]
    policy_b: String,
    /// Compare the counted results, which are zero for a scenario in which a rule was broken
    #[arg(long)]
    counted: bool,
    /// Print the comparison as JSON
    #[arg(long)]
    json: bool,
}

/// Reads both files, compares their rows and prints the comparison.
///
/// # Errors
/// Fails if a file has no rows of its policy, or if the rows cannot be compared.
pub fn run(args: &CompareArgs) -> Result<()> {
    let baseline = read_rows_of_policy(&args.baseline, &args.policy_a)?;
    let candidate = read_rows_of_policy(&args.candidate, &args.policy_b)?;
    let value = |row: &Row| if args.counted { row.counted } else { row.g };
    let comparison = Comparison::of(&baseline, &candidate, value).map_err(|error| anyhow!(error))?;
    if args.json {
        return print(&serde_json::to_string(&comparison)?);
    }
    print(&format_comparison(&comparison))
}

/// Formats the comparison as tables of the differences by kind and of the largest differences.
pub fn format_comparison(comparison: &Comparison) -> String {
    let unpaired = match comparison.unpaired {
        0 => String::new(),
        rows => format!("; {rows} rows are in only one of the files"),
    };
    format!(
        "{}\nbetter on {:.0}% of the scenarios, worse on {:.0}%{unpaired}\n\n{}",
        differences_table(comparison),
        comparison.better * 100.0,
        comparison.worse * 100.0,
        largest_differences_table(comparison)
    )
}

/// Formats the mean differences by kind and over all kinds.
fn differences_table(comparison: &Comparison) -> String {
    let mut table = new_table(&["kind", "scenarios", "difference", "95% interval"], 1);
    for (kind, estimate) in &comparison.kinds {
        table.add_row(estimate_cells(kind, estimate));
    }
    table.add_row(estimate_cells("all", &comparison.all));
    table.to_string()
}

/// Formats the cells of a mean difference with its interval.
fn estimate_cells(name: &str, estimate: &Estimate) -> [String; 4] {
    [
        name.to_owned(),
        estimate.count.to_string(),
        format!("{:+.4}", estimate.mean),
        format!("{:+.4} to {:+.4}", estimate.low, estimate.high),
    ]
}

/// Formats the scenarios whose results differ most.
fn largest_differences_table(comparison: &Comparison) -> String {
    let mut table = new_table(&["largest differences", "seed", "before", "after", "difference"], 1);
    for pair in comparison.largest_differences(LISTED_SCENARIOS) {
        table.add_row([
            format!("{} {}", pair.kind, pair.size),
            pair.seed.to_string(),
            format!("{:.3}", pair.a),
            format!("{:.3}", pair.b),
            format!("{:+.3}", pair.b - pair.a),
        ]);
    }
    table.to_string()
}
