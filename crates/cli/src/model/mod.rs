//! `zincstand model`: commands that run scenarios of a fleet in virtual time, and compare and report their results.

mod arguments;
pub mod columns;
mod compare;
mod depth;
mod experiment;
mod experiment_table;
mod explain;
mod failures;
pub mod fleet_size;
pub mod output;
mod plots;
mod provenance;
mod report;
mod run;
mod slow_start;
mod source;
mod tables;

use anyhow::Result;
use clap::Subcommand;

use crate::model::output::print;
use crate::model::source::DrawnScenario;

/// Commands of `zincstand model`.
#[derive(Subcommand)]
pub enum Command {
    /// List the parts of kinds of scenarios, the sizes and the policies
    Kinds,
    /// Print a scenario as a scenario file, which `run` reads
    // `day` is the command's former name, which scripts and documentation still use.
    #[command(
        alias = "day",
        after_help = "Example: zincstand model scenario --kind hand+deploy --seed 5 > scenario.toml"
    )]
    Scenario(DrawnScenario),
    /// Run one scenario and print its score
    #[command(
        after_help = "Examples:\n  zincstand model run scenario.toml\n  zincstand model run --kind silent --seed 3 \
                            --policy random"
    )]
    Run(run::RunArgs),
    /// Run many scenarios with many policies on all cores, and write one JSON line per scenario and policy
    #[command(
        after_help = "Examples:\n  zincstand model experiment --out base.jsonl\n  zincstand model experiment \
                            --kinds silent,hand+deploy --seeds 1-200 --policies module --label no-window --out \
                            no-window.jsonl"
    )]
    Experiment(experiment::ExperimentArgs),
    /// Compare two experiments scenario by scenario
    #[command(
        after_help = "Examples:\n  zincstand model compare base.jsonl new.jsonl\n  zincstand model compare \
                            base.jsonl base.jsonl --policy-a random --policy-b module"
    )]
    Compare(compare::CompareArgs),
    /// Measure the traffic from all balancers to servers that are warming up, and the time until it has recovered
    // `ramp` is the command's former name, which scripts and documentation still use.
    #[command(alias = "ramp", after_help = "Example: zincstand model slow-start --balancers 2,30 --seeds 50")]
    SlowStart(slow_start::SlowStartArgs),
    /// Print the utility that a scenario lost, by cause, server and second
    Explain(explain::ExplainArgs),
    /// Write one HTML page with plots of a scenario and of experiments
    #[command(
        after_help = "Example: zincstand model report --kind upgrade+hand --seed 34 --out scenario.html"
    )]
    Report(report::ReportArgs),
    /// Measure attempts, goodput and wasted work by the number of tiers that a call passes
    Depth(depth::DepthArgs),
    /// Measure goodput and discovery traffic of a fleet that loses a rack, a zone or a region
    Failures(failures::FailuresArgs),
}

/// Runs a command.
///
/// # Errors
/// Fails if the command cannot complete; the message names the file or argument at fault.
pub fn run(command: Command) -> Result<()> {
    match command {
        Command::Kinds => print(&tables::kinds()),
        Command::Scenario(drawn) => print(&drawn.draw()?.text()?),
        Command::Run(args) => run::run(&args),
        Command::Experiment(args) => experiment::run(&args),
        Command::Compare(args) => compare::run(&args),
        Command::SlowStart(args) => slow_start::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Report(args) => report::run(&args),
        Command::Depth(args) => depth::run(&args),
        Command::Failures(args) => failures::run(&args),
    }
}
