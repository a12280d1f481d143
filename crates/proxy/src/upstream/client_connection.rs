//! What the upstream side has to know of the client's connection, without a dependency on the downstream side.

/// The connection of the client whose request is forwarded.
pub trait ClientConnection {
    /// Whether the client has disconnected, as the kernel knows it at this moment. Asked before the first byte of
    /// each attempt: nothing may be sent for a client that no longer waits.
    fn is_disconnected(&self) -> bool;

    /// Whether more of the request's body is wanted now. While it is not, because the upstream does not take what
    /// has come, a slow body is not the client's fault and its time limit does not run.
    fn want_body(&self, wanted: bool);
}
