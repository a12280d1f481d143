//! A deterministic model of a fleet in virtual time: servers, discovery, network, clients, faults, and scoring.
//!
//! [`scenario::Scenario`] describes a run, [`play`] plays it with one [`policy::Kind`]. A scenario and a policy give
//! the same result to the byte on every machine. `docs/model.md` says what is modelled and how far it holds.

#![forbid(unsafe_code)]

pub mod catalog;
pub mod depth;
pub mod experiment;
pub mod failures;
pub mod policy;
pub mod ramp;
mod random;
pub mod scenario;
pub mod scoring;
mod server;
mod span;
mod world;

pub use server::{TrueState, Truth};
pub use span::Span;
pub use world::{Played, Start, play, play_with};
