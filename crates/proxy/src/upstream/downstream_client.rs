//! The interface through which the upstream side uses the client of a request. The downstream side implements it, so
//! that the upstream side does not depend on the downstream side.

use tokio::time::Instant;

/// The downstream client whose request is forwarded.
pub trait DownstreamClient {
    /// Returns whether the client has disconnected, according to the kernel. Checked before the first byte of each
    /// attempt, since nothing may be sent for a client that is no longer waiting.
    fn is_disconnected(&self) -> bool;

    /// Sets whether the proxy is waiting for the client to send more of the request's body. The proxy is not waiting
    /// while the upstream accepts no more bytes: the upstream then causes the delay, and the limit on the client's pace
    /// does not apply.
    fn set_waiting_for_body(&self, waiting: bool);

    /// Returns the earliest time at which the last byte of the request's body may have arrived: now while the proxy waits
    /// for the client, and otherwise when it last did so.
    fn earliest_body_end(&self) -> Instant;
}
