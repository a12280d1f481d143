//! A deterministic model of a fleet in virtual time: servers, discovery, network, clients, faults and scoring.
//!
//! A [`scenario::Scenario`] describes a run, and [`run_scenario`] runs it with a [`policy::Kind`]. A scenario and a
//! policy give the same result to the byte on every machine. `docs/model.md` describes the model and its limits.

#![forbid(unsafe_code)]

pub mod catalog;
pub mod depth;
pub mod experiment;
pub mod failures;
pub mod policy;
mod random;
pub mod scenario;
pub mod scoring;
mod server;
pub mod slow_start;
mod span;
mod table;
mod world;

pub use server::{GroundTruth, TrueState};
pub use span::Span;
pub use world::{PolicyFactory, ScenarioRun, run_scenario, run_scenario_with};
