//! `zincstand scale`: measures on loopback sockets how the costs of the balancer grow with the size of the fleet. Each
//! measurement is bounded in time and in number of processes.

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

/// File name of the balancer's executable, in the directory of this executable.
const BALANCER_PROGRAM: &str = "zincstand-proxy";
/// Numbers of known upstreams that are measured unless the command line sets others.
const UPSTREAM_COUNTS: [u32; 5] = [10, 34, 200, 600, 2_000];
/// [`UPSTREAM_COUNTS`] with `--quick`.
const QUICK_UPSTREAM_COUNTS: [u32; 3] = [10, 200, 2_000];

#[derive(Args)]
#[command(
    after_help = "Examples:\n  cargo build --release && cargo run --release -p zincstand -- scale --out \
                  scale.json\n  zincstand scale --quick\n  zincstand scale added-time --upstreams 10,200,2000\n\n\
                  All sockets are on loopback. At most 300 processes are started; all of them are stopped at the end \
                  of the measurement and on Ctrl-C."
)]
/// Arguments of `zincstand scale`.
pub struct Arguments {
    #[command(flatten)]
    options: Options,
    /// The measurement to run; by default `model depth`, `model failures` and all measurements on sockets
    #[command(subcommand)]
    part: Option<MeasurementKind>,
}

/// Options of every measurement.
#[derive(Args)]
struct Options {
    /// Measure fewer points in shorter runs; the figures are too rough to be published
    #[arg(long, global = true)]
    quick: bool,
    /// Also write the report as JSON to this file
    #[arg(long, global = true, value_name = "FILE.json")]
    out: Option<PathBuf>,
    /// Seed of the random number generators
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// Executable of the balancer; by default `zincstand-proxy` in the directory of this executable
    #[arg(long, global = true, value_name = "PATH")]
    balancer: Option<PathBuf>,
    /// Numbers of known upstreams, separated by commas; by default 10,34,200,600,2000, or 10,200,2000 with --quick
    #[arg(long, global = true, value_delimiter = ',', value_parser = clap::value_parser!(u32).range(1..=10_000))]
    upstreams: Option<Vec<u32>>,
}

/// The measurements on sockets.
#[derive(Clone, Copy, Debug, PartialEq, Subcommand)]
enum MeasurementKind {
    /// Latency added to a call, by call rate and number of known upstreams: at most 2.5 minutes
    AddedTime,
    /// Memory by number of upstreams, connections, calls in flight, classes and tenants: at most 1.5 minutes
    Memory,
    /// Processor time and network traffic of balancers without calls: at most 1.5 minutes
    Control,
    /// Time from a change at discovery until the last balancer has applied it: at most 1 minute
    Updates,
    /// Load of discovery when idle, at a change and after an outage: at most 2 minutes
    Watchers,
}

impl MeasurementKind {
    const ALL: [MeasurementKind; 5] = [
        MeasurementKind::AddedTime,
        MeasurementKind::Memory,
        MeasurementKind::Control,
        MeasurementKind::Updates,
        MeasurementKind::Watchers,
    ];

    fn plan(self, parameters: &Parameters) -> MeasurementPlan {
        match self {
            MeasurementKind::AddedTime => added_time::plan(parameters),
            MeasurementKind::Memory => memory::plan(parameters),
            MeasurementKind::Control => control::plan(parameters),
            MeasurementKind::Updates => updates::plan(parameters),
            MeasurementKind::Watchers => watchers::plan(parameters),
        }
    }

    async fn measure(self, parameters: &Parameters) -> Result<Vec<Slope>> {
        match self {
            MeasurementKind::AddedTime => added_time::measure(parameters).await,
            MeasurementKind::Memory => memory::measure(parameters).await,
            MeasurementKind::Control => control::measure(parameters).await,
            MeasurementKind::Updates => updates::measure(parameters).await,
            MeasurementKind::Watchers => watchers::measure(parameters).await,
        }
    }
}

/// Description and resource needs of a measurement, known before it runs.
struct MeasurementPlan {
    /// One line that states the started processes and the duration.
    description: String,
    /// Resources that the machine must have.
    needs: ResourceNeeds,
}

/// Parameters of every measurement.
struct Parameters {
    /// Path of the balancer's executable.
    balancer: PathBuf,
    seed: u64,
    /// Whether to measure fewer points in shorter runs.
    quick: bool,
    /// Numbers of known upstreams to measure.
    upstreams: Vec<usize>,
}

impl Parameters {
    fn new(options: &Options) -> Result<Parameters> {
        let default_counts: &[u32] = if options.quick { &QUICK_UPSTREAM_COUNTS } else { &UPSTREAM_COUNTS };
        let upstreams = options.upstreams.as_deref().unwrap_or(default_counts);
        Ok(Parameters {
            balancer: balancer_program(options.balancer.as_deref())?,
            seed: options.seed,
            quick: options.quick,
            upstreams: upstreams.iter().map(|&count| count as usize).collect(),
        })
    }

    /// Returns the largest number of known upstreams.
    fn max_upstreams(&self) -> usize {
        self.upstreams.iter().copied().max().unwrap_or(0)
    }
}

/// Returns the path of the balancer's executable: `option`, or [`BALANCER_PROGRAM`] in the directory of this
/// executable.
///
/// # Errors
/// There is no such file.
fn balancer_program(option: Option<&Path>) -> Result<PathBuf> {
    let path = match option {
        Some(path) => path.to_owned(),
        None => std::env::current_exe()
            .context(
                "cannot determine the path of this executable; set the balancer's path with --balancer PATH",
            )?
            .with_file_name(BALANCER_PROGRAM),
    };
    if !path.is_file() {
        bail!(
            "balancer executable not found at {}: build it with `cargo build --release`, or set its path \
             with --balancer PATH",
            path.display()
        );
    }
    Ok(path)
}

/// Runs the measurements, writes the report as JSON if requested, and prints it as a table.
///
/// # Errors
/// The balancer's executable does not exist, the machine is too small, a measurement fails or is interrupted, or the
/// file cannot be written.
pub fn run(Arguments { options, part: measurement }: Arguments) -> Result<()> {
    let parameters = Parameters::new(&options)?;
    let kinds = measurement.map_or(MeasurementKind::ALL.to_vec(), |kind| vec![kind]);
    let machine = Machine::detect();
    check_needs(&kinds, &parameters, &machine)?;
    if measurement.is_none() {
        // The model does not handle Ctrl-C. It has to run before the measurements on sockets, because these install a
        // handler that replaces the signal's default action.
        fleet_size::run(options.seed, options.quick, options.out.as_deref())?;
    }
    let started_at = Instant::now();
    let slopes = measure_until_interrupted(kinds, &parameters)?;
    let report = Report {
        machine,
        revision: report::revision(),
        seed: parameters.seed,
        quick: parameters.quick,
        duration_s: started_at.elapsed().as_secs_f64(),
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
fn check_needs(kinds: &[MeasurementKind], parameters: &Parameters, machine: &Machine) -> Result<()> {
    let mut needs = ResourceNeeds::default();
    for kind in kinds {
        let plan = kind.plan(parameters);
        eprintln!("{}", plan.description);
        needs = needs.max(plan.needs);
    }
    needs.check(machine, raise_descriptor_limit())?;
    eprintln!("total: at most {} processes at a time and {} MB", needs.processes, needs.memory_mb);
    Ok(())
}

/// Runs the measurements until they are complete or the process is interrupted.
fn measure_until_interrupted(kinds: Vec<MeasurementKind>, parameters: &Parameters) -> Result<Vec<Slope>> {
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime of the stand-ins")?;
    runtime.block_on(async {
        tokio::select! {
            slopes = measure_all(kinds, parameters) => slopes,
            // Dropping the future of the measurement drops the owners of the child processes, which stops them.
            () = interrupted() => Err(anyhow!("interrupted; all started processes have been stopped")),
        }
    })
}

async fn measure_all(kinds: Vec<MeasurementKind>, parameters: &Parameters) -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    for kind in kinds {
        eprintln!("{kind:?} ...");
        slopes.extend(kind.measure(parameters).await?);
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
