//! The program `zincstand-proxy`. All of it is in the library of the same name.

use std::io::{self, Write};
use std::process::ExitCode;

use zincstand_proxy::ErrorChain;

fn main() -> ExitCode {
    match zincstand_proxy::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Without a reader of the error the exit code has to do.
            let _ = writeln!(io::stderr(), "zincstand-proxy: {}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}
