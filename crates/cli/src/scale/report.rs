//! Output of the measurements as a table and as JSON.

use std::path::Path;
use std::process::Command;

use anyhow::{Context, Result};
use zincstand_testbed::machine::Machine;
use zincstand_testbed::report::{Report, Slope};
use zincstand_testbed::slope::Fit;

use crate::model::columns::new_table;

/// Number of significant digits of a printed number after the first one.
const SIGNIFICANT_DIGITS_AFTER_FIRST: i32 = 3;
/// Maximum number of digits after the decimal point.
const MAX_DECIMALS: i32 = 9;

/// Writes the report as JSON.
///
/// # Errors
/// The file cannot be written.
pub fn write(path: &Path, report: &Report) -> Result<()> {
    let text = serde_json::to_string_pretty(report)?;
    std::fs::write(path, text + "\n").with_context(|| format!("cannot write {}", path.display()))
}

/// Formats the report as a table, followed by the remarks, the machine, the revision, the seed and the duration.
pub fn table(report: &Report) -> String {
    let header = ["slope", "y", "measured at x", "per x", "at 0", "r2", "bend: low, high"];
    let mut table = new_table(&header, 3);
    let mut remarks = String::new();
    for slope in &report.slopes {
        table.add_row(slope_cells(slope));
        if !slope.remark.is_empty() {
            remarks.push('\n');
            remarks.push_str(&slope.name);
            remarks.push_str(": ");
            remarks.push_str(&slope.remark);
        }
    }
    let Machine { cores, processor, memory_mb } = &report.machine;
    format!(
        "{table}{remarks}\n\n{cores} cores, {processor}, {memory_mb} MB; revision {}, seed {}{}; {:.0} s",
        report.revision,
        report.seed,
        if report.quick { ", quick run, not for publication" } else { "" },
        report.duration_s
    )
}

fn slope_cells(slope: &Slope) -> Vec<String> {
    let points: Vec<String> =
        slope.points.iter().map(|point| format!("{}: {}", point.x, format_number(point.y))).collect();
    let mut cells = vec![slope.name.clone(), slope.y.clone(), points.join("  ")];
    cells.extend(slope.fit.as_ref().map_or_else(Default::default, fit_cells));
    cells
}

fn fit_cells(fit: &Fit) -> [String; 4] {
    let bend = fit.bend.map(|bend| format!("{}, {}", format_number(bend.lower), format_number(bend.upper)));
    [
        format_number(fit.line.slope),
        format_number(fit.line.intercept),
        format!("{:.3}", fit.line.r2),
        bend.unwrap_or_default(),
    ]
}

/// Formats a number with four significant digits.
fn format_number(value: f64) -> String {
    let decimals = if value == 0.0 {
        0
    } else {
        let magnitude = value.abs().log10().floor() as i32;
        (SIGNIFICANT_DIGITS_AFTER_FIRST - magnitude).clamp(0, MAX_DECIMALS)
    };
    format!("{value:.*}", decimals as usize)
}

/// Returns the revision of the repository in the current directory, followed by `+` if tracked files differ from
/// it, or `unknown` outside of a repository.
pub fn revision() -> String {
    let Some(revision) = git(&["rev-parse", "--short=12", "HEAD"]) else {
        return "unknown".to_owned();
    };
    let changes = git(&["status", "--porcelain", "--untracked-files=no"]);
    if changes.is_some_and(|changes| !changes.is_empty()) { revision + "+" } else { revision }
}

/// Returns the output of a git command, or `None` if it fails.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
}
