//! The memory that the response bodies of all simultaneous calls to discovery may take together.

use std::cell::Cell;
use std::rc::Rc;

use crate::discovery::error::DiscoveryError;

/// Maximum number of bytes of all bodies together: one of the maximum size, or two lists of the largest fleet.
const MAX_BUFFERED_BYTES: usize = 2 << 20;

/// The bytes that are still free.
pub(super) struct BufferBudget {
    free_bytes: Cell<usize>,
}

impl BufferBudget {
    /// Returns a budget of which nothing is reserved.
    pub(super) fn new() -> Rc<BufferBudget> {
        Rc::new(BufferBudget { free_bytes: Cell::new(MAX_BUFFERED_BYTES) })
    }
}

/// A part of the budget. Dropping it releases its bytes.
pub(super) struct Reservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

impl Reservation {
    /// Returns a reservation of no bytes.
    pub(super) fn empty(budget: Rc<BufferBudget>) -> Reservation {
        Reservation { budget, bytes: 0 }
    }

    /// Reserves more bytes.
    ///
    /// # Errors
    /// [`DiscoveryError::BuffersFull`] if the budget has fewer free bytes.
    pub(super) fn grow(&mut self, bytes: usize) -> Result<(), DiscoveryError> {
        let free = self.budget.free_bytes.get();
        let remaining = free.checked_sub(bytes).ok_or(DiscoveryError::BuffersFull)?;
        self.budget.free_bytes.set(remaining);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.free_bytes.set(self.budget.free_bytes.get() + self.bytes);
    }
}

#[cfg(test)]
mod tests;
