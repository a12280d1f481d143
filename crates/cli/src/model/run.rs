//! `zincstand model run`: plays one day.

use anyhow::Result;
use clap::Args;
use zincstand_fleet_model::play;

use crate::model::arguments::{Policies, parse_policies};
use crate::model::output::print;
use crate::model::source::DaySource;
use crate::model::tables::{self, PolicyResult};

/// Plays one day.
#[derive(Args)]
pub struct Run {
    #[command(flatten)]
    source: DaySource,
    /// Who decides: module, random, round-robin, two-choices, least-in-flight, oracle, or all
    #[arg(long, default_value = "all", value_parser = parse_policies)]
    policy: Policies,
    /// Print the whole result as JSON, a line a policy
    #[arg(long)]
    json: bool,
}

/// Plays the day with each policy and prints the results.
pub fn run(args: &Run) -> Result<()> {
    let day = args.source.day()?;
    let mut results = Vec::new();
    for policy in &args.policy.0 {
        let result = play(&day, *policy, false)?.result;
        results.push(PolicyResult { policy: policy.name(), result });
    }
    if !args.json {
        return print(&tables::results(&day, &results));
    }
    for PolicyResult { policy, result } in results {
        let line = serde_json::json!({ "day": day.name, "policy": policy, "result": result });
        print(&line.to_string())?;
    }
    Ok(())
}
