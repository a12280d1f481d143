//! The program `zincstand-proxy`, which starts the proxy and reports why it cannot start.

use std::io::{self, Write};
use std::process::ExitCode;

use zincstand_proxy::ErrorChain;

fn main() -> ExitCode {
    match zincstand_proxy::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // If standard error cannot be written, the exit code still reports the failure.
            let _ = writeln!(io::stderr(), "zincstand-proxy: {}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}
