//! `zincstand model failures`: goodput and discovery traffic of a fleet that loses a rack, a zone or a region.

use std::path::PathBuf;

use anyhow::{Result, bail};
use clap::Args;
use zincstand_fleet_model::depth::Fit;
use zincstand_fleet_model::failures::{self, Cost, FailuresResult, Parameters, Row};

use crate::model::columns::{Column, format_table};
use crate::model::output::print;
use crate::model::provenance::Measured;

/// Numbers of servers that each balancer knows in the scenarios that measure the cost of an event.
const KNOWN_SERVER_COUNTS: [u32; 5] = [10, 34, 200, 600, 2_000];
/// Largest of these numbers that `--quick` runs.
const MAX_KNOWN_SERVERS_IF_QUICK: u32 = 600;
/// Maximum number of servers. Memory grows with its square: each server has a balancer that knows all servers.
const MAX_SERVERS: u32 = 4_000;
/// Valid rates, in calls per second to each balancer. The design plans for the upper bound.
const VALID_CALLS_PER_S: std::ops::RangeInclusive<f64> = 0.5..=225.0;
/// Minimum run time as a divisor, in seconds: it prevents a division by zero.
const MIN_RUN_TIME_S: f64 = 1e-9;

/// Arguments of `zincstand model failures`.
#[derive(Args)]
pub struct FailuresArgs {
    /// Number of servers, and of balancers [default: 2000, quick: 200]
    #[arg(long, value_parser = clap::value_parser!(u32).range(28..=i64::from(MAX_SERVERS)))]
    pub servers: Option<u32>,
    /// Calls per second to each balancer. The work of a call grows as the rate falls below the planned 225
    #[arg(long)]
    pub rate: Option<f64>,
    /// Seed of the scenarios
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Run a tenth of the fleet, and measure the cost of an event at the smaller sizes only
    #[arg(long)]
    pub quick: bool,
    /// Write the complete result to this file as JSON, with machine, revision and seed
    #[arg(long)]
    pub out: Option<PathBuf>,
}

/// Runs the scenarios of failures, writes the result and prints it.
///
/// # Errors
/// Fails if the rate is out of range, if a scenario is invalid, or if the result cannot be written.
pub fn run(args: &FailuresArgs) -> Result<()> {
    let parameters = parameters(args)?;
    let known_servers = known_server_counts(args.quick);
    let scenarios = (known_servers.len() + parameters.failures.len()) as u64;
    let measured =
        Measured::run(scenarios, |bar| failures::run(args.seed, &parameters, &known_servers, || bar.inc(1)))?;
    if let Some(path) = &args.out {
        measured.write(path, "failures")?;
    }
    print(&report(&measured.result))?;
    let provenance = &measured.provenance;
    eprintln!("{:.1} s, {} MB", provenance.seconds, provenance.peak_memory_mb());
    Ok(())
}

/// Returns the parameters to run, from the arguments and the defaults of the model.
fn parameters(args: &FailuresArgs) -> Result<Parameters> {
    let defaults = if args.quick { Parameters::quick() } else { Parameters::default() };
    let rate = args.rate.unwrap_or(defaults.rate);
    if !VALID_CALLS_PER_S.contains(&rate) {
        bail!(
            "--rate must be between {} and {} calls per second, but it is {rate}",
            VALID_CALLS_PER_S.start(),
            VALID_CALLS_PER_S.end()
        );
    }
    Ok(Parameters { servers: args.servers.unwrap_or(defaults.servers), rate, ..defaults })
}

/// Returns the numbers of servers at which the cost of an event is measured.
fn known_server_counts(quick: bool) -> Vec<u32> {
    let mut counts = KNOWN_SERVER_COUNTS.to_vec();
    if quick {
        counts.retain(|servers| *servers <= MAX_KNOWN_SERVERS_IF_QUICK);
    }
    counts
}

/// Columns of the table of failures.
const ROW_COLUMNS: [Column<Row>; 15] = [
    Column { title: "failure", cell: |row| row.failure.name().to_owned() },
    Column { title: "servers", cell: |row| row.servers.to_string() },
    Column { title: "calls", cell: |row| row.calls.to_string() },
    Column { title: "goodput before", cell: |row| format!("{:.3}", row.goodput_before) },
    Column { title: "lowest goodput", cell: |row| format!("{:.3}", row.lowest_goodput) },
    Column { title: "at", cell: |row| format!("{} s", row.lowest_at) },
    Column { title: "s to 90%", cell: |row| recovery_time(row.recovered) },
    Column { title: "s to 90% after its end", cell: |row| recovery_time(row.recovered_after_end) },
    Column { title: "collapsed", cell: |row| row.collapsed.to_string() },
    Column { title: "rules broken", cell: |row| format!("{} {:?}", row.broken, row.broken_rules) },
    Column { title: "discovery messages, busiest second", cell: |row| row.messages.to_string() },
    Column { title: "entries", cell: |row| row.entries.to_string() },
    Column { title: "KB", cell: |row| (row.bytes / 1_000).to_string() },
    Column { title: "run time, s", cell: |row| format!("{:.1}", row.seconds) },
    Column { title: "module's share", cell: |row| format!("{:.0}%", module_percent(row)) },
];

/// Columns of the table of costs by the number of servers that each balancer knows.
const COST_COLUMNS: [Column<Cost>; 5] = [
    Column { title: "servers known", cell: |cost| cost.servers.to_string() },
    Column { title: "events", cell: |cost| cost.events.to_string() },
    Column { title: "world, ns per event", cell: |cost| format!("{:.0}", cost.world_ns) },
    Column { title: "module, ns per call", cell: |cost| format!("{:.0}", cost.module_ns) },
    Column { title: "module's share", cell: |cost| format!("{:.0}%", 100.0 * cost.module_share) },
];

/// Formats the tables of failures and costs, and the lines that were fitted to the costs.
fn report(result: &FailuresResult) -> String {
    format!(
        "{}\n\n{}\nmodule: {}\nworld: {}\n\
         ({:.0} times fewer calls than planned, each with {:.0} times the planned work)",
        format_table(&ROW_COLUMNS, 1, &result.rows),
        format_table(&COST_COLUMNS, 0, &result.costs),
        fit_line(&result.module_time),
        fit_line(&result.world_time),
        result.work_factor,
        result.work_factor
    )
}

/// Returns the percentage of the run time that the decision module took.
fn module_percent(row: &Row) -> f64 {
    100.0 * row.module_seconds / row.seconds.max(MIN_RUN_TIME_S)
}

/// Formats the time until recovery, in seconds.
fn recovery_time(seconds: Option<f64>) -> String {
    seconds.map_or("never".to_owned(), |seconds| format!("{seconds:.0}"))
}

/// Formats a line that was fitted to nanoseconds by the number of servers.
fn fit_line(fit: &Fit) -> String {
    format!(
        "{:.2} ns per server, intercept {:.0}, r2 {:.3}, halves {:.2} and {:.2}",
        fit.slope, fit.intercept, fit.r2, fit.lower_half_slope, fit.upper_half_slope
    )
}
