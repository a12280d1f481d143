//! `zincstand scale`: measures the cost of the balancer by size, on loopback sockets. Each measurement is bounded in time
//! and in number of processes.

mod added_time;
mod control;
mod memory;
mod report;
mod updates;
mod watched_discovery;
mod watchers;

use std::path::{Path, PathBuf};
use std::time::Instant;

use anyhow::{Context, Result, anyhow, bail};
use clap::{Args, Subcommand};
use tokio::signal::unix::{SignalKind, signal};
use zincstand_testbed::machine::{Machine, ResourceNeeds, raise_descriptor_limit};
use zincstand_testbed::report::{Report, Slope};

use crate::model::fleet_size;
use crate::model::output::print;

/// File name of the balancer's program, in the folder of this program.
const BALANCER_PROGRAM: &str = "zincstand-proxy";
/// Numbers of known upstreams that are measured unless the command line names others.
const UPSTREAMS: [u32; 5] = [10, 34, 200, 600, 2_000];
/// [`UPSTREAMS`] with `--quick`.
const QUICK_UPSTREAMS: [u32; 3] = [10, 200, 2_000];

#[derive(Args)]
#[command(
    after_help = "Examples:\n  cargo build --release && cargo run --release -p zincstand -- scale --out \
                  scale.json\n  zincstand scale --quick\n  zincstand scale added-time --upstreams 10,200,2000\n\n\
                  Everything listens on loopback; at most 300 processes are started, and each is ended by its own \
                  id, also on Ctrl-C."
)]
/// Arguments of `zincstand scale`.
pub struct Scale {
    #[command(flatten)]
    options: Options,
    /// The measurement to run; without it `model depth`, `model failures` and all measurements on sockets
    #[command(subcommand)]
    part: Option<Part>,
}

/// Options of every measurement.
#[derive(Args)]
struct Options {
    /// Fewer points and shorter runs: a first look, without figures for documents
    #[arg(long, global = true)]
    quick: bool,
    /// Also write the report as JSON to this file
    #[arg(long, global = true, value_name = "FILE.json")]
    out: Option<PathBuf>,
    /// Seed of all random numbers
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// The balancer's program; by default `zincstand-proxy` in the folder of this program
    #[arg(long, global = true, value_name = "PATH")]
    balancer: Option<PathBuf>,
    /// Numbers of known upstreams, separated by commas; by default 10,34,200,600,2000, or 10,200,2000 with --quick
    #[arg(long, global = true, value_delimiter = ',', value_parser = clap::value_parser!(u32).range(1..=10_000))]
    upstreams: Option<Vec<u32>>,
}

/// The measurements on sockets.
#[derive(Clone, Copy, Debug, PartialEq, Subcommand)]
enum Part {
    /// Time added to a call, by rate and by known upstreams: at most 2.5 minutes
    AddedTime,
    /// Memory by upstreams, connections, calls in flight, classes and tenants: at most 1.5 minutes
    Memory,
    /// Processor time and bytes with no calls at all: at most 1.5 minutes
    Control,
    /// Time from a change at discovery until the last balancer applies it: at most 1 minute
    Updates,
    /// Load of discovery at rest, at a change and after an outage: at most 2 minutes
    Watchers,
}

impl Part {
    const ALL: [Part; 5] = [Part::AddedTime, Part::Memory, Part::Control, Part::Updates, Part::Watchers];

    fn plan(self, bench: &Bench) -> MeasurementPlan {
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

/// Announcement of a measurement before it starts.
struct MeasurementPlan {
    /// One line with the processes it starts and how long it takes.
    description: String,
    /// Resources of the machine that it needs.
    needs: ResourceNeeds,
}

/// Parameters of every measurement.
struct Bench {
    /// Path of the balancer's program.
    balancer: PathBuf,
    seed: u64,
    /// Whether to measure fewer points in shorter runs.
    quick: bool,
    /// Numbers of known upstreams to measure.
    upstreams: Vec<usize>,
}

impl Bench {
    fn new(options: &Options) -> Result<Bench> {
        let standard: &[u32] = if options.quick { &QUICK_UPSTREAMS } else { &UPSTREAMS };
        let upstreams = options.upstreams.as_deref().unwrap_or(standard);
        Ok(Bench {
            balancer: program(options.balancer.as_deref())?,
            seed: options.seed,
            quick: options.quick,
            upstreams: upstreams.iter().map(|&count| count as usize).collect(),
        })
    }

    /// Returns the largest number of known upstreams.
    fn most_upstreams(&self) -> usize {
        self.upstreams.iter().copied().max().unwrap_or(0)
    }
}

/// Returns the path of the balancer's program: `named`, or [`BALANCER_PROGRAM`] in the folder of this program.
///
/// # Errors
/// There is no such file.
fn program(named: Option<&Path>) -> Result<PathBuf> {
    let path = match named {
        Some(path) => path.to_owned(),
        None => std::env::current_exe()
            .context("the path of this program is unknown; name the balancer with --balancer PATH")?
            .with_file_name(BALANCER_PROGRAM),
    };
    if !path.is_file() {
        bail!(
            "there is no balancer at {}: build it with `cargo build --release`, or name it with --balancer PATH",
            path.display()
        );
    }
    Ok(path)
}

/// Measures, prints and writes the report.
///
/// # Errors
/// There is no balancer to measure, the machine is too small, a measurement fails or is interrupted, or the file cannot
/// be written.
pub fn run(Scale { options, part }: Scale) -> Result<()> {
    let bench = Bench::new(&options)?;
    let parts = part.map_or(Part::ALL.to_vec(), |part| vec![part]);
    let machine = Machine::detect();
    check_needs(&parts, &bench, &machine)?;
    if part.is_none() {
        // The model does not handle Ctrl-C, so it has to run before the runtime starts, which takes over that signal.
        fleet_size::run(options.seed, options.quick, options.out.as_deref())?;
    }
    let began = Instant::now();
    let slopes = measure_until_interrupted(parts, &bench)?;
    let report = Report {
        machine,
        revision: report::revision(),
        seed: bench.seed,
        quick: bench.quick,
        duration_s: began.elapsed().as_secs_f64(),
        slopes,
    };
    if let Some(path) = &options.out {
        report::write(path, &report)?;
    }
    print(&report::table(&report))
}

/// Prints what the measurements will start, and checks that the machine has the resources for it.
///
/// # Errors
/// The machine is too small.
fn check_needs(parts: &[Part], bench: &Bench, machine: &Machine) -> Result<()> {
    let mut needs = ResourceNeeds::default();
    for part in parts {
        let plan = part.plan(bench);
        eprintln!("{}", plan.description);
        needs = needs.max(plan.needs);
    }
    needs.check(machine, raise_descriptor_limit())?;
    eprintln!("in all at most {} processes at once and {} MB", needs.processes, needs.memory_mb);
    Ok(())
}

/// Runs the measurements until they are complete or the process is interrupted.
fn measure_until_interrupted(parts: Vec<Part>, bench: &Bench) -> Result<Vec<Slope>> {
    let runtime = tokio::runtime::Runtime::new().context("no threads for the stand-ins")?;
    runtime.block_on(async {
        tokio::select! {
            slopes = measure_all(parts, bench) => slopes,
            // Dropping the measurement ends each child process by its owner.
            () = interrupted() => Err(anyhow!("interrupted; all that was started has been ended")),
        }
    })
}

async fn measure_all(parts: Vec<Part>, bench: &Bench) -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    for part in parts {
        eprintln!("{part:?} ...");
        slopes.extend(part.measure(bench).await?);
    }
    Ok(slopes)
}

/// Waits for Ctrl-C or SIGTERM.
async fn interrupted() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = terminate.recv() => {}
        },
        Err(_) => drop(tokio::signal::ctrl_c().await),
    }
}
