//! `zincstand model run`: runs one scenario with one or more policies.

use anyhow::Result;
use clap::Args;
use zincstand_fleet_model::run_scenario;

use crate::model::arguments::{Policies, parse_policies};
use crate::model::output::print;
use crate::model::source::ScenarioSource;
use crate::model::tables::{self, PolicyResult};

/// Arguments of `zincstand model run`.
#[derive(Args)]
pub struct RunArgs {
    #[command(flatten)]
    source: ScenarioSource,
    /// Policies joined by commas: module, random, round-robin, two-choices, least-in-flight, oracle; or all
    #[arg(long, default_value = "all", value_parser = parse_policies)]
    policy: Policies,
    /// Print the complete results as JSON, one line per policy
    #[arg(long)]
    json: bool,
}

/// Runs the scenario with each policy and prints the results.
///
/// # Errors
/// Fails if the scenario cannot be read or is invalid.
pub fn run(args: &RunArgs) -> Result<()> {
    let scenario = args.source.scenario()?;
    let mut results = Vec::new();
    for policy in &args.policy.0 {
        let result = run_scenario(&scenario, *policy, false)?.result;
        results.push(PolicyResult { policy: policy.name(), result });
    }
    if !args.json {
        return print(&tables::results(&scenario, &results));
    }
    for PolicyResult { policy, result } in results {
        // Stored results have these keys, so they must not change; `day` is the former word for a scenario.
        let line = serde_json::json!({ "day": scenario.name, "policy": policy, "result": result });
        print(&line.to_string())?;
    }
    Ok(())
}
