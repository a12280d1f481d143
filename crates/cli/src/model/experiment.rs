//! `zincstand model experiment`: runs many scenarios, writes their result rows to a file, and reads such files.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Instant;

use anyhow::{Context, Result, anyhow, bail};
use clap::Args;
use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::experiment::{self, Cell, Row};

use crate::model::arguments::{Policies, parse_policies, parse_seeds};
use crate::model::experiment_table::experiment_table;
use crate::model::output::{print, progress_bar};

/// Arguments of `zincstand model experiment`.
#[derive(Args)]
pub struct ExperimentArgs {
    /// Kinds of scenarios, joined by commas
    #[arg(long, value_delimiter = ',', default_values = catalog::STANDARD)]
    kinds: Vec<String>,
    /// Seeds of each kind: the last seed of a range from 1, or a range such as 101-300
    #[arg(long, default_value = "50", value_parser = parse_seeds)]
    seeds: RangeInclusive<u64>,
    /// Size of the fleet: small, site, vast or huge
    #[arg(long, default_value = "site")]
    size: Size,
    /// Policies joined by commas, or all
    #[arg(long, default_value = "all", value_parser = parse_policies)]
    policies: Policies,
    /// Label of the rows, such as a revision or the name of a variation
    #[arg(long, default_value = "here")]
    label: String,
    /// Write the rows to this file; without it only the table is printed
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Runs the scenarios on all cores, writes their rows and prints a summary.
///
/// # Errors
/// Fails if a kind does not exist, if a scenario is invalid, or if the rows cannot be written.
pub fn run(args: &ExperimentArgs) -> Result<()> {
    let cells = cells(args)?;
    // The file is opened before the scenarios run: otherwise a bad path would discard the results of the experiment.
    let output = args.out.as_deref().map(create_file).transpose()?;
    let bar = progress_bar(cells.len() as u64);
    let started = Instant::now();
    let rows = experiment::run(&args.label, &cells, || bar.inc(1))?;
    bar.finish_and_clear();
    if let Some(file) = output {
        write_rows(file, &rows).context("cannot write the rows of the experiment")?;
    }
    print(&experiment_table(&rows))?;
    eprintln!("{} scenarios in {:.1} s", rows.len(), started.elapsed().as_secs_f64());
    Ok(())
}

/// Returns the cells of the experiment: every combination of kind, seed and policy.
fn cells(args: &ExperimentArgs) -> Result<Vec<Cell>> {
    let mut cells = Vec::new();
    for kind in &args.kinds {
        // An unknown kind must be rejected before any scenario runs.
        catalog::generate(kind, 0, Size::Small)?;
        for seed in args.seeds.clone() {
            for &policy in &args.policies.0 {
                cells.push(Cell { kind: kind.clone(), seed, size: args.size, policy });
            }
        }
    }
    Ok(cells)
}

/// Creates the file for the rows.
fn create_file(path: &Path) -> Result<File> {
    File::create(path).with_context(|| format!("cannot write {}", path.display()))
}

/// Writes one JSON line for each row.
fn write_rows(file: File, rows: &[Row]) -> Result<()> {
    let mut file = BufWriter::new(file);
    for row in rows {
        serde_json::to_writer(&mut file, row)?;
        file.write_all(b"\n")?;
    }
    file.flush()?;
    Ok(())
}

/// Reads the rows from the file of an experiment.
///
/// # Errors
/// Fails if the file cannot be read or has no rows, or if a line is not a row; the message has the line number.
pub fn read_rows(path: &Path) -> Result<Vec<Row>> {
    let cannot_read = || format!("cannot read {}", path.display());
    let file = File::open(path).with_context(cannot_read)?;
    let mut rows = Vec::new();
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let line = line.with_context(cannot_read)?;
        if line.trim().is_empty() {
            continue;
        }
        let line_number = index + 1;
        let row = serde_json::from_str(&line).map_err(|error| {
            anyhow!("{}, line {line_number}: not a row of an experiment: {error}", path.display())
        })?;
        rows.push(row);
    }
    if rows.is_empty() {
        bail!("{} has no rows; `zincstand model experiment --out FILE` writes them", path.display());
    }
    Ok(rows)
}

/// Reads the rows of one policy from the file of an experiment.
///
/// # Errors
/// Fails like [`read_rows`], or if the policy has no rows.
pub fn read_rows_of_policy(path: &Path, policy: &str) -> Result<Vec<Row>> {
    let mut rows = read_rows(path)?;
    rows.retain(|row| row.policy == policy);
    if rows.is_empty() {
        bail!("{} has no rows of the policy {policy:?}", path.display());
    }
    Ok(rows)
}
