//! A simulation of one balancer's environment, which checks each action of the balancer against the rules.

#![allow(dead_code, reason = "each test program uses a different part of this module")]

mod checker;
pub mod fixtures;
mod simulation;

use zincstand_policy::{DedupScope, Idempotency};

pub use fixtures::{MS, SECOND, settings};
pub use simulation::{AttemptInFlight, Response, Simulation, ends_after, ok_after};

/// Idempotency of a class with idempotency keys: servers of the same cell drop repeats for one second.
pub const KEYED_PER_CELL: Idempotency = Idempotency::WithKey { scope: DedupScope::Cell, window: SECOND };
