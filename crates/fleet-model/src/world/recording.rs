//! Recording of the work that reaches servers after their start, for the analysis of slow start.

use zincstand_policy::Micros;

use super::index::ServerIndex;

/// An attempt that reached a server after the server had started during the scenario.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalAtServer {
    /// The server.
    pub server: ServerIndex,
    /// Start time of the server's process.
    pub started: Micros,
    /// Time of arrival.
    pub at: Micros,
    /// Work in microseconds, including that of a new connection.
    pub work: f64,
    /// Whether the sender had been notified of this start.
    pub informed: bool,
}

/// A start of a server's process during the scenario.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerStart {
    /// The server.
    pub server: ServerIndex,
    /// Time of the start.
    pub at: Micros,
    /// Work per microsecond after the warm-up.
    pub full_capacity: f64,
}

/// Starts of servers, and the attempts that reached them afterwards.
#[derive(Default)]
pub(crate) struct StartRecording {
    /// Starts in the order of time.
    pub starts: Vec<ServerStart>,
    /// Arrivals in the order of time.
    pub arrivals: Vec<ArrivalAtServer>,
}
