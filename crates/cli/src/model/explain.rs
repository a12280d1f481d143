//! `zincstand model explain`: the utility that a scenario lost, by cause, server and second.

use std::collections::BTreeMap;

use anyhow::Result;
use clap::Args;
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scoring::{Cause, Loss};
use zincstand_fleet_model::{ScenarioRun, run_scenario};

use crate::model::columns::new_table;
use crate::model::output::print;
use crate::model::source::ScenarioSource;
use crate::model::tables;

/// Arguments of `zincstand model explain`.
#[derive(Args)]
pub struct ExplainArgs {
    #[command(flatten)]
    source: ScenarioSource,
    /// Policy of every balancer
    #[arg(long, default_value = "module")]
    policy: Kind,
    /// Maximum number of lines in each of the tables of servers and seconds
    #[arg(long, default_value_t = 12)]
    lines: usize,
}

/// Runs the scenario and prints its result with tables of its losses.
///
/// # Errors
/// Fails if the scenario cannot be read or is invalid.
pub fn run(args: &ExplainArgs) -> Result<()> {
    let scenario = args.source.scenario()?;
    let run = run_scenario(&scenario, args.policy, true)?;
    let result = tables::result_of_run(&scenario, args.policy, &run);
    print(&format!("{result}\n{}", loss_tables(&run, args.lines)))
}

/// Sum of the losses that have the same key.
pub struct LossSum<K> {
    /// Key of the losses, such as their cause.
    pub key: K,
    /// Utility lost, as a fraction of the utility offered.
    pub utility: f64,
}

/// Sums losses by key, and returns the sums in descending order.
pub fn sum_by<'a, K: Ord>(
    losses: impl IntoIterator<Item = &'a Loss>,
    key: impl Fn(&Loss) -> K,
) -> Vec<LossSum<K>> {
    let mut utility_by_key: BTreeMap<K, f64> = BTreeMap::new();
    for loss in losses {
        *utility_by_key.entry(key(loss)).or_default() += loss.utility;
    }
    let mut sums: Vec<LossSum<K>> =
        utility_by_key.into_iter().map(|(key, utility)| LossSum { key, utility }).collect();
    sums.sort_by(|a, b| b.utility.total_cmp(&a.utility));
    sums
}

/// Formats the losses by cause, server and second.
fn loss_tables(run: &ScenarioRun, lines: usize) -> String {
    format!(
        "Utility lost, as a share of the utility offered:\n{}\n\n{}\n\nSeconds with the largest losses:\n{}",
        causes_table(run),
        servers_table(run, lines),
        seconds_table(run, lines)
    )
}

/// Formats the losses by cause.
fn causes_table(run: &ScenarioRun) -> String {
    let mut table = new_table(&["cause", "utility lost"], 1);
    for sum in sum_by(&run.detail.losses, |loss| loss.cause) {
        table.add_row([sum.key.name().to_owned(), percent(sum.utility)]);
    }
    table.to_string()
}

/// Formats the losses of the `lines` servers that lost most utility, with the main cause of each.
fn servers_table(run: &ScenarioRun, lines: usize) -> String {
    let losses = &run.detail.losses;
    let mut table = new_table(&["server", "main cause", "utility lost"], 2);
    let losses_at_servers = losses.iter().filter(|loss| loss.server.is_some());
    for sum in sum_by(losses_at_servers, |loss| loss.server).into_iter().take(lines) {
        let cause = main_cause(losses.iter().filter(|loss| loss.server == sum.key));
        let tier = sum
            .key
            .and_then(|server| run.detail.servers.last()?.get(server as usize))
            .map_or(String::new(), |sample| format!(" (tier {})", sample.tier));
        let name = format!("{}{tier}", sum.key.unwrap_or_default());
        table.add_row([name, cause.name().to_owned(), percent(sum.utility)]);
    }
    table.to_string()
}

/// Formats the losses of the `lines` seconds that lost most utility, in chronological order.
fn seconds_table(run: &ScenarioRun, lines: usize) -> String {
    let losses = &run.detail.losses;
    let header = ["second", "main cause", "utility lost", "served", "late", "rejected", "failed"];
    let mut table = new_table(&header, 2);
    let mut worst_seconds = sum_by(losses, |loss| loss.second);
    worst_seconds.truncate(lines);
    worst_seconds.sort_unstable_by_key(|sum| sum.key);
    for sum in worst_seconds {
        let cause = main_cause(losses.iter().filter(|loss| loss.second == sum.key));
        let outcomes = run.detail.seconds.get(sum.key).copied().unwrap_or_default();
        table.add_row([
            sum.key.to_string(),
            cause.name().to_owned(),
            percent(sum.utility),
            outcomes.served.to_string(),
            outcomes.late.to_string(),
            outcomes.rejected.to_string(),
            outcomes.failed.to_string(),
        ]);
    }
    table.to_string()
}

/// Returns the cause with the largest sum of losses.
fn main_cause<'a>(losses: impl IntoIterator<Item = &'a Loss>) -> Cause {
    sum_by(losses, |loss| loss.cause).first().map_or(Cause::Work, |sum| sum.key)
}

/// Formats a fraction as a percentage.
pub fn percent(fraction: f64) -> String {
    format!("{:.2}%", fraction * 100.0)
}
