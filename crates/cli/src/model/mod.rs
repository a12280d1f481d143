//! `zincstand model`: days of the fleet in virtual time, experiments, comparisons, reports.

mod arguments;
mod compare;
mod depth;
mod experiment;
mod explain;
mod failures;
pub mod fleet_size;
pub mod output;
mod plots;
mod provenance;
mod ramp;
mod report;
mod run;
mod source;
pub mod tables;

use anyhow::Result;
use clap::Subcommand;

use crate::model::output::print;
use crate::model::source::DrawnDay;

/// The commands of the model.
#[derive(Subcommand)]
pub enum Command {
    /// List the parts that kinds of days are joined from, the sizes and the policies
    Kinds,
    /// Print a day as a file that `run` plays
    #[command(after_help = "Example: zincstand model day --kind hand+deploy --seed 5 > day.toml")]
    Day(DrawnDay),
    /// Play one day and print what it was worth
    #[command(
        after_help = "Examples:\n  zincstand model run day.toml\n  zincstand model run --kind silent --seed 3 \
                            --policy random"
    )]
    Run(run::Run),
    /// Play many days with many policies on all cores, one JSON line a day
    #[command(
        after_help = "Examples:\n  zincstand model experiment --out base.jsonl\n  zincstand model experiment \
                            --kinds silent,hand+deploy --seeds 1-200 --policies module --label no-window --out \
                            no-window.jsonl"
    )]
    Experiment(experiment::Experiment),
    /// Compare two experiments day by day
    #[command(
        after_help = "Examples:\n  zincstand model compare base.jsonl new.jsonl\n  zincstand model compare \
                            base.jsonl base.jsonl --policy-a random --policy-b module"
    )]
    Compare(compare::Compare),
    /// Tell what cold servers get from all balancers together, and when they are back
    #[command(after_help = "Example: zincstand model ramp --balancers 2,30 --seeds 50")]
    Ramp(ramp::Ramp),
    /// Tell where a day's worth went: by cause, server and second
    Explain(explain::Explain),
    /// Write one HTML page with plots of a day and of experiments
    #[command(after_help = "Example: zincstand model report --kind upgrade+hand --seed 34 --out day.html")]
    Report(report::Report),
    /// Tell what one first call becomes at the bottom of 2 to 30 tiers
    Depth(depth::DepthArgs),
    /// Tell what the loss of a zone, a rack or a region costs a fleet of 2,000
    Failures(failures::FailuresArgs),
}

/// Executes a command.
///
/// # Errors
/// Whatever keeps the command from its result; the message names the file or argument at fault.
pub fn run(command: Command) -> Result<()> {
    match command {
        Command::Kinds => print(&tables::kinds()),
        Command::Day(drawn) => print(&drawn.draw()?.text()?),
        Command::Run(args) => run::run(&args),
        Command::Experiment(args) => experiment::run(&args),
        Command::Compare(args) => compare::run(&args),
        Command::Ramp(args) => ramp::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Report(args) => report::run(&args),
        Command::Depth(args) => depth::run(&args),
        Command::Failures(args) => failures::run(&args),
    }
}
