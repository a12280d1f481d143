//! The policy's and the requests' timers.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use zincstand_policy::{Micros, RequestId};

use crate::dispatch::completion::AttemptId;

/// A queue with fewer timers is never pruned: the freed memory would not be worth a pass over the queue.
pub(super) const MIN_PRUNE_LENGTH: usize = 512;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// A timer that the policy has set.
    Policy {
        /// Identifies the timer to the policy.
        token: u64,
    },
    /// The time limit of an attempt.
    AttemptLimit(AttemptId),
    /// The end of the time within which an attempt must begin.
    BeginLimit(AttemptId),
    /// The time, shortly before the client's deadline, at which the request fails if the policy has left it without a
    /// response.
    RequestDeadline(RequestId),
}

/// The timers that are set, with the signal that wakes the timer task.
pub(super) struct Timers {
    queue: RefCell<TimerQueue>,
    /// Wakes the timer task when a timer was set that is due before all others.
    earlier_timer: Notify,
}

impl Timers {
    /// Returns an empty set of timers.
    pub(super) fn new() -> Timers {
        Timers { queue: RefCell::new(TimerQueue::new()), earlier_timer: Notify::new() }
    }

    /// Runs `operation` on the queue. All accesses borrow the queue here, and the borrows are never nested: the only
    /// outside code that runs during a borrow is `is_active` in [`set`](Self::set), which reads the table of requests.
    fn with_queue<R>(&self, operation: impl FnOnce(&mut TimerQueue) -> R) -> R {
        operation(&mut self.queue.borrow_mut())
    }

    /// Adds a timer that is due at `due`, in microseconds of Unix time. Timers of requests for which `is_active` returns
    /// false may be removed first; `is_active` must not use the timers.
    pub(super) fn set(&self, due: Micros, kind: TimerKind, is_active: impl Fn(RequestId) -> bool) {
        let is_first = self.with_queue(|queue| {
            queue.prune_if_long(is_active);
            queue.push(due, kind)
        });
        if is_first {
            self.earlier_timer.notify_one();
        }
    }

    /// Returns when the first timer is due, in microseconds of Unix time, or `None` if no timer is set.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.with_queue(|queue| queue.next_due())
    }

    /// Removes the first timer and returns its kind, or `None` if no timer is set.
    pub(super) fn pop(&self) -> Option<TimerKind> {
        self.with_queue(TimerQueue::pop)
    }

    /// Returns a future that resolves once a timer was set that is due before all others.
    pub(super) fn earlier_timer(&self) -> Notified<'_> {
        self.earlier_timer.notified()
    }

    /// Removes the timers for which `keep` returns false.
    #[cfg(test)]
    pub(super) fn retain(&self, keep: impl Fn(&TimerKind) -> bool) {
        self.with_queue(|queue| queue.retain(keep));
    }

    /// Returns how many timers are set.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.with_queue(|queue| queue.timers.len())
    }
}

/// One timer. Timers are ordered by due time, then by the order in which they were set.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Micros,
    sequence: u64,
    kind: TimerKind,
}

/// Timers in the order in which they are due.
struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
    next_sequence: u64,
    /// When the queue has reached this length, the timers of requests that are done are removed before the next timer
    /// is added.
    prune_length: usize,
}

impl TimerQueue {
    fn new() -> TimerQueue {
        TimerQueue { timers: BinaryHeap::new(), next_sequence: 0, prune_length: MIN_PRUNE_LENGTH }
    }

    fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse(timer)| timer.due)
    }

    fn pop(&mut self) -> Option<TimerKind> {
        self.timers.pop().map(|Reverse(timer)| timer.kind)
    }

    /// Adds a timer. Returns whether it is due before all others.
    fn push(&mut self, due: Micros, kind: TimerKind) -> bool {
        let is_first = self.next_due().is_none_or(|next_due| due < next_due);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.timers.push(Reverse(Timer { due, sequence, kind }));
        is_first
    }

    /// Removes the timers of requests that are no longer active, if the queue has become long. Otherwise the queue would
    /// grow with the request rate, because a request usually gets its response long before its timers are due.
    fn prune_if_long(&mut self, is_active: impl Fn(RequestId) -> bool) {
        if self.timers.len() < self.prune_length {
            return;
        }
        self.retain(|kind| match kind {
            TimerKind::Policy { .. } => true,
            TimerKind::AttemptLimit(attempt) | TimerKind::BeginLimit(attempt) => is_active(attempt.request),
            TimerKind::RequestDeadline(request) => is_active(*request),
        });
        self.prune_length = (2 * self.timers.len()).max(MIN_PRUNE_LENGTH);
    }

    fn retain(&mut self, keep: impl Fn(&TimerKind) -> bool) {
        self.timers.retain(|Reverse(timer)| keep(&timer.kind));
    }
}
