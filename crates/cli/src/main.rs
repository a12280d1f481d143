//! `zincstand`: the command line of the balancer's team.

#![forbid(unsafe_code)]

mod model;
mod scale;

use std::io::ErrorKind;
use std::process::ExitCode;

use clap::Parser;

/// A deadline-aware HTTP/1.1 balancer, and the laboratory that it is judged in.
#[derive(Parser)]
#[command(name = "zincstand", version, arg_required_else_help = true)]
enum Command {
    /// Whole days of the fleet in virtual time
    #[command(subcommand)]
    Model(model::Command),
    /// What the balancer costs by size, on real sockets: slopes with their lines
    Scale(scale::Scale),
}

fn main() -> ExitCode {
    let result = match Command::parse() {
        Command::Model(command) => model::run(command),
        Command::Scale(command) => scale::run(command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        // A reader that has seen enough, such as `head`, is no failure.
        Err(error) if is_broken_pipe(&error) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn is_broken_pipe(error: &anyhow::Error) -> bool {
    let io_errors = error.chain().filter_map(|cause| cause.downcast_ref::<std::io::Error>());
    io_errors.into_iter().any(|cause| cause.kind() == ErrorKind::BrokenPipe)
}
