//! A scenario: the fleet, the traffic, the rules and the faults of one simulated run, as its file describes them.
//!
//! The keys of the file are documented in `docs/days.md` and fixed by it: a field may only be renamed together with
//! `#[serde(rename)]`. [`validation`] finds the first contradiction, [`policy_settings`] derives what a balancer
//! of the scenario is configured with.

mod environment;
mod error;
mod fault;
mod policy_settings;
mod rules;
mod tier;
mod traffic;
mod validation;

use serde::{Deserialize, Serialize};

pub use environment::{Asking, Balancers, Discovery, Network};
pub use error::ScenarioError;
pub use fault::{Fault, FaultKind};
pub use rules::{Goal, Limits, Prices, Rules};
pub use tier::{Choke, Connections, Tier};
pub use traffic::{Class, Clients, Effect, Load, Shape, Spread, Tenant};

use crate::span::Span;

/// A whole day. What a field leaves open is drawn from `seed` as the day is played.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the day is called in tables.
    pub name: String,
    /// Decides every draw of the day.
    pub seed: u64,
    /// For how long requests arrive.
    pub length: Span,
    /// The zones' names.
    pub zones: Vec<String>,
    /// Latencies between machines.
    pub network: Network,
    /// How lists of servers arrive.
    pub discovery: Discovery,
    /// Calls of a later tier carry their caller's time left, not their class's whole deadline.
    pub passes_deadline: bool,
    /// The balancers of the first tier; a later tier has one for each server of the tier before.
    pub balancers: Balancers,
    /// What arrives.
    pub load: Load,
    /// How clients behave.
    pub clients: Clients,
    /// What balancers may do.
    pub limits: Limits,
    /// Figures of the four rules.
    pub rules: Rules,
    /// Weights of the parts of the result.
    pub goal: Goal,
    /// What costs points of the result.
    pub prices: Prices,
    /// The tiers, first the one that clients call.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Those who share the service.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// What goes wrong.
    #[serde(rename = "fault", default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Reads a scenario from the text of its file and validates it.
    ///
    /// # Errors
    ///
    /// The text is not TOML, has an unknown or missing key, or contradicts itself. The error names the line.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|error| ScenarioError::from_syntax(text, &error))?;
        match scenario.find_contradiction() {
            Ok(()) => Ok(scenario),
            Err(contradiction) => Err(contradiction.in_file(text)),
        }
    }

    /// The text of the scenario's file.
    ///
    /// # Errors
    ///
    /// A value cannot be written as TOML.
    pub fn text(&self) -> Result<String, ScenarioError> {
        Ok(toml::to_string(self)?)
    }

    /// Tells whether the scenario can be played.
    ///
    /// # Errors
    ///
    /// It contradicts itself; the error names the key of the first contradiction.
    pub fn check(&self) -> Result<(), ScenarioError> {
        self.find_contradiction().map_err(validation::Contradiction::without_file)
    }
}
