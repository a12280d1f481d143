//! The phases between the start of the process and its exit.

/// How far the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Accepts and serves clients.
    Running,
    /// Evacuated by operators until they rejoin it: not ready, and each response closes its connection.
    Evacuated,
    /// Shutdown was requested: not ready, but connections are still accepted.
    Draining,
    /// The listener is closed and each response closes its connection.
    ClosingListener,
    /// As [`Phase::ClosingListener`], but another process accepts on the same socket: clients may keep their
    /// connections until the next response.
    HandingOver,
}

impl Phase {
    /// Whether shutdown was requested.
    pub fn is_shutting_down(self) -> bool {
        match self {
            Phase::Running | Phase::Evacuated => false,
            Phase::Draining | Phase::ClosingListener | Phase::HandingOver => true,
        }
    }

    /// Whether each response closes its connection.
    pub fn closes_connections(self) -> bool {
        match self {
            Phase::Running | Phase::Draining => false,
            Phase::Evacuated | Phase::ClosingListener | Phase::HandingOver => true,
        }
    }
}
