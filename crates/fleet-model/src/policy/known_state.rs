//! State that a baseline keeps for each server and each open request.

use zincstand_policy::{Micros, ServerEntry, ServerId};

/// A server on the endpoint list.
pub(super) struct KnownServer {
    /// The latest entry of the server.
    pub entry: ServerEntry,
    /// Number of attempts that this balancer has in flight at the server.
    pub in_flight: u32,
}

/// A request without a final response.
pub(super) struct OpenRequest {
    /// Index of the class.
    pub class: usize,
    /// Time of arrival at the balancer.
    pub arrived: Micros,
    /// Deadline of the request.
    pub deadline: Micros,
    /// Number of attempts sent.
    pub attempts_sent: u32,
    /// The first attempt that a server may have executed. `None` if there is none.
    pub possible_run: Option<PossibleRun>,
    /// Server of the latest attempt. `None` before the first one.
    pub last_server: Option<ServerId>,
}

/// An attempt that a server may have executed.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    /// Time at which it was sent.
    pub sent_at: Micros,
    /// Cell of the server.
    pub cell: u32,
}
