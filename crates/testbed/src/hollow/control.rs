//! What the owner of a fleet sets while the balancers run.

use std::sync::RwLock;
use std::sync::atomic::AtomicBool;

use zincstand_policy::ServerState;

/// An entry of the list to look for.
#[derive(Clone, Debug, PartialEq)]
pub struct MarkedEntry {
    /// The instance's name.
    pub instance: String,
    /// The state in which the entry must be.
    pub state: ServerState,
}

/// What the owner of a fleet and its threads share.
#[derive(Default)]
pub struct FleetControl {
    /// Lists that hold this entry are marked.
    pub mark: RwLock<Option<MarkedEntry>>,
    /// Whether slow balancers are slow now.
    pub is_stalling: AtomicBool,
}
