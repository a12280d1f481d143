//! `zincstand model ramp`.

use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::Args;
use indicatif::ProgressBar;
use zincstand_fleet_model::ramp::{self, Line, RuleOverrides, Shape};

use super::{print, tables};

/// Plays days on which servers start cold, and tells what they get from all balancers together.
#[derive(Args)]
pub struct Ramp {
    /// Numbers of balancers, joined by commas
    #[arg(long, value_delimiter = ',', default_values_t = [2, 8, 30, 100, 300])]
    balancers: Vec<u32>,
    /// Days of each shape and number
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// The rule's multiple of a cold server's capacity, instead of the site's
    #[arg(long)]
    overload_factor: Option<f64>,
    /// The share of its capacity with which a server starts, instead of the site's
    #[arg(long)]
    cold_from: Option<f64>,
    /// Where the lines go as JSON
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Does it.
pub fn run(args: &Ramp) -> Result<()> {
    let rules = RuleOverrides { overload_factor: args.overload_factor, cold_from: args.cold_from };
    let count = args.balancers.len() as u64 * Shape::ALL.len() as u64 * args.seeds;
    let bar = ProgressBar::new(count);
    let mut lines = Vec::new();
    for shape in Shape::ALL {
        for &balancers in &args.balancers {
            lines.push(ramp::run(shape, balancers, args.seeds, rules, || bar.inc(1))?);
        }
    }
    bar.finish_and_clear();
    if let Some(path) = &args.out {
        let text = serde_json::to_string_pretty(&lines)?;
        std::fs::write(path, text + "\n").with_context(|| format!("cannot write {}", path.display()))?;
    }
    print(&table(&lines))
}

fn table(lines: &[Line]) -> String {
    let head = [
        "shape",
        "balancers",
        "starts",
        "excess",
        "p99",
        "most",
        "told",
        "p99",
        "most",
        "told, work",
        "p99",
        "most",
        "fell, told",
        "by work, told",
        "share at 0-20%",
        "40-60%",
        "80-100%",
        "warm",
        "after s",
        "G",
    ];
    let mut t = tables::table(&head, 1);
    for l in lines {
        let part = |from: usize| (l.share[from] + l.share[from + 1]) / 2.0;
        let mut cells = vec![l.shape.name().to_owned(), l.balancers.to_string(), l.starts.to_string()];
        let spreads = [l.excess, l.informed_excess, l.informed_excess_work];
        cells.extend(spreads.iter().flat_map(|x| [x.mean, x.p99, x.max]).map(|x| format!("{x:.2}")));
        let overloads = [l.overloaded, l.overloaded_by_work];
        cells.extend(overloads.map(|x| format!("{}, {}", x.total, x.informed)));
        cells.extend([0, 4, 8].map(|at| format!("{:.2}", part(at))));
        cells.extend([
            format!("{:.1}", l.warm.warm_up_times),
            format!("{:.1}", l.warm.seconds),
            format!("{:.3}", l.score),
        ]);
        t.add_row(cells);
    }
    format!(
        "{t}\n(excess: requests, or work in means, beyond the budget of N in the worst window of a day's most-hit cold \
         server, in roots of N; warm: in warm-ups, when it gets nine tenths of what it gets once warm)"
    )
}
