//! State that the owner of a fleet can change while the balancers run.

use std::sync::RwLock;
use std::sync::atomic::AtomicBool;

use zincstand_policy::ServerState;

/// An entry that applied lists are searched for.
#[derive(Clone, Debug, PartialEq)]
pub struct MarkedEntry {
    /// The name of the instance.
    pub instance: String,
    /// The state that the entry must have.
    pub state: ServerState,
}

/// State that the owner of a fleet shares with its threads.
#[derive(Default)]
pub struct FleetControl {
    /// Lists that contain this entry are reported as marked; `None` to mark no lists.
    pub mark: RwLock<Option<MarkedEntry>>,
    /// Whether the threads of slow balancers are blocked repeatedly.
    pub is_stalling: AtomicBool,
}
