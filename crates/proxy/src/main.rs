//! The real balancer; `zincstand_proxy`, the library, has all of it.

use std::process::ExitCode;

fn main() -> ExitCode {
    match zincstand_proxy::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("zincstand-proxy: {why}");
            ExitCode::FAILURE
        }
    }
}
