//! The program `zincstand-proxy`. All of it is in the library of the same name.

use std::process::ExitCode;

use zincstand_proxy::ErrorChain;

fn main() -> ExitCode {
    match zincstand_proxy::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("zincstand-proxy: {}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}
