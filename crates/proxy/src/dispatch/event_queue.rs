//! The queue of events for the policy.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use zincstand_policy::Event;

/// Events that the policy has not handled yet, in order, and the flag that prevents reentrant handling.
///
/// Applying an action of the policy may cause another event on the same call stack. That event waits in the queue until
/// all actions of the event before it are applied.
#[derive(Default)]
pub(super) struct EventQueue {
    events: RefCell<VecDeque<Event>>,
    /// Whether a caller further up the stack is taking events from the queue.
    is_handling: Cell<bool>,
}

impl EventQueue {
    /// Runs `operation` on the queue. All accesses borrow the queue here, and the borrows are never nested: the
    /// operations below only add or remove one event.
    fn with_events<R>(&self, operation: impl FnOnce(&mut VecDeque<Event>) -> R) -> R {
        operation(&mut self.events.borrow_mut())
    }

    /// Adds an event at the end of the queue.
    pub(super) fn push(&self, event: Event) {
        self.with_events(|events| events.push_back(event));
    }

    /// Begins to handle the queued events. Returns false if a caller further up the stack is already handling them.
    pub(super) fn begin_handling(&self) -> bool {
        !self.is_handling.replace(true)
    }

    /// Removes and returns the first event. When none is left it returns `None`, and handling has ended.
    pub(super) fn next(&self) -> Option<Event> {
        let event = self.with_events(VecDeque::pop_front);
        if event.is_none() {
            self.is_handling.set(false);
        }
        event
    }
}
