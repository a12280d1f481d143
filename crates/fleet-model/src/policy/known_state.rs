//! What a baseline knows of a server and of an open request.

use zincstand_policy::{Micros, ServerEntry, ServerId};

/// A server on the list.
pub(super) struct KnownServer {
    pub entry: ServerEntry,
    /// The balancer's own attempts.
    pub in_flight: u32,
}

/// A request without a final answer.
pub(super) struct OpenRequest {
    pub class: usize,
    pub arrived: Micros,
    pub deadline: Micros,
    pub attempts_sent: u32,
    /// The first attempt that may have run.
    pub possible_run: Option<PossibleRun>,
    pub last_server: Option<ServerId>,
}

/// An attempt that a server may have executed.
#[derive(Clone, Copy)]
pub(super) struct PossibleRun {
    pub sent_at: Micros,
    pub cell: u32,
}
