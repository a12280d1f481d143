//! The ids of open requests: upstreams could not distinguish two requests with the same id.

use std::cell::RefCell;
use std::collections::HashSet;

use hyper::header::HeaderValue;

/// The ids of the requests that are open.
#[derive(Default)]
pub struct OpenRequestIds {
    ids: RefCell<HashSet<HeaderValue>>,
}

/// The id of one open request, which is free again when this is dropped.
pub struct OpenRequestId<'a> {
    open: &'a OpenRequestIds,
    id: HeaderValue,
}

impl OpenRequestIds {
    /// Opens a request under an id; `None` if one is open under it already.
    pub fn open(&self, id: &HeaderValue) -> Option<OpenRequestId<'_>> {
        let inserted = self.ids.borrow_mut().insert(id.clone());
        inserted.then(|| OpenRequestId { open: self, id: id.clone() })
    }
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.open.ids.borrow_mut().remove(&self.id);
    }
}
