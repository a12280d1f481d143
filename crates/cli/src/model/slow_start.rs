//! `zincstand model slow-start`: the traffic that servers receive from all balancers while they warm up.

use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::Args;
use indicatif::ProgressBar;
use zincstand_fleet_model::slow_start::{self, OverloadCount, Row, RuleOverrides, StartCause};

use crate::model::columns::{Column, format_table};
use crate::model::output::print;

/// Arguments of `zincstand model slow-start`.
#[derive(Args)]
pub struct SlowStartArgs {
    /// Numbers of balancers, joined by commas
    #[arg(long, value_delimiter = ',', default_values_t = [2, 8, 30, 100, 300])]
    balancers: Vec<u32>,
    /// Number of scenarios for each shape and number of balancers
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// Multiple of its capacity at which a server that is warming up collapses, instead of the value in the site's rules
    #[arg(long)]
    overload_factor: Option<f64>,
    /// Share of its capacity at which a server starts to warm up, instead of the value in the site's rules
    // `--cold-from` is the argument's former name.
    #[arg(long, alias = "cold-from")]
    initial_capacity: Option<f64>,
    /// Write the lines to this file as JSON
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Runs the scenarios, writes their lines and prints them.
///
/// # Errors
/// Fails if a scenario is invalid, or if the lines cannot be written.
pub fn run(args: &SlowStartArgs) -> Result<()> {
    let rules =
        RuleOverrides { overload_factor: args.overload_factor, initial_capacity: args.initial_capacity };
    let scenarios = args.balancers.len() as u64 * StartCause::ALL.len() as u64 * args.seeds;
    let bar = ProgressBar::new(scenarios);
    let mut lines = Vec::new();
    for cause in StartCause::ALL {
        for &balancers in &args.balancers {
            lines.push(slow_start::run(cause, balancers, args.seeds, rules, || bar.inc(1))?);
        }
    }
    bar.finish_and_clear();
    if let Some(path) = &args.out {
        let text = serde_json::to_string_pretty(&lines)?;
        std::fs::write(path, text + "\n").with_context(|| format!("cannot write {}", path.display()))?;
    }
    print(&report(&lines))
}

/// Columns of the table of shapes and numbers of balancers.
const COLUMNS: [Column<Row>; 20] = [
    Column { title: "shape", cell: |line| line.cause.name().to_owned() },
    Column { title: "balancers", cell: |line| line.balancers.to_string() },
    Column { title: "starts", cell: |line| line.starts.to_string() },
    Column { title: "excess", cell: |line| two_decimals(line.excess.mean) },
    Column { title: "p99", cell: |line| two_decimals(line.excess.p99) },
    Column { title: "max", cell: |line| two_decimals(line.excess.max) },
    Column { title: "excess, notified", cell: |line| two_decimals(line.informed_excess.mean) },
    Column { title: "p99", cell: |line| two_decimals(line.informed_excess.p99) },
    Column { title: "max", cell: |line| two_decimals(line.informed_excess.max) },
    Column { title: "excess work, notified", cell: |line| two_decimals(line.informed_excess_work.mean) },
    Column { title: "p99", cell: |line| two_decimals(line.informed_excess_work.p99) },
    Column { title: "max", cell: |line| two_decimals(line.informed_excess_work.max) },
    Column { title: "overloaded, notified", cell: |line| overloads(line.overloaded) },
    Column { title: "overloaded by work, notified", cell: |line| overloads(line.overloaded_by_work) },
    Column { title: "share at 0-20%", cell: |line| share_of_fifth(line, 0) },
    Column { title: "40-60%", cell: |line| share_of_fifth(line, 2) },
    Column { title: "80-100%", cell: |line| share_of_fifth(line, 4) },
    Column { title: "recovery, warm-ups", cell: |line| format!("{:.1}", line.warm_up.warm_up_times) },
    Column { title: "recovery, s", cell: |line| format!("{:.1}", line.warm_up.seconds) },
    Column { title: "G", cell: |line| format!("{:.3}", line.score) },
];

/// Formats the table of the lines with an explanation of its columns.
fn report(lines: &[Row]) -> String {
    format!(
        "{}\n(excess: requests, or work in multiples of its mean, beyond the budget of N requests in the worst \
         time window of the most loaded server that is warming up, in multiples of the square root of N; \
         notified: mostly from balancers that were notified of the start; recovery: time until the server receives \
         nine tenths of its traffic after the warm-up, in multiples of the warm-up time and in seconds)",
        format_table(&COLUMNS, 1, lines)
    )
}

/// Formats a value with two decimals.
fn two_decimals(value: f64) -> String {
    format!("{value:.2}")
}

/// Formats the number of overloaded servers, and of those whose load came mostly from notified balancers.
fn overloads(count: OverloadCount) -> String {
    format!("{}, {}", count.total, count.informed)
}

/// Formats the mean traffic during a fifth of the warm-up, counted from 0, as a multiple of an even share.
fn share_of_fifth(line: &Row, fifth: usize) -> String {
    let first_tenth = 2 * fifth;
    two_decimals(f64::midpoint(line.traffic_shares[first_tenth], line.traffic_shares[first_tenth + 1]))
}
