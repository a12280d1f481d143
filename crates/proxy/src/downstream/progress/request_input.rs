//! How much of the current request has been read from the client, and how its body is framed.

use std::cell::Cell;

use crate::downstream::framing::Framing;
use crate::memory::MemoryCause;

/// Why a request is not served. Its connection is closed after the error response, if one can be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// The head cannot be parsed, or the end of the body is ambiguous.
    MalformedHead,
    /// The head is longer than the read-ahead buffer.
    HeadTooLarge,
    /// Memory is short.
    MemoryShort(MemoryCause),
}

/// The state of the current request on the receiving side.
#[derive(Default)]
pub(super) struct RequestInput {
    /// Whether the current request's body is chunked.
    chunked: Cell<bool>,
    /// Whether bytes of the current request have not been read yet.
    unread: Cell<bool>,
    rejection: Cell<Option<Rejection>>,
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

    /// Records that the request is not served. The rest of it is never read as a request.
    pub(super) fn record_rejection(&self, rejection: Rejection) {
        self.rejection.set(Some(rejection));
        self.unread.set(true);
    }

    /// Returns why the request is not served; `None` if it may be.
    pub(super) fn rejection(&self) -> Option<Rejection> {
        self.rejection.get()
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
