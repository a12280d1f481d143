//! Output of the commands: results on standard output, progress on standard error.

use std::io::Write;

use anyhow::Result;
use indicatif::{ProgressBar, ProgressStyle};

/// Prints lines to standard output, without trailing spaces.
///
/// # Errors
/// Fails if standard output cannot be written to. `println!` would panic instead, also when a reader such as `head`
/// closes the pipe early, which is not an error.
pub fn print(text: &str) -> Result<()> {
    let mut output = std::io::stdout().lock();
    for line in text.lines() {
        writeln!(output, "{}", line.trim_end())?;
    }
    output.flush()?;
    Ok(())
}

/// Returns a progress bar over this number of scenarios.
pub fn progress_bar(scenarios: u64) -> ProgressBar {
    let bar = ProgressBar::new(scenarios);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} scenarios, {eta} left") {
        bar.set_style(style);
    }
    bar
}
