//! `zincstand model`: days, experiments, comparisons, reports.

pub mod at_size;
mod compare;
mod explain;
mod plots;
mod ramp;
mod report;
pub mod tables;

pub use tables::table;

use std::io::{BufRead, Read, Write};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, anyhow, bail};
use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::experiment::{self, Cell, Row};
use zincstand_fleet_model::play;
use zincstand_fleet_model::policy::Kind;
use zincstand_fleet_model::scenario::Scenario;

/// What can be done with the model.
#[derive(Subcommand)]
pub enum Command {
    /// List the parts that kinds of days are joined from, the sizes and the policies
    Kinds,
    /// Print a day as a file that `run` plays
    #[command(after_help = "Example: zincstand model day --kind hand+deploy --seed 5 > day.toml")]
    Day(Drawn),
    /// Play one day and print what it was worth
    #[command(
        after_help = "Examples:\n  zincstand model run day.toml\n  zincstand model run --kind silent --seed 3 \
                            --policy random"
    )]
    Run(Run),
    /// Play many days with many policies on all cores, one JSON line a day
    #[command(
        after_help = "Examples:\n  zincstand model experiment --out base.jsonl\n  zincstand model experiment \
                            --kinds silent,hand+deploy --seeds 1-200 --policies module --label no-window --out \
                            no-window.jsonl"
    )]
    Experiment(Experiment),
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
    Depth(at_size::DepthArgs),
    /// Tell what the loss of a zone, a rack or a region costs a fleet of 2,000
    Failures(at_size::FailureArgs),
}

/// A day drawn from a kind and a seed.
#[derive(Args, Clone)]
pub struct Drawn {
    /// Parts joined by +, as `kinds` lists them
    #[arg(long, default_value = "busy")]
    kind: String,
    /// Decides all that the kind leaves open
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// small, site, vast or huge
    #[arg(long, default_value = "site")]
    size: Size,
}

/// A day from a file, or a drawn one.
#[derive(Args, Clone)]
pub struct Source {
    /// A day's file, - for standard input; without it the day is drawn
    file: Option<PathBuf>,
    #[command(flatten)]
    drawn: Drawn,
}

impl Source {
    fn day(&self) -> Result<Scenario> {
        let Some(file) = &self.file else {
            return Ok(catalog::generate(&self.drawn.kind, self.drawn.seed, self.drawn.size)?);
        };
        let text = if file.as_os_str() == "-" {
            let mut text = String::new();
            std::io::stdin().read_to_string(&mut text).context("cannot read standard input")?;
            text
        } else {
            std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?
        };
        Scenario::parse(&text).with_context(|| file.display().to_string())
    }
}

/// Plays one day.
#[derive(Args)]
pub struct Run {
    #[command(flatten)]
    source: Source,
    /// Who decides: module, random, round-robin, two-choices, least-in-flight, oracle, or all
    #[arg(long, default_value = "all", value_parser = policies)]
    policy: Policies,
    /// Print the whole result as JSON, a line a policy
    #[arg(long)]
    json: bool,
}

/// Plays many days.
#[derive(Args)]
pub struct Experiment {
    /// Kinds, joined by commas
    #[arg(long, value_delimiter = ',', default_values = catalog::STANDARD)]
    kinds: Vec<String>,
    /// Seeds of each kind: a last one, or a range such as 101-300
    #[arg(long, default_value = "50", value_parser = seeds)]
    seeds: RangeInclusive<u64>,
    /// small, site, vast or huge
    #[arg(long, default_value = "site")]
    size: Size,
    /// Policies joined by commas, or all
    #[arg(long, default_value = "all", value_parser = policies)]
    policies: Policies,
    /// What the rows say was played: a revision, a variation
    #[arg(long, default_value = "here")]
    label: String,
    /// Where the rows go; without it only the table is printed
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Clone)]
struct Policies(Vec<Kind>);

fn policies(names: &str) -> Result<Policies, String> {
    if names == "all" {
        return Ok(Policies(Kind::ALL.to_vec()));
    }
    names.split(',').map(str::parse).collect::<Result<_, _>>().map(Policies)
}

fn seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let number = |t: &str| {
        t.trim().parse::<u64>().map_err(|_| "write a last seed or a range, such as 101-300".to_owned())
    };
    let range = match text.split_once('-') {
        Some((from, to)) => number(from)?..=number(to)?,
        None => 1..=number(text)?,
    };
    if range.is_empty() { Err("the range holds no seed".to_owned()) } else { Ok(range) }
}

/// Does it.
pub fn run(command: Command) -> Result<()> {
    match command {
        Command::Kinds => tables::kinds(),
        Command::Day(drawn) => {
            let day = catalog::generate(&drawn.kind, drawn.seed, drawn.size)?;
            print(&day.text()?)
        }
        Command::Run(args) => one_day(&args),
        Command::Experiment(args) => many_days(&args),
        Command::Compare(args) => compare::run(&args),
        Command::Ramp(args) => ramp::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Report(args) => report::run(&args),
        Command::Depth(args) => at_size::depth(&args),
        Command::Failures(args) => at_size::failures(&args),
    }
}

/// Prints; unlike `println!`, a closed reader is an error that can be told from others.
pub(crate) fn print(text: &str) -> Result<()> {
    let mut out = std::io::stdout().lock();
    for line in text.lines() {
        writeln!(out, "{}", line.trim_end())?;
    }
    Ok(out.flush()?)
}

fn one_day(args: &Run) -> Result<()> {
    let day = args.source.day()?;
    let mut results = Vec::new();
    for kind in &args.policy.0 {
        results.push((kind.name(), play(&day, *kind, false)?.result));
    }
    if args.json {
        for (policy, result) in results {
            let line = serde_json::json!({ "day": day.name, "policy": policy, "result": result });
            print(&line.to_string())?;
        }
        return Ok(());
    }
    print(&tables::results(&day, &results))
}

fn many_days(args: &Experiment) -> Result<()> {
    let mut cells = Vec::new();
    for kind in &args.kinds {
        catalog::generate(kind, 0, Size::Small)?;
        for seed in args.seeds.clone() {
            for &policy in &args.policies.0 {
                cells.push(Cell { kind: kind.clone(), seed, size: args.size, policy });
            }
        }
    }
    // A file that cannot be written is told before the days are played, not after.
    let out = args
        .out
        .as_ref()
        .map(|path| std::fs::File::create(path).with_context(|| format!("cannot write {}", path.display())));
    let out = out.transpose()?;
    let bar = ProgressBar::new(cells.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} days, {eta} left") {
        bar.set_style(style);
    }
    let began = std::time::Instant::now();
    let rows = experiment::run(&args.label, &cells, || bar.inc(1))?;
    bar.finish_and_clear();
    if let Some(file) = out {
        let mut file = std::io::BufWriter::new(file);
        for row in &rows {
            serde_json::to_writer(&mut file, row)?;
            file.write_all(b"\n")?;
        }
        file.flush().context("cannot write the rows")?;
    }
    print(&tables::experiment(&rows))?;
    eprintln!("{} days in {:.1} s", rows.len(), began.elapsed().as_secs_f64());
    Ok(())
}

/// The rows of an experiment's file.
fn rows(path: &Path) -> Result<Vec<Row>> {
    let file = std::fs::File::open(path).with_context(|| format!("cannot read {}", path.display()))?;
    let mut rows = Vec::new();
    for (number, line) in std::io::BufReader::new(file).lines().enumerate() {
        let line = line.with_context(|| format!("cannot read {}", path.display()))?;
        if line.trim().is_empty() {
            continue;
        }
        let row = serde_json::from_str(&line)
            .map_err(|e| anyhow!("{}, line {}: no row of an experiment: {e}", path.display(), number + 1))?;
        rows.push(row);
    }
    if rows.is_empty() {
        bail!("{} has no rows; `zincstand model experiment --out FILE` writes them", path.display());
    }
    Ok(rows)
}
