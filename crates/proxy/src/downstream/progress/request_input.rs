//! How much of the current request has been read from the client, and how its body is framed.

use std::cell::Cell;

use crate::downstream::framing::Framing;

/// Why a request cannot be passed on to hyper. Its connection is closed after the error response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProtocolError {
    /// The head cannot be parsed, or the end of the body is ambiguous.
    MalformedHead,
    /// The head is longer than the read-ahead buffer.
    HeadTooLarge,
}

/// The state of the current request on the receiving side.
#[derive(Default)]
pub(super) struct RequestInput {
    /// Whether the current request's body is chunked.
    chunked: Cell<bool>,
    /// Whether bytes of the current request have not been read yet.
    unread: Cell<bool>,
    protocol_error: Cell<Option<ProtocolError>>,
}

impl RequestInput {
    /// Records the complete head of a request and the framing of its body.
    pub(super) fn record_head(&self, framing: Framing) {
        self.chunked.set(framing == Framing::Chunked);
        self.unread.set(framing != Framing::Length(0));
    }

    /// Records the last byte of the request.
    pub(super) fn record_end(&self) {
        self.unread.set(false);
    }

    /// Records that the request cannot be passed on. The rest of it is never read as a request.
    pub(super) fn record_error(&self, error: ProtocolError) {
        self.protocol_error.set(Some(error));
        self.unread.set(true);
    }

    /// Returns why the request could not be passed on; `None` if it could.
    pub(super) fn protocol_error(&self) -> Option<ProtocolError> {
        self.protocol_error.get()
    }

    /// Returns whether the client may still be sending a part of the request.
    pub(super) fn is_unread(&self) -> bool {
        self.unread.get()
    }

    /// Returns whether the body is chunked, so that only hyper can tell where it ends.
    pub(super) fn is_chunked(&self) -> bool {
        self.chunked.get()
    }
}
