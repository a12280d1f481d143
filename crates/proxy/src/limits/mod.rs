//! A limit on a countable resource, and permits for amounts of it. The limit can be changed while permits are in use.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// A limit on a resource, with the amount in use. The unit depends on the use: connections or bytes.
pub struct ResizableLimit {
    used: Cell<usize>,
    limit: Cell<usize>,
    /// Notified when a permit is dropped or the limit changes.
    released: Notify,
}

/// A permit for an amount of the resource. Dropping it releases the amount.
pub struct Permit {
    limit: Rc<ResizableLimit>,
    amount: usize,
}

impl ResizableLimit {
    /// Creates a limit with an amount in use of 0.
    pub fn new(limit: usize) -> Rc<ResizableLimit> {
        Rc::new(ResizableLimit { used: Cell::new(0), limit: Cell::new(limit), released: Notify::new() })
    }

    /// Acquires `amount`, or returns `None` if that would exceed the limit.
    pub fn try_acquire(self: &Rc<Self>, amount: usize) -> Option<Permit> {
        let used = self.used.get().checked_add(amount)?;
        (used <= self.limit.get()).then(|| self.acquire_ignoring_limit(amount))
    }

    /// Acquires `amount` without checking the limit, which may then be exceeded.
    pub fn acquire_ignoring_limit(self: &Rc<Self>, amount: usize) -> Permit {
        self.used.set(self.used.get() + amount);
        Permit { limit: self.clone(), amount }
    }

    /// Changes the limit. Existing permits stay valid, even if they exceed the new limit.
    pub fn resize(&self, limit: usize) {
        self.limit.set(limit);
        self.released.notify_one();
    }

    /// Returns the amount in use in excess of the limit; 0 if the limit is not exceeded.
    pub fn excess(&self) -> usize {
        self.used.get().saturating_sub(self.limit.get())
    }

    /// Returns the amount in use as a fraction of the limit. It is above 1 while the limit is exceeded.
    pub fn used_fraction(&self) -> f64 {
        self.used.get() as f64 / self.limit.get().max(1) as f64
    }

    /// Waits until a permit is released or the limit changes. Each such event wakes one waiter.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    /// Waits until every permit is released.
    pub async fn all_released(&self) {
        while self.used.get() > 0 {
            self.released().await;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limit.used.set(self.limit.used.get() - self.amount);
        self.limit.released.notify_one();
    }
}

#[cfg(test)]
mod tests;
