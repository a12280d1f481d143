//! The measurements of the model that belong to a complete run of `zincstand scale`: depth and failures of a fleet.

use std::path::{Path, PathBuf};

use anyhow::Result;

use crate::model::depth::{self, DepthArgs};
use crate::model::failures::{self, FailuresArgs};

/// Depths to run, in tiers.
const DEPTHS_TIERS: [usize; 5] = [2, 4, 8, 16, 30];
/// Number of servers in the scenarios of failures. With the 2,000 servers that the design plans for, a run of all
/// measurements would take longer than ten minutes.
const FAILURE_SERVERS: u32 = 602;
/// Calls per second to each balancer in the scenarios of failures.
const FAILURE_CALLS_PER_S: f64 = 4.5;

/// Runs both measurements. If `out` is given, writes their results to the same directory, as `NAME.depth.json` and
/// `NAME.failures.json`.
///
/// # Errors
/// Fails if a file cannot be written.
pub fn run(seed: u64, quick: bool, out: Option<&Path>) -> Result<()> {
    depth::run(&DepthArgs {
        tiers: DEPTHS_TIERS.to_vec(),
        seed,
        seeds: None,
        quick,
        out: sibling_path(out, "depth"),
    })?;
    failures::run(&FailuresArgs {
        servers: (!quick).then_some(FAILURE_SERVERS),
        rate: Some(FAILURE_CALLS_PER_S),
        seed,
        quick,
        out: sibling_path(out, "failures"),
    })
}

/// Returns the path of the result of the named measurement, in the directory of `out`.
fn sibling_path(out: Option<&Path>, name: &str) -> Option<PathBuf> {
    out.map(|out| out.with_extension(format!("{name}.json")))
}
