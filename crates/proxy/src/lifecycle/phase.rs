//! The phases of the process from its start to its exit.

/// A phase of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// The process accepts and serves clients.
    Running,
    /// Operators have evacuated the balancer. It reports that it is not ready, and each response closes its connection.
    Evacuated,
    /// Shutdown was requested. The process reports that it is not ready, but still accepts connections.
    Draining,
    /// The process accepts no connections except those that are already in the listener's accept queue. Each response closes
    /// its connection, and idle connections are closed early.
    ClosingListener,
    /// This process has stopped accepting, and another process accepts from the same socket. Each response closes its
    /// connection, but idle connections stay open until their next response or the idle timeout.
    HandingOver,
}

impl Phase {
    /// Returns whether shutdown was requested.
    pub fn is_shutting_down(self) -> bool {
        match self {
            Phase::Running | Phase::Evacuated => false,
            Phase::Draining | Phase::ClosingListener | Phase::HandingOver => true,
        }
    }

    /// Returns whether each response closes its connection.
    pub fn closes_connections(self) -> bool {
        match self {
            Phase::Running | Phase::Draining => false,
            Phase::Evacuated | Phase::ClosingListener | Phase::HandingOver => true,
        }
    }
}
