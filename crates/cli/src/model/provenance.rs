//! Origin of measured figures: machine, revision, time and memory.

use std::fs::File;
use std::path::Path;
use std::process::Command;
use std::time::Instant;

use anyhow::{Context, Result};
use indicatif::ProgressBar;
use serde::Serialize;

use crate::model::output::progress_bar;

/// Origin of a result. Its field names are the keys in the JSON that `--out` writes.
#[derive(Serialize)]
pub struct Provenance {
    /// Number of cores that the process may use.
    cores: usize,
    /// Model of the processor.
    cpu: String,
    /// Commit that is checked out where the command runs; `None` outside of a repository.
    revision: Option<String>,
    /// Peak resident memory of the process so far, in bytes.
    pub peak_memory: u64,
    /// Duration of the computation, in seconds.
    pub seconds: f64,
}

impl Provenance {
    /// Returns the origin of a result whose computation started at `started` and has just ended.
    pub fn since(started: Instant) -> Provenance {
        Provenance {
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            cpu: proc_value("/proc/cpuinfo", "model name").unwrap_or_else(|| "unknown".to_owned()),
            revision: revision(),
            peak_memory: peak_memory(),
            seconds: started.elapsed().as_secs_f64(),
        }
    }

    /// Returns the peak memory in MB (2^20 bytes), rounded down.
    pub fn peak_memory_mb(&self) -> u64 {
        self.peak_memory >> 20
    }
}

/// Result of a measurement with its origin.
pub struct Measured<T> {
    /// Result of the measurement.
    pub result: T,
    /// Machine, revision, time and memory of the measurement.
    pub provenance: Provenance,
}

impl<T: Serialize> Measured<T> {
    /// Runs a measurement, which advances the progress bar once for each of its `scenarios`.
    ///
    /// # Errors
    /// Fails with the error of the measurement.
    pub fn run<E>(
        scenarios: u64,
        measurement: impl FnOnce(&ProgressBar) -> Result<T, E>,
    ) -> Result<Measured<T>, E> {
        let bar = progress_bar(scenarios);
        let started = Instant::now();
        let result = measurement(&bar)?;
        bar.finish_and_clear();
        Ok(Measured { result, provenance: Provenance::since(started) })
    }

    /// Writes the result with its origin as JSON; `name` is the name of the measurement.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn write(&self, path: &Path, name: &str) -> Result<()> {
        let cannot_write = || format!("cannot write {}", path.display());
        let file = File::create(path).with_context(cannot_write)?;
        // Stored results have these keys, so they must not change.
        let document = serde_json::json!({ "what": name, "source": self.provenance, "result": self.result });
        serde_json::to_writer_pretty(file, &document).with_context(cannot_write)
    }
}

/// Returns the value of the first line `key: value` of a file in `/proc`, or `None` if there is no such line.
fn proc_value(file: &str, key: &str) -> Option<String> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find(|line| line.starts_with(key))?;
    let (_, value) = line.split_once(':')?;
    Some(value.trim().to_owned())
}

/// Returns the peak resident memory of the process in bytes, or 0 if the kernel does not report it.
fn peak_memory() -> u64 {
    let peak = proc_value("/proc/self/status", "VmHWM").unwrap_or_default();
    let kilobytes: u64 = peak.trim_end_matches(" kB").parse().unwrap_or(0);
    kilobytes * 1_024
}

/// Returns the abbreviated commit that is checked out; `None` outside of a repository or without git.
fn revision() -> Option<String> {
    let output = Command::new("git").args(["rev-parse", "--short", "HEAD"]).output().ok()?;
    output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
}
