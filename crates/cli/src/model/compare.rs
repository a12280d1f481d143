//! `zincstand model compare`.

use std::path::PathBuf;

use anyhow::{Result, anyhow, bail};
use clap::Args;
use zincstand_fleet_model::experiment::{Comparison, Estimate, Row};

use super::{rows, tables};

/// Compares two experiments day by day.
#[derive(Args)]
pub struct Compare {
    /// The rows to compare with
    a: PathBuf,
    /// The rows to judge
    b: PathBuf,
    /// Policy of the first file
    #[arg(long, default_value = "module")]
    policy_a: String,
    /// Policy of the second file
    #[arg(long, default_value = "module")]
    policy_b: String,
    /// Compare what counts: zero where a rule was broken
    #[arg(long)]
    counted: bool,
    /// Print the comparison as JSON
    #[arg(long)]
    json: bool,
}

/// Rows of one policy.
pub fn of_policy(path: &std::path::Path, policy: &str) -> Result<Vec<Row>> {
    let all = rows(path)?;
    let some: Vec<Row> = all.into_iter().filter(|r| r.policy == policy).collect();
    if some.is_empty() {
        bail!("{} has no rows of the policy {policy:?}", path.display());
    }
    Ok(some)
}

pub fn run(args: &Compare) -> Result<()> {
    let (a, b) = (of_policy(&args.a, &args.policy_a)?, of_policy(&args.b, &args.policy_b)?);
    let value = |r: &Row| if args.counted { r.counted } else { r.g };
    let c = Comparison::of(&a, &b, value).map_err(|e| anyhow!(e))?;
    if args.json {
        return super::print(&serde_json::to_string(&c)?);
    }
    super::print(&text(&c))
}

/// The comparison as tables.
pub fn text(c: &Comparison) -> String {
    let mut t = tables::table(&["kind", "days", "difference", "95% interval"], 1);
    let mut line = |name: &str, e: &Estimate| {
        t.add_row([
            name.to_owned(),
            e.count.to_string(),
            format!("{:+.4}", e.mean),
            format!("{:+.4} to {:+.4}", e.low, e.high),
        ]);
    };
    for (kind, e) in &c.kinds {
        line(kind, e);
    }
    line("all", &c.all);
    let mut most = tables::table(&["moved most", "seed", "before", "after", "difference"], 1);
    for p in c.moved_most(10) {
        most.add_row([
            format!("{} {}", p.kind, p.size),
            p.seed.to_string(),
            format!("{:.3}", p.a),
            format!("{:.3}", p.b),
            format!("{:+.3}", p.b - p.a),
        ]);
    }
    let left = if c.unpaired > 0 { format!("; {} rows have no partner", c.unpaired) } else { String::new() };
    format!(
        "{t}\nbetter on {:.0}% of the days, worse on {:.0}%{left}\n\n{most}",
        c.better * 100.0,
        c.worse * 100.0
    )
}
