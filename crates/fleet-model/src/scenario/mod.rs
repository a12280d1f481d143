//! A scenario: the fleet, the traffic, the rules and the faults of one simulated run, as its file describes them.
//!
//! The keys of the file are documented in `docs/scenario-files.md` and fixed by it, because stored scenario files must
//! stay readable: a field or variant whose Rust name differs carries its key in `#[serde(rename)]`, and only there.
//! `validation` finds the first invalid value. `policy_settings` derives the settings of the balancers.

mod environment;
mod error;
mod fault;
mod policy_settings;
mod rules;
mod tier;
mod traffic;
mod validation;

use serde::{Deserialize, Serialize};

pub use environment::{Balancers, Discovery, DiscoveryMode, Network};
pub use error::ScenarioError;
pub use fault::{Fault, FaultKind};
pub use rules::{Goal, Limits, Prices, Rules};
pub use tier::{Choke, Connections, Tier};
pub use traffic::{Class, Clients, DistributionKind, Idempotency, Load, LoadShape, Tenant};

use crate::span::Span;

/// A scenario. Everything that its fields leave open is drawn from `seed` during the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in tables.
    pub name: String,
    /// Seed of every random draw.
    pub seed: u64,
    /// Time during which requests arrive.
    pub length: Span,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Latencies between machines.
    pub network: Network,
    /// Delivery of endpoint lists to the balancers.
    pub discovery: Discovery,
    /// Whether calls of a later tier carry the time that their caller has left; otherwise each has its class's full
    /// deadline.
    pub passes_deadline: bool,
    /// The balancers of the first tier. A later tier has one balancer for each server of the tier before it.
    pub balancers: Balancers,
    /// Rate and distribution of the requests.
    pub load: Load,
    /// Behaviour of the clients.
    pub clients: Clients,
    /// Limits of the balancers.
    pub limits: Limits,
    /// Parameters of the four rules.
    pub rules: Rules,
    /// Weights of the parts of the result.
    pub goal: Goal,
    /// Prices that reduce the result.
    pub prices: Prices,
    /// The tiers, in the order of calls. Clients call the first one.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The tenants that share the service.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// The faults.
    #[serde(rename = "fault", default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Reads a scenario from the text of its file and validates it.
    ///
    /// # Errors
    ///
    /// The text is not TOML, has an unknown or missing key, or an invalid value. The error names the line.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario =
            toml::from_str(text).map_err(|error| ScenarioError::from_syntax(text, &error))?;
        match scenario.validate() {
            Ok(()) => Ok(scenario),
            Err(invalid_value) => Err(invalid_value.in_file(text)),
        }
    }

    /// Returns the text of the scenario's file.
    ///
    /// # Errors
    ///
    /// A value cannot be written as TOML.
    pub fn text(&self) -> Result<String, ScenarioError> {
        Ok(toml::to_string(self)?)
    }

    /// Checks that the scenario can be run.
    ///
    /// # Errors
    ///
    /// A value is out of range or contradicts another one. The error names the key of the first such value.
    pub fn check(&self) -> Result<(), ScenarioError> {
        self.validate().map_err(validation::InvalidValue::without_file)
    }
}
