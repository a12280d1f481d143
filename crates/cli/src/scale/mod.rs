//! `zincstand scale`: what the balancer costs by size, on real sockets. Bounded in time and count, on loopback alone.

mod added_time;
mod control;
mod crowd;
mod memory;
mod updates;
mod watchers;

use std::path::{Path, PathBuf};
use std::time::Instant;

use anyhow::{Context, Result, anyhow, bail};
use clap::{Args, Subcommand};
use tokio::signal::unix::{SignalKind, signal};
use zincstand_testbed::machine::{Machine, Needs, raise_descriptor_limit};
use zincstand_testbed::report::{Report, Slope};

use crate::model::tables::new_table;

/// Measures slopes.
#[derive(Args)]
#[command(
    after_help = "Examples:\n  cargo build --release && cargo run --release -p zincstand -- scale --out \
                  scale.json\n  zincstand scale --quick\n  zincstand scale added-time --upstreams 10,200,2000\n\n\
                  Everything listens on loopback; at most 300 processes are started, and each is ended by its own \
                  id, also on Ctrl-C."
)]
pub struct Scale {
    #[command(flatten)]
    options: Options,
    /// One of the measurements on sockets; all without it, after `model depth` and `model failures`
    #[command(subcommand)]
    part: Option<Part>,
}

/// What holds for every measurement.
#[derive(Args)]
struct Options {
    /// One minute for all and no figures for documents: fewer points, shorter runs
    #[arg(long, global = true)]
    quick: bool,
    /// Where the report goes as JSON; the table is printed all the same
    #[arg(long, global = true, value_name = "FILE.json")]
    out: Option<PathBuf>,
    /// Decides all that is drawn
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// The balancer's program; without it the `zincstand-proxy` beside this one
    #[arg(long, global = true, value_name = "PATH")]
    balancer: Option<PathBuf>,
    /// Upstreams in the list, joined by commas; without it 10,34,200,600,2000, or 10,200,2000 with --quick
    #[arg(long, global = true, value_delimiter = ',', value_parser = clap::value_parser!(u32).range(1..=10_000))]
    upstreams: Option<Vec<u32>>,
}

/// The measurements, each bounded in time.
#[derive(Clone, Copy, Debug, PartialEq, Subcommand)]
enum Part {
    /// What the balancer adds to a call, by rate and upstreams known: at most 2.5 minutes
    AddedTime,
    /// Memory by upstreams, connections, calls in flight, classes and tenants: at most 1.5 minutes
    Memory,
    /// Processor time and bytes with no calls at all: at most 1.5 minutes
    Control,
    /// From a change at discovery to the last balancer that acts on it: at most 1 minute
    Updates,
    /// What discovery's side carries at rest, at a change and after a break: at most 2 minutes
    Watchers,
}

impl Part {
    const ALL: [Part; 5] = [Part::AddedTime, Part::Memory, Part::Control, Part::Updates, Part::Watchers];

    /// What it will start, in a line, and what that takes up.
    fn plan(self, bench: &Bench) -> (String, Needs) {
        match self {
            Part::AddedTime => added_time::plan(bench),
            Part::Memory => memory::plan(bench),
            Part::Control => control::plan(bench),
            Part::Updates => updates::plan(bench),
            Part::Watchers => watchers::plan(bench),
        }
    }

    async fn measure(self, bench: &Bench) -> Result<Vec<Slope>> {
        match self {
            Part::AddedTime => added_time::measure(bench).await,
            Part::Memory => memory::measure(bench).await,
            Part::Control => control::measure(bench).await,
            Part::Updates => updates::measure(bench).await,
            Part::Watchers => watchers::measure(bench).await,
        }
    }
}

/// What every measurement is given.
struct Bench {
    balancer: PathBuf,
    seed: u64,
    quick: bool,
    upstreams: Vec<usize>,
}

impl Bench {
    fn new(options: &Options) -> Result<Bench> {
        let standard: &[u32] = if options.quick { &[10, 200, 2_000] } else { &[10, 34, 200, 600, 2_000] };
        let upstreams = options.upstreams.as_deref().unwrap_or(standard);
        Ok(Bench {
            balancer: program(options.balancer.as_deref())?,
            seed: options.seed,
            quick: options.quick,
            upstreams: upstreams.iter().map(|&n| n as usize).collect(),
        })
    }

    /// The most upstreams asked for.
    fn most_upstreams(&self) -> usize {
        self.upstreams.iter().copied().max().unwrap_or(0)
    }
}

/// The balancer's program: the one that was named, or the one beside this program.
fn program(named: Option<&Path>) -> Result<PathBuf> {
    let path = match named {
        Some(path) => path.to_owned(),
        None => {
            std::env::current_exe().context("where this program stands")?.with_file_name("zincstand-proxy")
        }
    };
    if !path.is_file() {
        bail!(
            "there is no balancer at {}: build it with `cargo build --release`, or name it with --balancer PATH",
            path.display()
        );
    }
    Ok(path)
}

/// The revision of the repository that this runs in; `unknown` outside of one.
fn revision() -> String {
    let git = |arguments: &[&str]| {
        let said = std::process::Command::new("git").args(arguments).output().ok()?;
        said.status.success().then(|| String::from_utf8_lossy(&said.stdout).trim().to_owned())
    };
    let Some(revision) = git(&["rev-parse", "--short=12", "HEAD"]) else { return "unknown".to_owned() };
    let changed = git(&["status", "--porcelain", "--untracked-files=no"]).is_some_and(|s| !s.is_empty());
    if changed { revision + "+" } else { revision }
}

/// Waits for Ctrl-C or SIGTERM.
async fn stopped() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = terminate.recv() => {}
        },
        Err(_) => drop(tokio::signal::ctrl_c().await),
    }
}

/// Measures, prints and writes the report.
pub fn run(Scale { options, part }: Scale) -> Result<()> {
    let (bench, whole) = (Bench::new(&options)?, part.is_none());
    let parts = part.map_or(Part::ALL.to_vec(), |part| vec![part]);
    let machine = Machine::here();
    let mut needs = Needs::default();
    for part in &parts {
        let (starts, takes) = part.plan(&bench);
        eprintln!("{starts}");
        needs = needs.or(takes);
    }
    needs.check(&machine, raise_descriptor_limit())?;
    eprintln!("in all at most {} processes at once and {} MB", needs.processes, needs.memory_mb);
    // First: from the runtime's on, Ctrl-C is its to heed, and the model knows nothing of it.
    if whole {
        crate::model::fleet_size::run(options.seed, options.quick, options.out.as_deref())?;
    }
    let began = Instant::now();
    let runtime = tokio::runtime::Runtime::new().context("no threads for the stand-ins")?;
    let slopes = runtime.block_on(async {
        let all = async {
            let mut slopes = Vec::new();
            for part in parts {
                eprintln!("{part:?} ...");
                slopes.extend(part.measure(&bench).await?);
            }
            anyhow::Ok(slopes)
        };
        tokio::select! {
            slopes = all => slopes,
            // What was under way is dropped, and each child ends with its owner.
            () = stopped() => Err(anyhow!("interrupted; all that was started has been ended")),
        }
    })?;
    let report = Report {
        machine,
        revision: revision(),
        seed: bench.seed,
        quick: bench.quick,
        took_s: began.elapsed().as_secs_f64(),
        slopes,
    };
    if let Some(out) = &options.out {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(out, text + "\n").with_context(|| format!("cannot write {}", out.display()))?;
    }
    crate::model::output::print(&screen(&report))
}

/// The report as a table.
fn screen(report: &Report) -> String {
    let mut t = new_table(&["slope", "y", "measured at x", "per x", "at 0", "r2", "bend: low, high"], 3);
    for slope in &report.slopes {
        let points: Vec<String> = slope.points.iter().map(|p| format!("{}: {}", p.x, figure(p.y))).collect();
        let mut row = vec![slope.name.clone(), slope.y.clone(), points.join("  ")];
        match &slope.fit {
            Some(fit) => {
                let bend = fit.bend.map(|(low, high)| format!("{}, {}", figure(low), figure(high)));
                row.extend([
                    figure(fit.line.slope),
                    figure(fit.line.intercept),
                    format!("{:.3}", fit.line.r2),
                ]);
                row.push(bend.unwrap_or_default());
            }
            None => row.extend(["", "", "", ""].map(str::to_owned)),
        }
        t.add_row(row);
    }
    let mut remarks = String::new();
    for slope in report.slopes.iter().filter(|s| !s.remark.is_empty()) {
        remarks += &format!("\n{}: {}", slope.name, slope.remark);
    }
    let Machine { cores, processor, memory_mb } = &report.machine;
    format!(
        "{t}{remarks}\n\n{cores} cores, {processor}, {memory_mb} MB; revision {}, seed {}{}; {:.0} s",
        report.revision,
        report.seed,
        if report.quick { ", quick: no figures for documents" } else { "" },
        report.took_s
    )
}

/// A number with four figures that count.
fn figure(x: f64) -> String {
    let digits = if x == 0.0 { 0 } else { (3 - x.abs().log10().floor() as i32).clamp(0, 9) };
    format!("{x:.*}", digits as usize)
}
