//! Source of a command's scenario: a scenario file, or a random draw from a kind and a seed.

use std::io::Read;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use clap::Args;
use zincstand_fleet_model::catalog::{self, Size};
use zincstand_fleet_model::scenario::Scenario;

/// File argument that selects standard input.
const STANDARD_INPUT: &str = "-";

/// Arguments of a scenario that is drawn at random from a kind and a seed.
#[derive(Args, Clone)]
pub struct DrawnScenario {
    /// Kind of the scenario: parts joined by +, as `kinds` lists them
    #[arg(long, default_value = "busy")]
    kind: String,
    /// Seed of the draw
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Size of the fleet: small, site, vast or huge
    #[arg(long, default_value = "site")]
    size: Size,
}

impl DrawnScenario {
    /// Draws the scenario.
    ///
    /// # Errors
    /// Fails if the kind does not exist; the message lists the parts of kinds.
    pub fn draw(&self) -> Result<Scenario> {
        Ok(catalog::generate(&self.kind, self.seed, self.size)?)
    }
}

/// Arguments of a scenario that is read from a file or drawn.
#[derive(Args, Clone)]
pub struct ScenarioSource {
    /// Scenario file, or - for standard input; without it the scenario is drawn
    file: Option<PathBuf>,
    #[command(flatten)]
    drawn: DrawnScenario,
}

impl ScenarioSource {
    /// Reads or draws the scenario.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is not a valid scenario, or if the kind does not exist. The message names the
    /// file, and the line that is not valid.
    pub fn scenario(&self) -> Result<Scenario> {
        match &self.file {
            Some(path) => {
                let text = read_text(path)?;
                Scenario::parse(&text).with_context(|| path.display().to_string())
            }
            None => self.drawn.draw(),
        }
    }
}

/// Reads a file, or standard input for `-`.
fn read_text(path: &Path) -> Result<String> {
    if path.as_os_str() != STANDARD_INPUT {
        return std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()));
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).context("cannot read standard input")?;
    Ok(text)
}
