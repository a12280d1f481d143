//! `zincstand model explain`.

use std::collections::BTreeMap;

use anyhow::Result;
use clap::Args;
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scoring::{Cause, Loss};
use zincstand_fleet_model::{Played, play};

use super::{Source, tables};

/// Tells where a day's worth went.
#[derive(Args)]
pub struct Explain {
    #[command(flatten)]
    source: Source,
    /// Who decides
    #[arg(long, default_value = "module")]
    policy: Kind,
    /// Lines of each table
    #[arg(long, default_value_t = 12)]
    lines: usize,
}

pub fn run(args: &Explain) -> Result<()> {
    let day = args.source.day()?;
    let played = play(&day, args.policy, true)?;
    let head = tables::results(&day, &[(args.policy.name(), played.result.clone())]);
    super::print(&format!("{head}\n{}", text(&played, args.lines)))
}

/// Sums of losses by some key, largest first.
pub fn sums<K: Ord>(losses: &[Loss], key: impl Fn(&Loss) -> K) -> Vec<(K, f64)> {
    let mut sums: BTreeMap<K, f64> = BTreeMap::new();
    for loss in losses {
        *sums.entry(key(loss)).or_default() += loss.worth;
    }
    let mut sums: Vec<(K, f64)> = sums.into_iter().collect();
    sums.sort_by(|a, b| b.1.total_cmp(&a.1));
    sums
}

fn text(played: &Played, lines: usize) -> String {
    let losses = &played.detail.losses;
    let percent = |x: f64| format!("{:.2}%", x * 100.0);
    let mut causes = tables::table(&["cause", "worth lost"], 1);
    for (cause, worth) in sums(losses, |l| l.cause) {
        causes.add_row([cause.name().to_owned(), percent(worth)]);
    }
    let mut servers = tables::table(&["server", "mostly by", "worth lost"], 2);
    let named: Vec<Loss> = losses.iter().filter(|l| l.server.is_some()).cloned().collect();
    for (server, worth) in sums(&named, |l| l.server).into_iter().take(lines) {
        let own: Vec<Loss> = named.iter().filter(|l| l.server == server).cloned().collect();
        let most = sums(&own, |l| l.cause).first().map_or(Cause::Work, |c| c.0);
        let tier = server
            .and_then(|s| played.detail.servers.last()?.get(s as usize))
            .map_or(String::new(), |s| format!(" (tier {})", s.tier));
        let name = format!("{}{tier}", server.unwrap_or_default());
        servers.add_row([name, most.name().to_owned(), percent(worth)]);
    }
    let mut seconds =
        tables::table(&["second", "mostly by", "worth lost", "served", "late", "refused", "failed"], 2);
    let mut worst: Vec<(usize, f64)> = sums(losses, |l| l.second).into_iter().take(lines).collect();
    worst.sort_unstable_by_key(|s| s.0);
    for (second, worth) in worst {
        let own: Vec<Loss> = losses.iter().filter(|l| l.second == second).cloned().collect();
        let most = sums(&own, |l| l.cause).first().map_or(Cause::Work, |c| c.0);
        let s = played.detail.seconds.get(second).copied().unwrap_or_default();
        seconds.add_row([
            second.to_string(),
            most.name().to_owned(),
            percent(worth),
            s.served.to_string(),
            s.late.to_string(),
            s.refused.to_string(),
            s.failed.to_string(),
        ]);
    }
    format!(
        "Where the worth went, of all that was asked for:\n{causes}\n\n{servers}\n\nThe worst seconds:\n{seconds}"
    )
}
