//! `zincstand model explain`: where a day lost its worth.

use std::collections::BTreeMap;

use anyhow::Result;
use clap::Args;
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scoring::{Cause, Loss};
use zincstand_fleet_model::{Played, play};

use crate::model::output::print;
use crate::model::source::DaySource;
use crate::model::tables::{self, PolicyResult, new_table};

/// Tells where a day's worth went.
#[derive(Args)]
pub struct Explain {
    #[command(flatten)]
    source: DaySource,
    /// Who decides
    #[arg(long, default_value = "module")]
    policy: Kind,
    /// Lines of each table
    #[arg(long, default_value_t = 12)]
    lines: usize,
}

/// Plays the day and prints its result with tables of its losses.
pub fn run(args: &Explain) -> Result<()> {
    let day = args.source.day()?;
    let played = play(&day, args.policy, true)?;
    let result = PolicyResult { policy: args.policy.name(), result: played.result.clone() };
    let results = tables::results(&day, &[result]);
    print(&format!("{results}\n{}", losses(&played, args.lines)))
}

/// The worth that was lost under one key.
pub struct LossSum<K> {
    /// What the losses have in common.
    pub key: K,
    /// Their sum, as a fraction of all worth asked for.
    pub worth: f64,
}

/// Sums losses by a key, the largest sum first.
pub fn sum_by<'a, K: Ord>(
    losses: impl IntoIterator<Item = &'a Loss>,
    key: impl Fn(&Loss) -> K,
) -> Vec<LossSum<K>> {
    let mut worth_by_key: BTreeMap<K, f64> = BTreeMap::new();
    for loss in losses {
        *worth_by_key.entry(key(loss)).or_default() += loss.worth;
    }
    let mut sums: Vec<LossSum<K>> =
        worth_by_key.into_iter().map(|(key, worth)| LossSum { key, worth }).collect();
    sums.sort_by(|a, b| b.worth.total_cmp(&a.worth));
    sums
}

fn losses(played: &Played, lines: usize) -> String {
    format!(
        "Where the worth went, of all that was asked for:\n{}\n\n{}\n\nThe worst seconds:\n{}",
        causes_table(played),
        servers_table(played, lines),
        seconds_table(played, lines)
    )
}

fn causes_table(played: &Played) -> String {
    let mut table = new_table(&["cause", "worth lost"], 1);
    for sum in sum_by(&played.detail.losses, |loss| loss.cause) {
        table.add_row([sum.key.name().to_owned(), percent(sum.worth)]);
    }
    table.to_string()
}

fn servers_table(played: &Played, lines: usize) -> String {
    let losses = &played.detail.losses;
    let mut table = new_table(&["server", "mostly by", "worth lost"], 2);
    let at_servers = losses.iter().filter(|loss| loss.server.is_some());
    for sum in sum_by(at_servers, |loss| loss.server).into_iter().take(lines) {
        let cause = main_cause(losses.iter().filter(|loss| loss.server == sum.key));
        let tier = sum
            .key
            .and_then(|server| played.detail.servers.last()?.get(server as usize))
            .map_or(String::new(), |sample| format!(" (tier {})", sample.tier));
        let name = format!("{}{tier}", sum.key.unwrap_or_default());
        table.add_row([name, cause.name().to_owned(), percent(sum.worth)]);
    }
    table.to_string()
}

/// The seconds that lost most, in the order of time.
fn seconds_table(played: &Played, lines: usize) -> String {
    let losses = &played.detail.losses;
    let header = ["second", "mostly by", "worth lost", "served", "late", "refused", "failed"];
    let mut table = new_table(&header, 2);
    let mut worst_seconds = sum_by(losses, |loss| loss.second);
    worst_seconds.truncate(lines);
    worst_seconds.sort_unstable_by_key(|sum| sum.key);
    for sum in worst_seconds {
        let cause = main_cause(losses.iter().filter(|loss| loss.second == sum.key));
        let ends = played.detail.seconds.get(sum.key).copied().unwrap_or_default();
        table.add_row([
            sum.key.to_string(),
            cause.name().to_owned(),
            percent(sum.worth),
            ends.served.to_string(),
            ends.late.to_string(),
            ends.refused.to_string(),
            ends.failed.to_string(),
        ]);
    }
    table.to_string()
}

/// The cause of most of the losses.
fn main_cause<'a>(losses: impl IntoIterator<Item = &'a Loss>) -> Cause {
    sum_by(losses, |loss| loss.cause).first().map_or(Cause::Work, |sum| sum.key)
}

fn percent(fraction: f64) -> String {
    format!("{:.2}%", fraction * 100.0)
}
