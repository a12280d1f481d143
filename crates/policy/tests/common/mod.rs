//! A simulated environment of one balancer, which checks each of its actions against the rules.

#![allow(dead_code, reason = "each test program uses another part of this module")]

mod checker;
pub mod fixtures;
mod simulation;

use zincstand_policy::{DedupScope, Idempotency};

pub use fixtures::{MS, SECOND, settings};
pub use simulation::{AttemptInFlight, Response, Simulation, ends_after, ok_after};

/// Idempotency of a class whose repeats the servers of a cell drop for a second.
pub const KEYED_CELL: Idempotency = Idempotency::WithKey { scope: DedupScope::Cell, window: SECOND };
