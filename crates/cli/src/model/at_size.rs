//! Slopes that the model gives: depth, and failures of a whole fleet.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use zincstand_fleet_model::depth::{self, Depth, Fit, Mean};
use zincstand_fleet_model::failures::{self, Failures};

use crate::model::{print, tables::table};

/// Servers known in the days that tell what an event costs.
const KNOWN: [u32; 5] = [10, 34, 200, 600, 2_000];
/// Most servers of a day of failures: each has a balancer that knows all.
const MOST_SERVERS: u32 = 4_000;

/// What one first call becomes at the bottom of many tiers
#[derive(Args)]
pub struct DepthArgs {
    /// Depths in tiers, at least four for a slope; 32 at most
    #[arg(long, value_delimiter = ',', default_values_t = [2, 4, 8, 16, 30])]
    tiers: Vec<usize>,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Days for each depth and trouble; the interval comes from these [default: 3, quick: 2]
    #[arg(long)]
    seeds: Option<u64>,
    /// Shorter days, fewer seeds
    #[arg(long)]
    quick: bool,
    /// Write all of it as JSON, with machine, revision and seed
    #[arg(long)]
    out: Option<PathBuf>,
}

/// What the loss of a zone, a rack, a region and an ordinary day's restarts cost a whole fleet
#[derive(Args)]
pub struct FailureArgs {
    /// Servers, and as many balancers [default: 2000, quick: 200]
    #[arg(long, value_parser = clap::value_parser!(u32).range(28..=i64::from(MOST_SERVERS)))]
    servers: Option<u32>,
    /// Calls a second to one balancer; planned are 225, and each costs as many times the work as there are fewer
    #[arg(long)]
    rate: Option<f64>,
    /// The seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A tenth of the fleet, and only the smaller sizes for the cost of an event
    #[arg(long)]
    quick: bool,
    /// Write all of it as JSON, with machine, revision and seed
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Servers of a day of failures beside other measurements: 2,000 take longer than the ten minutes of all together.
const BESIDE_OTHERS: u32 = 602;

/// Both, failures with fewer servers than alone; what `out` names has the JSON of each beside it.
pub fn both(seed: u64, quick: bool, out: Option<&Path>) -> Result<()> {
    let beside = |name: &str| out.map(|out| out.with_extension(format!("{name}.json")));
    depth(&DepthArgs { tiers: vec![2, 4, 8, 16, 30], seed, seeds: None, quick, out: beside("depth") })?;
    let servers = (!quick).then_some(BESIDE_OTHERS);
    failures(&FailureArgs { servers, rate: Some(4.5), seed, quick, out: beside("failures") })
}

/// Where, and from what, figures come.
#[derive(Serialize)]
struct Source {
    cores: usize,
    cpu: String,
    /// The commit that is checked out where the command runs, if any.
    revision: Option<String>,
    /// The most memory that the process has held so far, in bytes.
    peak_memory: u64,
    seconds: f64,
}

fn source(began: std::time::Instant) -> Source {
    let line = |file: &str, key: &str| {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let found = text.lines().find(|l| l.starts_with(key)).and_then(|l| l.split_once(':'));
        found.map(|(_, value)| value.trim().to_owned())
    };
    let git = std::process::Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let revision = git.ok().filter(|o| o.status.success());
    let peak = line("/proc/self/status", "VmHWM").unwrap_or_default();
    Source {
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        cpu: line("/proc/cpuinfo", "model name").unwrap_or_else(|| "unknown".to_owned()),
        revision: revision.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_owned()),
        peak_memory: peak.trim_end_matches(" kB").parse::<u64>().unwrap_or(0) * 1_024,
        seconds: began.elapsed().as_secs_f64(),
    }
}

fn write<T: Serialize>(out: Option<&Path>, what: &str, source: &Source, result: &T) -> Result<()> {
    let Some(path) = out else { return Ok(()) };
    let file = std::fs::File::create(path).with_context(|| format!("cannot write {}", path.display()))?;
    let whole = serde_json::json!({ "what": what, "source": source, "result": result });
    serde_json::to_writer_pretty(file, &whole).with_context(|| format!("cannot write {}", path.display()))
}

fn bar(days: u64) -> ProgressBar {
    let bar = ProgressBar::new(days);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} days, {eta} left") {
        bar.set_style(style);
    }
    bar
}

fn with_interval(m: Mean) -> String {
    format!("{:.3} ± {:.3}", m.mean, m.half)
}

fn bend(f: &Fit) -> String {
    format!("{:.5}, {:.5}", f.lower, f.upper)
}

/// Plays the depths and prints what came of them.
pub fn depth(args: &DepthArgs) -> Result<()> {
    let mut tiers = args.tiers.clone();
    tiers.sort_unstable();
    tiers.dedup();
    if tiers.len() < 4 || tiers[0] < 2 {
        bail!("a slope needs four depths or more, of two tiers or more");
    }
    let base = if args.quick { depth::Sizes::quick() } else { depth::Sizes::default() };
    let sizes = depth::Sizes { tiers, seeds: args.seeds.unwrap_or(base.seeds).clamp(1, 100), ..base };
    let days = (sizes.tiers.len() * sizes.troubles.len()) as u64 * sizes.seeds;
    let began = std::time::Instant::now();
    let bar = bar(days);
    let result = depth::run(args.seed, &sizes, || bar.inc(1))?;
    bar.finish_and_clear();
    let source = source(began);
    write(args.out.as_deref(), "depth", &source, &result)?;
    print(&depth_tables(&result))?;
    eprintln!("{days} days in {:.1} s, {} MB", source.seconds, source.peak_memory >> 20);
    Ok(())
}

fn depth_tables(result: &Depth) -> String {
    let mut t = table(
        &[
            "trouble",
            "tiers",
            "calls",
            "goodput",
            "answered",
            "attempts at the bottom",
            "most in a tier",
            "time left at the bottom",
            "work for nobody",
            "of the first",
            "of the last",
            "rules broken",
        ],
        1,
    );
    for r in &result.rows {
        let most = r.amplification.iter().copied().fold(0.0, f64::max);
        let ends = |v: &[f64]| (v.first().copied().unwrap_or(0.0), v.last().copied().unwrap_or(0.0));
        let wasted = ends(&r.wasted);
        t.add_row([
            r.trouble.name().to_owned(),
            r.tiers.to_string(),
            r.calls.to_string(),
            with_interval(r.goodput),
            with_interval(r.answered),
            with_interval(r.bottom),
            format!("{most:.3}"),
            format!("{:.3}", ends(&r.time_left).1),
            with_interval(r.waste),
            format!("{:.3}", wasted.0),
            format!("{:.3}", wasted.1),
            r.broken.to_string(),
        ]);
    }
    let mut s = table(
        &[
            "trouble",
            "ln(attempts at the bottom) a tier",
            "intercept",
            "r2",
            "lower, upper half",
            "goodput a tier",
            "r2",
        ],
        1,
    );
    for x in &result.slopes {
        s.add_row([
            x.trouble.name().to_owned(),
            format!("{:.5}", x.amplification.slope),
            format!("{:.4}", x.amplification.intercept),
            format!("{:.3}", x.amplification.r2),
            bend(&x.amplification),
            format!("{:.5}", x.goodput.slope),
            format!("{:.3}", x.goodput.r2),
        ]);
    }
    let by_tier: String = result
        .rows
        .iter()
        .filter(|r| Some(&r.tiers) == result.sizes.tiers.last())
        .map(|r| {
            let list = |v: &[f64]| v.iter().map(|x| format!("{x:.2}")).collect::<Vec<_>>().join(" ");
            format!(
                "\n{}, {} tiers, first to last:\n  attempts a request  {}\n  time left           {}\n  work for nobody     {}",
                r.trouble.name(),
                r.tiers,
                list(&r.amplification),
                list(&r.time_left),
                list(&r.wasted)
            )
        })
        .collect();
    format!(
        "{t}\n\n{s}\n{by_tier}\n(means over {} seeds, ± half of the 95% interval; {} servers a tier, each 45% busy, {} calls a \
         second to each balancer; aim 50 ms and deadline 100 ms a tier, or 400 and 800 in all where fixed)",
        result.sizes.seeds,
        depth::SERVERS,
        depth::RATE
    )
}

/// Plays the failures and prints what came of them.
pub fn failures(args: &FailureArgs) -> Result<()> {
    let base = if args.quick { failures::Sizes::quick() } else { failures::Sizes::default() };
    let rate = args.rate.unwrap_or(base.rate);
    if !(0.5..=225.0).contains(&rate) {
        bail!("--rate lies between 0.5 and 225 calls a second");
    }
    let sizes = failures::Sizes { servers: args.servers.unwrap_or(base.servers), rate, ..base };
    let known: Vec<u32> = KNOWN.into_iter().filter(|n| !args.quick || *n <= 600).collect();
    let began = std::time::Instant::now();
    let bar = bar((known.len() + sizes.failures.len()) as u64);
    let result = failures::run(args.seed, &sizes, &known, || bar.inc(1))?;
    bar.finish_and_clear();
    let source = source(began);
    write(args.out.as_deref(), "failures", &source, &result)?;
    print(&failure_tables(&result))?;
    eprintln!("{:.1} s, {} MB", source.seconds, source.peak_memory >> 20);
    Ok(())
}

fn failure_tables(result: &Failures) -> String {
    let mut t = table(
        &[
            "failure",
            "servers",
            "calls",
            "goodput before",
            "lowest second",
            "at",
            "s to 9/10",
            "s to 9/10 after its end",
            "pushed over",
            "rules broken",
            "discovery, busiest second",
            "entries",
            "KB",
            "real s",
            "module",
        ],
        1,
    );
    let seconds = |s: Option<f64>| s.map_or("never".to_owned(), |s| format!("{s:.0}"));
    for r in &result.rows {
        t.add_row([
            r.failure.name().to_owned(),
            r.servers.to_string(),
            r.calls.to_string(),
            format!("{:.3}", r.goodput_before),
            format!("{:.3}", r.lowest_goodput),
            format!("{} s", r.lowest_at),
            seconds(r.recovered),
            seconds(r.recovered_after_end),
            r.collapsed.to_string(),
            format!("{} {:?}", r.broken, r.rules),
            r.messages.to_string(),
            r.entries.to_string(),
            (r.bytes / 1_000).to_string(),
            format!("{:.1}", r.seconds),
            format!("{:.0}%", 100.0 * r.module_seconds / r.seconds.max(1e-9)),
        ]);
    }
    let mut c = table(&["servers known", "events", "world, ns an event", "module, ns a call", "module"], 0);
    for x in &result.costs {
        c.add_row([
            x.servers.to_string(),
            x.events.to_string(),
            format!("{:.0}", x.world_ns),
            format!("{:.0}", x.module_ns),
            format!("{:.0}%", 100.0 * x.module_share),
        ]);
    }
    let line = |f: &Fit| {
        format!(
            "{:.2} ns a server, intercept {:.0}, r2 {:.3}, halves {:.2} and {:.2}",
            f.slope, f.intercept, f.r2, f.lower, f.upper
        )
    };
    format!(
        "{t}\n\n{c}\nmodule: {}\nworld: {}\n(calls are {:.0} times fewer than planned, each {:.0} times the work of one planned)",
        line(&result.module),
        line(&result.world),
        result.scaled,
        result.scaled
    )
}
