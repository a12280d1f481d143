//! The world around the balancers in virtual time: servers, discovery, network, clients, faults, and a judge.
//!
//! [`day::Day`] tells a day, [`play`] plays it with one [`policy::Kind`]. A day and a policy give the same
//! result to the byte on every machine. `docs/model.md` says what is modelled and how far it holds.

pub mod day;
pub mod depth;
mod draw;
pub mod experiment;
pub mod failures;
pub mod judge;
pub mod kinds;
pub mod policy;
pub mod ramp;
mod server;
mod span;
mod world;

pub use server::{TrueState, Truth};
pub use span::Span;
pub use world::{Played, Start, play, play_with};
