//! Where, and from what, measured figures come: machine, revision, time and memory.

use std::fs::File;
use std::path::Path;
use std::process::Command;
use std::time::Instant;

use anyhow::{Context, Result};
use serde::Serialize;

/// The origin of a result. The field names are those of the JSON that `--out` writes.
#[derive(Serialize)]
pub struct Provenance {
    cores: usize,
    cpu: String,
    /// The commit that is checked out where the command runs, if any.
    revision: Option<String>,
    /// The most memory that the process has held so far, in bytes.
    pub peak_memory: u64,
    /// Duration of the computation, in seconds.
    pub seconds: f64,
}

impl Provenance {
    /// The origin of a result whose computation began at this instant and has just ended.
    pub fn since(began: Instant) -> Provenance {
        Provenance {
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            cpu: proc_value("/proc/cpuinfo", "model name").unwrap_or_else(|| "unknown".to_owned()),
            revision: revision(),
            peak_memory: peak_memory(),
            seconds: began.elapsed().as_secs_f64(),
        }
    }

    /// The peak memory in whole MB (2^20 bytes).
    pub fn peak_memory_mb(&self) -> u64 {
        self.peak_memory >> 20
    }
}

/// Writes a result with its origin as JSON.
///
/// # Errors
/// A file that cannot be written.
pub fn write_result<T: Serialize>(
    path: &Path,
    what: &str,
    provenance: &Provenance,
    result: &T,
) -> Result<()> {
    let cannot_write = || format!("cannot write {}", path.display());
    let file = File::create(path).with_context(cannot_write)?;
    let document = serde_json::json!({ "what": what, "source": provenance, "result": result });
    serde_json::to_writer_pretty(file, &document).with_context(cannot_write)
}

/// The value of the first line `key: value` of a file of the kernel.
fn proc_value(file: &str, key: &str) -> Option<String> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find(|line| line.starts_with(key))?;
    let (_, value) = line.split_once(':')?;
    Some(value.trim().to_owned())
}

fn peak_memory() -> u64 {
    let peak = proc_value("/proc/self/status", "VmHWM").unwrap_or_default();
    let kilobytes: u64 = peak.trim_end_matches(" kB").parse().unwrap_or(0);
    kilobytes * 1_024
}

fn revision() -> Option<String> {
    let output = Command::new("git").args(["rev-parse", "--short", "HEAD"]).output().ok()?;
    output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
}
