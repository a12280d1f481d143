//! What a client connection is waiting for.

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestStage {
    /// No byte of a request has come.
    Idle,
    /// A part of a head has come.
    Head,
    /// The head has come, the body is coming.
    Body,
    /// The request has come completely and is not answered.
    Open,
}
