//! `zincstand`: one command for all that the balancer's team does.

mod model;
mod scale;

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
    let done = match Command::parse() {
        Command::Model(command) => model::run(command),
        Command::Scale(command) => scale::run(command),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // A reader that has seen enough, such as `head`, is no failure.
            let closed = |c: &(dyn std::error::Error + 'static)| {
                c.downcast_ref::<std::io::Error>().is_some_and(|e| e.kind() == std::io::ErrorKind::BrokenPipe)
            };
            if e.chain().any(closed) {
                return ExitCode::SUCCESS;
            }
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
