//! The stages of a client connection.

/// The stage of a client connection. Each variant says what the connection waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionStage {
    /// The first byte of a request.
    Idle,
    /// The rest of a request head.
    Head,
    /// The rest of a request body.
    Body,
    /// The end of the response to a complete request.
    Open,
}

impl ConnectionStage {
    /// Returns whether a request has begun to arrive and is not complete.
    pub fn is_receiving(self) -> bool {
        matches!(self, ConnectionStage::Head | ConnectionStage::Body)
    }
}
