//! The ids in the memory of one process.

use std::collections::{HashMap, VecDeque};
use std::num::NonZeroU32;

use tokio::time::Instant;

use crate::request_ids::Retention;

/// Minimum number of ids for which the queue of retained ids grows.
const MIN_GROWTH: usize = 64;

/// The process that has claimed an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Holder {
    /// This process.
    ThisProcess,
    /// The process with this number.
    OtherProcess(u8),
}

/// Whether the request of an id has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdState {
    /// The request is open in this process.
    Open,
    /// The request may have run, or another process has claimed its id.
    Retained,
}

/// The holder and the retention of one id.
struct Entry {
    holder: Holder,
    /// The number of its retention; `None` while its request is open in this process.
    retention: Option<RetentionNumber>,
}

/// The number of a retention, which no other retention in the table has. Shorter than its time, of which the queue has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RetentionNumber(NonZeroU32);

impl RetentionNumber {
    const FIRST: RetentionNumber = RetentionNumber(NonZeroU32::MIN);

    /// Returns the number of the next retention. The first one follows the last one.
    fn next(self) -> RetentionNumber {
        self.0.checked_add(1).map_or(RetentionNumber::FIRST, RetentionNumber)
    }
}

/// The open and the retained ids.
pub(super) struct IdTable {
    retention: Retention,
    entries: HashMap<u64, Entry>,
    /// The retained ids, oldest first. An id that was removed meanwhile stays until its time is over.
    retained: VecDeque<RetainedId>,
    /// The number of the oldest retention in the queue; the others follow in order.
    oldest: RetentionNumber,
    /// The number of the next retention.
    next: RetentionNumber,
}

/// An id that is retained from a time on.
struct RetainedId {
    fingerprint: u64,
    retained_at: Instant,
}

impl IdTable {
    /// Creates an empty table.
    pub(super) fn new(retention: Retention) -> IdTable {
        IdTable {
            retention,
            entries: HashMap::new(),
            retained: VecDeque::new(),
            oldest: RetentionNumber::FIRST,
            next: RetentionNumber::FIRST,
        }
    }

    /// Returns the state of an id, `None` if the id is free.
    pub(super) fn state(&self, fingerprint: u64) -> Option<IdState> {
        let entry = self.entries.get(&fingerprint)?;
        Some(if entry.retention.is_some() { IdState::Retained } else { IdState::Open })
    }

    /// Adds an id whose request is open in this process.
    pub(super) fn open(&mut self, fingerprint: u64) {
        self.entries.insert(fingerprint, Entry { holder: Holder::ThisProcess, retention: None });
    }

    /// Retains an id that `holder` has claimed. Has no effect on an id that another holder has claimed before.
    pub(super) fn retain(&mut self, fingerprint: u64, holder: Holder, now: Instant) {
        let entry = self.entries.entry(fingerprint).or_insert(Entry { holder, retention: None });
        if entry.holder != holder {
            return;
        }
        entry.retention = Some(self.next);
        self.next = self.next.next();
        self.reserve_one();
        self.retained.push_back(RetainedId { fingerprint, retained_at: now });
        // Claims of other processes are not refused for lack of capacity.
        if self.retained.len() > self.retention.capacity {
            self.forget_oldest();
        }
    }

    /// Removes an id that `holder` has claimed. Has no effect if another holder has claimed it.
    pub(super) fn remove(&mut self, fingerprint: u64, holder: Holder) {
        if self.entries.get(&fingerprint).is_some_and(|entry| entry.holder == holder) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Forgets the ids whose preferred retention is over.
    pub(super) fn expire(&mut self, now: Instant) {
        while self.retained.front().is_some_and(|oldest| now >= oldest.retained_at + self.retention.preferred)
        {
            self.forget_oldest();
        }
    }

    /// Returns whether another id can be retained. If the capacity is used up, forgets the oldest id, provided that it need
    /// not be retained any longer.
    pub(super) fn make_capacity(&mut self, now: Instant) -> bool {
        if self.entries.len().max(self.retained.len()) < self.retention.capacity {
            return true;
        }
        let required = self.retention.required;
        let may_forget = self.retained.front().is_some_and(|oldest| now >= oldest.retained_at + required);
        if may_forget {
            self.forget_oldest();
        }
        may_forget
    }

    fn forget_oldest(&mut self) {
        let Some(RetainedId { fingerprint, .. }) = self.retained.pop_front() else { return };
        let number = self.oldest;
        self.oldest = number.next();
        let entry = self.entries.get(&fingerprint);
        // The id may have been released and claimed again since.
        if entry.is_some_and(|entry| entry.retention == Some(number)) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Makes room for another retained id. A queue that grows takes no more memory than its capacity needs.
    fn reserve_one(&mut self) {
        let length = self.retained.len();
        if length == self.retained.capacity() {
            let missing = (self.retention.capacity + 1).saturating_sub(length);
            self.retained.reserve_exact(missing.min(length).max(MIN_GROWTH));
        }
    }
}
