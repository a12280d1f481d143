//! The queue of the policy's and the requests' timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use zincstand_policy::{Micros, RequestId};

use crate::dispatch::completion::AttemptId;

/// A queue of up to this many timers is never pruned.
pub(super) const MIN_PRUNE_LENGTH: usize = 512;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// A timer that the policy has set.
    Policy { token: u64 },
    /// The time limit of an attempt.
    AttemptLimit(AttemptId),
    /// Shortly before the client's deadline: the request fails if the policy has left it without a response.
    LastResort(RequestId),
}

/// One timer; ordered by due time, then by the order in which timers were set.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Micros,
    sequence: u64,
    kind: TimerKind,
}

/// Timers in the order in which they are due.
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
    next_sequence: u64,
    /// From this length on, the timers of requests that are done are removed before another is added.
    prune_length: usize,
}

impl TimerQueue {
    pub(super) fn new() -> TimerQueue {
        TimerQueue { timers: BinaryHeap::new(), next_sequence: 0, prune_length: MIN_PRUNE_LENGTH }
    }

    /// When the first timer is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse(timer)| timer.due)
    }

    pub(super) fn pop(&mut self) -> Option<TimerKind> {
        self.timers.pop().map(|Reverse(timer)| timer.kind)
    }

    /// Adds a timer. Returns whether it is due before all others.
    pub(super) fn push(&mut self, due: Micros, kind: TimerKind) -> bool {
        let is_first = self.next_due().is_none_or(|next_due| due < next_due);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.timers.push(Reverse(Timer { due, sequence, kind }));
        is_first
    }

    /// Removes the timers of requests that are no longer active, if the queue has become long. Without this it would
    /// grow with the request rate: a request usually gets its response long before its timers are due.
    pub(super) fn prune_if_long(&mut self, is_active: impl Fn(RequestId) -> bool) {
        if self.timers.len() < self.prune_length {
            return;
        }
        self.retain(|kind| match kind {
            TimerKind::Policy { .. } => true,
            TimerKind::AttemptLimit(attempt) => is_active(attempt.request),
            TimerKind::LastResort(request) => is_active(*request),
        });
        self.prune_length = (2 * self.timers.len()).max(MIN_PRUNE_LENGTH);
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&TimerKind) -> bool) {
        self.timers.retain(|Reverse(timer)| keep(&timer.kind));
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.timers.len()
    }
}
