//! The interface through which the upstream side uses the client of a request. The downstream side implements it, so
//! that the upstream side does not depend on the downstream side.

/// The downstream client whose request is forwarded.
pub trait DownstreamClient {
    /// Returns whether the client has disconnected, according to the kernel. Checked before the first byte of each
    /// attempt, since nothing may be sent for a client that is no longer waiting.
    fn is_disconnected(&self) -> bool;

    /// Sets whether the proxy is waiting for the client to send more of the request's body. The proxy is not waiting
    /// while the upstream accepts no more bytes: the upstream then causes the delay, and the client's time limit does
    /// not run.
    fn set_waiting_for_body(&self, waiting: bool);
}
