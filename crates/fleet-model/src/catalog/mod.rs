//! The catalog of scenarios: named kinds, drawn from a seed at a size.
//!
//! A seed decides the whole scenario, so the order of draws in this module is part of its interface.

mod base;
mod faults;
mod plain;

pub(crate) use base::{mean_work, split_between_zones};
pub(crate) use faults::fault;
pub(crate) use plain::plain;

use crate::random::{self, Purpose};
use crate::scenario::{Scenario, ScenarioError};

/// Number of the random stream for the fault of the first part. Later parts use the following numbers.
const FIRST_FAULT_STREAM: u64 = 1_000;

/// Size of the fleet of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// 4 + 5 servers and 2 balancers, as in tests on real sockets.
    Small,
    /// 6 to 8 servers of the first tier and 2 or 3 balancers, as in production.
    Site,
    /// About 100 balancers and 60 servers.
    Vast,
    /// About 1,000 balancers and 600 servers.
    Huge,
}

impl Size {
    /// All sizes, in ascending order.
    pub const ALL: [Size; 4] = [Size::Small, Size::Site, Size::Vast, Size::Huge];

    /// Returns the name of the size in commands.
    pub fn name(self) -> &'static str {
        match self {
            Size::Small => "small",
            Size::Site => "site",
            Size::Vast => "vast",
            Size::Huge => "huge",
        }
    }
}

/// No size has the given name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown size {name:?}; choose one of: {known}")]
pub struct UnknownSize {
    /// The unknown name.
    name: String,
    /// The names of all sizes, joined by commas.
    known: String,
}

impl std::str::FromStr for Size {
    type Err = UnknownSize;

    /// Returns the size with this name.
    fn from_str(name: &str) -> Result<Size, UnknownSize> {
        let found = Size::ALL.into_iter().find(|size| size.name() == name);
        found
            .ok_or_else(|| UnknownSize { name: name.to_owned(), known: Size::ALL.map(Size::name).join(", ") })
    }
}

/// The parts of kinds, each with its description. A part sets the traffic or adds a fault. Kinds join parts with `+`.
pub const PARTS: [(&str, &str); 19] = [
    ("calm", "little traffic, nothing goes wrong"),
    ("busy", "the traffic of a busy day, nothing goes wrong"),
    ("overload", "more traffic than the fleet can carry"),
    ("errors", "some servers fail most requests at once for a while"),
    ("heavy", "some requests of a class cost many times the usual"),
    ("deploy", "a rolling deploy of nearly all servers of a tier"),
    ("silent", "a server takes requests and answers none"),
    ("slowclass", "a server is slow for one class only"),
    ("resets", "connections to some servers break"),
    ("zone", "a zone is lost, comes back and warms up"),
    ("join", "six in ten servers are replaced within 7 s"),
    ("killed", "a balancer is killed and starts again"),
    ("restart", "balancers restart one after the other"),
    ("upgrade", "every balancer's process is replaced and hands over its learned state"),
    ("bare", "the same, and the new process starts without learned state"),
    ("hand", "operators take servers out, restart them and put them back"),
    ("evacuate", "a balancer sends its clients away for a while"),
    ("disco", "discovery sends nothing for a while"),
    ("together", "all balancers restart at once, without learned state"),
];

/// The kinds that an experiment runs by default.
pub const STANDARD: [&str; 14] = [
    "calm",
    "busy",
    "overload",
    "errors+heavy",
    "deploy",
    "silent",
    "slowclass",
    "resets",
    "zone",
    "join",
    "killed",
    "upgrade+hand",
    "hand+deploy",
    "disco+deploy",
];

/// Draws a scenario of a kind, such as `"hand+deploy"`.
///
/// # Errors
///
/// The kind has a part that is not in [`PARTS`]. The error lists all parts.
pub fn generate(kind: &str, seed: u64, size: Size) -> Result<Scenario, ScenarioError> {
    let parts: Vec<&str> = kind.split('+').collect();
    for part in &parts {
        if !PARTS.iter().any(|(name, _)| name == part) {
            let known: Vec<&str> = PARTS.iter().map(|(name, _)| *name).collect();
            return Err(ScenarioError::UnknownPart { part: (*part).to_owned(), known: known.join(", ") });
        }
    }
    let mut scenario = base::draw(seed, size, &parts);
    scenario.name = format!("{kind} {seed} {}", size.name());
    for (index, part) in parts.iter().enumerate() {
        let mut rng = random::stream(seed, Purpose::Failure, FIRST_FAULT_STREAM + index as u64);
        faults::add(&mut scenario, part, &mut rng);
    }
    scenario.faults.sort_by_key(|fault| fault.at);
    scenario.check()?;
    Ok(scenario)
}
