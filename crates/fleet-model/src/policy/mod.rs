//! Policies of balancers in the model: the decision module that the proxy runs, and baselines for comparison.

mod baseline;
mod full_knowledge;
mod known_state;
mod selection;

use std::str::FromStr;

use zincstand_policy::{Action, Balancer, Event, LearnedState, Micros, Settings, SettingsError};

use self::baseline::Baseline;
use self::selection::Strategy;
use crate::server::GroundTruth;

/// Makes the decisions of one balancer process.
pub trait Policy: Send {
    /// Handles an event and appends the resulting actions. `now` is in microseconds of the balancer's own clock. Only
    /// the baseline with full knowledge reads `truth`.
    fn handle(&mut self, now: Micros, event: Event, truth: &GroundTruth<'_>, actions: &mut Vec<Action>);

    /// Exports the learned state for a process that replaces this one. `None` if the policy learns nothing.
    fn learned_state(&self, _now: Micros) -> Option<LearnedState> {
        None
    }

    /// Restores the learned state of another process.
    fn restore(&mut self, _now: Micros, _learned: &LearnedState) {}
}

impl Policy for Balancer {
    fn handle(&mut self, now: Micros, event: Event, _: &GroundTruth<'_>, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn learned_state(&self, now: Micros) -> Option<LearnedState> {
        Some(Balancer::learned_state(self, now))
    }

    fn restore(&mut self, now: Micros, learned: &LearnedState) {
        Balancer::restore(self, now, learned);
    }
}

/// The policies that a scenario can be run with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The decision module that the proxy runs.
    Module,
    /// Any ready server, drawn at random.
    Random,
    /// All ready servers in turn.
    RoundRobin,
    /// Of two random ready servers, the server with fewer attempts of the balancer in flight.
    TwoChoices,
    /// The ready server with the fewest attempts of the balancer in flight, without concurrency limits or breakers.
    LeastInFlight,
    /// A policy that knows the true state of every server, which no real balancer can.
    Oracle,
}

/// Error for a name that no policy has.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown policy {name:?}; the policies are {}", Kind::ALL.map(Kind::name).join(", "))]
pub struct UnknownPolicy {
    /// The unknown name.
    pub name: String,
}

impl Kind {
    /// All policies, in the order of tables.
    pub const ALL: [Kind; 6] =
        [Kind::Module, Kind::Random, Kind::RoundRobin, Kind::TwoChoices, Kind::LeastInFlight, Kind::Oracle];

    /// Returns the name of the policy in commands and files.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Module => "module",
            Kind::Random => "random",
            Kind::RoundRobin => "round-robin",
            Kind::TwoChoices => "two-choices",
            Kind::LeastInFlight => "least-in-flight",
            Kind::Oracle => "oracle",
        }
    }

    /// Creates a policy of this kind for one process.
    ///
    /// # Errors
    ///
    /// The decision module rejects the settings.
    pub(crate) fn create_policy(
        self,
        settings: Settings,
        seed: u64,
    ) -> Result<Box<dyn Policy>, SettingsError> {
        let strategy = match self {
            Kind::Module => return Ok(Box::new(Balancer::new(settings, seed)?)),
            Kind::Random => Strategy::Random,
            Kind::RoundRobin => Strategy::RoundRobin,
            Kind::TwoChoices => Strategy::TwoChoices,
            Kind::LeastInFlight => Strategy::LeastInFlight,
            Kind::Oracle => Strategy::FullKnowledge,
        };
        Ok(Box::new(Baseline::new(strategy, settings, seed)))
    }
}

impl FromStr for Kind {
    type Err = UnknownPolicy;

    /// Returns the policy with this name.
    fn from_str(name: &str) -> Result<Kind, UnknownPolicy> {
        let found = Kind::ALL.into_iter().find(|kind| kind.name() == name);
        found.ok_or_else(|| UnknownPolicy { name: name.to_owned() })
    }
}
