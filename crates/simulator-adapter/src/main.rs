//! Connects the policy to the simulator: reads the simulator's messages from standard input and writes the
//! replies to standard output.
//!
//! One process hosts many balancers, which share only the endpoint tables. The program exits at the end
//! of the input, with status 0 if the input ends between two batches.

#![forbid(unsafe_code)]

mod error;
mod host;
mod wire;

use std::io::{self, BufRead, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

use crate::error::AdapterError;
use crate::host::{BatchState, Host};

/// Size of the buffers for input and output. A batch may have megabytes.
const BUFFER_SIZE_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("zincstand-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to each batch until the input ends.
///
/// # Errors
///
/// Returns the first error of the input, with its line, or an error of the output.
fn run(input: impl Read, output: impl Write) -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(BUFFER_SIZE_BYTES, input);
    let mut output = BufWriter::with_capacity(BUFFER_SIZE_BYTES, output);
    let mut host = Host::default();
    let mut reply = Vec::new();
    let mut text = Vec::new();
    let mut line = 0;
    loop {
        text.clear();
        line += 1;
        let length =
            input.read_until(b'\n', &mut text).map_err(|source| AdapterError::Read { line, source })?;
        if length == 0 {
            break;
        }
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let message = serde_json::from_slice(&text).map_err(|source| AdapterError::Parse { line, source })?;
        let batch =
            host.receive(message, &mut reply).map_err(|source| AdapterError::Message { line, source })?;
        if batch == BatchState::Complete {
            output.write_all(&reply).map_err(AdapterError::Write)?;
            output.flush().map_err(AdapterError::Write)?;
            reply.clear();
        }
    }
    if host.is_in_batch() {
        return Err(AdapterError::IncompleteBatch { line });
    }
    Ok(())
}
