//! `zincstand scale`: what the balancer costs by size, on real sockets. Bounded in time and count, on loopback alone.

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
use zincstand_testbed::machine::{Machine, Needs, raise_descriptor_limit};
use zincstand_testbed::report::{Report, Slope};

use crate::model::fleet_size;
use crate::model::output::print;

/// File name of the balancer's program, beside this one.
const BALANCER_PROGRAM: &str = "zincstand-proxy";
/// Upstreams in the list where the command line names none.
const UPSTREAMS: [u32; 5] = [10, 34, 200, 600, 2_000];
const QUICK_UPSTREAMS: [u32; 3] = [10, 200, 2_000];

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

    fn plan(self, bench: &Bench) -> Plan {
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

/// What a measurement starts and needs.
struct Plan {
    /// What it starts and how long it takes, in a line.
    description: String,
    /// What it takes of the machine.
    needs: Needs,
}

/// What every measurement is given.
struct Bench {
    /// The balancer's program.
    balancer: PathBuf,
    seed: u64,
    /// Fewer points and shorter runs.
    quick: bool,
    /// Numbers of upstreams in the list.
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
            std::env::current_exe().context("where this program stands")?.with_file_name(BALANCER_PROGRAM)
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

/// Measures, prints and writes the report.
///
/// # Errors
/// No balancer to measure, a machine that is too small, a measurement that fails or is interrupted, a file that cannot
/// be written.
pub fn run(Scale { options, part }: Scale) -> Result<()> {
    let bench = Bench::new(&options)?;
    let parts = part.map_or(Part::ALL.to_vec(), |part| vec![part]);
    let machine = Machine::here();
    check_needs(&parts, &bench, &machine)?;
    if part.is_none() {
        // Before the runtime starts: from then on it handles Ctrl-C, which the model does not know of.
        fleet_size::run(options.seed, options.quick, options.out.as_deref())?;
    }
    let began = Instant::now();
    let slopes = measure_until_interrupted(parts, &bench)?;
    let report = Report {
        machine,
        revision: report::revision(),
        seed: bench.seed,
        quick: bench.quick,
        took_s: began.elapsed().as_secs_f64(),
        slopes,
    };
    if let Some(path) = &options.out {
        report::write(path, &report)?;
    }
    print(&report::table(&report))
}

/// Prints what the measurements will start, and checks that the machine has room for it.
fn check_needs(parts: &[Part], bench: &Bench, machine: &Machine) -> Result<()> {
    let mut needs = Needs::default();
    for part in parts {
        let plan = part.plan(bench);
        eprintln!("{}", plan.description);
        needs = needs.or(plan.needs);
    }
    needs.check(machine, raise_descriptor_limit())?;
    eprintln!("in all at most {} processes at once and {} MB", needs.processes, needs.memory_mb);
    Ok(())
}

fn measure_until_interrupted(parts: Vec<Part>, bench: &Bench) -> Result<Vec<Slope>> {
    let runtime = tokio::runtime::Runtime::new().context("no threads for the stand-ins")?;
    runtime.block_on(async {
        tokio::select! {
            slopes = measure_all(parts, bench) => slopes,
            // What is under way is dropped, and each child process ends with its owner.
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
