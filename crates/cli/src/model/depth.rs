//! `zincstand model depth`: attempts, goodput and wasted work by the number of tiers that a call passes.

use std::path::PathBuf;

use anyhow::{Result, bail};
use clap::Args;
use zincstand_fleet_model::depth::{self, ConditionFits, DepthResult, Fit, Mean, Parameters, Row};

use crate::model::columns::{Column, format_table};
use crate::model::output::print;
use crate::model::provenance::Measured;

/// Minimum number of depths: the slopes of the two halves are compared, and each half needs two points.
const MIN_DEPTHS: usize = 4;
/// Minimum number of tiers of a depth.
const MIN_TIERS: usize = 2;
/// Maximum number of scenarios for each depth and condition.
const MAX_SEEDS: u64 = 100;

/// Arguments of `zincstand model depth`.
#[derive(Args)]
pub struct DepthArgs {
    /// Depths in tiers, joined by commas: at least four depths, of 2 to 32 tiers
    #[arg(long, value_delimiter = ',', default_values_t = [2, 4, 8, 16, 30])]
    pub tiers: Vec<usize>,
    /// First seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Scenarios for each depth and condition, from which the intervals are computed [default: 3, quick: 2]
    #[arg(long)]
    pub seeds: Option<u64>,
    /// Run shorter scenarios and fewer seeds
    #[arg(long)]
    pub quick: bool,
    /// Write the complete result to this file as JSON, with machine, revision and seed
    #[arg(long)]
    pub out: Option<PathBuf>,
}

/// Runs the depths, writes the result and prints it.
///
/// # Errors
/// Fails if the depths are too few or too small, if a scenario is invalid, or if the result cannot be written.
pub fn run(args: &DepthArgs) -> Result<()> {
    let parameters = parameters(args)?;
    let scenarios = (parameters.tiers.len() * parameters.conditions.len()) as u64 * parameters.seeds;
    let measured = Measured::run(scenarios, |bar| depth::run(args.seed, &parameters, || bar.inc(1)))?;
    if let Some(path) = &args.out {
        measured.write(path, "depth")?;
    }
    print(&report(&measured.result))?;
    let provenance = &measured.provenance;
    eprintln!("{scenarios} scenarios in {:.1} s, {} MB", provenance.seconds, provenance.peak_memory_mb());
    Ok(())
}

/// Returns the parameters to run, from the arguments and the defaults of the model.
fn parameters(args: &DepthArgs) -> Result<Parameters> {
    let mut tiers = args.tiers.clone();
    tiers.sort_unstable();
    tiers.dedup();
    if tiers.len() < MIN_DEPTHS || tiers[0] < MIN_TIERS {
        bail!("--tiers must have at least four different depths, each of at least two tiers");
    }
    let defaults = if args.quick { Parameters::quick() } else { Parameters::default() };
    let seeds = args.seeds.unwrap_or(defaults.seeds).clamp(1, MAX_SEEDS);
    Ok(Parameters { tiers, seeds, ..defaults })
}

/// Columns of the table of conditions and depths.
const ROW_COLUMNS: [Column<Row>; 12] = [
    Column { title: "condition", cell: |row| row.condition.name().to_owned() },
    Column { title: "tiers", cell: |row| row.tiers.to_string() },
    Column { title: "calls", cell: |row| row.calls.to_string() },
    Column { title: "goodput", cell: |row| with_interval(row.goodput) },
    Column { title: "answered", cell: |row| with_interval(row.answered) },
    Column { title: "attempts in the last tier", cell: |row| with_interval(row.last_tier_attempts) },
    Column { title: "max in a tier", cell: |row| format!("{:.3}", largest(&row.amplification)) },
    Column { title: "time left in the last tier", cell: |row| or_zero(row.time_left.last()) },
    Column { title: "wasted work", cell: |row| with_interval(row.waste) },
    Column { title: "wasted in the first tier", cell: |row| or_zero(row.waste_by_tier.first()) },
    Column { title: "wasted in the last tier", cell: |row| or_zero(row.waste_by_tier.last()) },
    Column { title: "rules broken", cell: |row| row.broken.to_string() },
];

/// Columns of the table of slopes over the depths.
const SLOPE_COLUMNS: [Column<ConditionFits>; 7] = [
    Column { title: "condition", cell: |fits| fits.condition.name().to_owned() },
    Column {
        title: "ln(attempts in the last tier) per tier",
        cell: |fits| format!("{:.5}", fits.amplification.slope),
    },
    Column { title: "intercept", cell: |fits| format!("{:.4}", fits.amplification.intercept) },
    Column { title: "r2", cell: |fits| format!("{:.3}", fits.amplification.r2) },
    Column { title: "lower, upper half", cell: |fits| half_slopes(&fits.amplification) },
    Column { title: "goodput per tier", cell: |fits| format!("{:.5}", fits.goodput.slope) },
    Column { title: "r2", cell: |fits| format!("{:.3}", fits.goodput.r2) },
];

/// Formats the tables of rows and slopes, and the values by tier of the largest depth.
fn report(result: &DepthResult) -> String {
    let rows = format_table(&ROW_COLUMNS, 1, &result.rows);
    let slopes = format_table(&SLOPE_COLUMNS, 1, &result.fits);
    let mut by_tier = String::new();
    for row in result.rows.iter().filter(|row| Some(&row.tiers) == result.parameters.tiers.last()) {
        by_tier.push_str(&tier_lines(row));
    }
    format!(
        "{rows}\n\n{slopes}\n{by_tier}\n(means over {} seeds, ± half of the 95% interval; \
         {} servers per tier, each 45% busy, {} calls per second to each balancer; latency objective 50 ms and \
         deadline 100 ms per tier, or 400 ms and 800 ms in total where fixed)",
        result.parameters.seeds,
        depth::SERVERS_PER_TIER,
        depth::RATE_PER_BALANCER
    )
}

/// Formats the values of each tier of a depth.
fn tier_lines(row: &Row) -> String {
    format!(
        "\n{}, {} tiers, first to last:\n  attempts per request  {}\n  \
         time left             {}\n  wasted work           {}",
        row.condition.name(),
        row.tiers,
        join_values(&row.amplification),
        join_values(&row.time_left),
        join_values(&row.waste_by_tier)
    )
}

/// Formats values with two decimals, separated by spaces.
fn join_values(values: &[f64]) -> String {
    let values: Vec<String> = values.iter().map(|value| format!("{value:.2}")).collect();
    values.join(" ")
}

/// Returns the largest of the values, or 0 if there is none.
fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Formats a value with three decimals, or 0 if it is missing.
fn or_zero(value: Option<&f64>) -> String {
    format!("{:.3}", value.copied().unwrap_or(0.0))
}

/// Formats a mean with half of its 95% interval.
fn with_interval(mean: Mean) -> String {
    format!("{:.3} ± {:.3}", mean.mean, mean.half_width)
}

/// Formats the slopes of the lower and the upper half of the points.
fn half_slopes(fit: &Fit) -> String {
    format!("{:.5}, {:.5}", fit.lower_half_slope, fit.upper_half_slope)
}
