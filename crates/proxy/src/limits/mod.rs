//! What is limited and can be taken and given back, with a limit that may change.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// So much of something is taken, of so much at the most.
pub struct ResizableLimit {
    used: Cell<usize>,
    most: Cell<usize>,
    freed: Notify,
}

/// A part that is taken; given back when dropped.
pub struct Permit {
    gauge: Rc<ResizableLimit>,
    amount: usize,
}

impl ResizableLimit {
    /// Nothing taken yet.
    pub fn new(most: usize) -> Rc<ResizableLimit> {
        Rc::new(ResizableLimit { used: Cell::new(0), most: Cell::new(most), freed: Notify::new() })
    }

    /// Takes a part, if there is room for it.
    pub fn try_acquire(self: &Rc<Self>, amount: usize) -> Option<Permit> {
        let fits = self.used.get().checked_add(amount).is_some_and(|used| used <= self.most.get());
        fits.then(|| self.acquire_over_limit(amount))
    }

    /// Takes a part, room or not.
    pub fn acquire_over_limit(self: &Rc<Self>, amount: usize) -> Permit {
        self.used.set(self.used.get() + amount);
        Permit { gauge: self.clone(), amount }
    }

    /// Another limit. What is taken stays so.
    pub fn resize(&self, most: usize) {
        self.most.set(most);
        self.freed.notify_one();
    }

    /// How much more is taken than the limit allows.
    pub fn excess(&self) -> usize {
        self.used.get().saturating_sub(self.most.get())
    }

    /// How much of it is taken, as a part of the whole.
    pub fn used_part(&self) -> f64 {
        self.used.get() as f64 / self.most.get().max(1) as f64
    }

    /// Waits until something has been given back.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Waits until nothing is taken.
    pub async fn empty(&self) {
        while self.used.get() > 0 {
            self.freed().await;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gauge.used.set(self.gauge.used.get() - self.amount);
        self.gauge.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
