//! `zincstand`: the command line tools of the load balancer.

#![forbid(unsafe_code)]

mod model;
mod scale;

use std::io::ErrorKind;
use std::process::ExitCode;

use clap::Parser;

/// Tools for the HTTP/1.1 load balancer zincstand: a simulation of the fleet and measurements on sockets.
#[derive(Parser)]
#[command(name = "zincstand", version, arg_required_else_help = true)]
enum Command {
    /// Simulate a fleet of balancers and upstreams in virtual time
    #[command(subcommand)]
    Model(model::Command),
    /// Measure on loopback sockets how the costs of the balancer grow with the size of the fleet
    Scale(scale::Arguments),
}

fn main() -> ExitCode {
    let result = match Command::parse() {
        Command::Model(command) => model::run(command),
        Command::Scale(arguments) => scale::run(arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        // A reader such as `head` may close the pipe early; that is not an error.
        Err(error) if is_broken_pipe(&error) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether the error was caused by a closed output pipe.
fn is_broken_pipe(error: &anyhow::Error) -> bool {
    let io_errors = error.chain().filter_map(|cause| cause.downcast_ref::<std::io::Error>());
    io_errors.into_iter().any(|cause| cause.kind() == ErrorKind::BrokenPipe)
}
