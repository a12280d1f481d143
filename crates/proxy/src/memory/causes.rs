//! Causes of connections closed and requests refused while memory is short, and their counts.

use std::cell::Cell;
use std::fmt;

/// The cause of a connection closed or a request refused while memory is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryCause {
    /// An idle connection to an upstream was closed.
    IdleUpstream,
    /// An idle connection of a client was closed.
    IdleClient,
    /// A client had sent nothing of its request head for a while.
    StalledHead,
    /// A client had sent nothing of its request body for a while.
    StalledBody,
    /// A client had read nothing of its response for a while.
    UnreadResponse,
    /// A request head or body is long.
    LargeRequest,
    /// No memory was left for any other request.
    NewRequest,
}

/// All causes, in the order in which they free memory.
const CAUSES: [MemoryCause; 7] = [
    MemoryCause::IdleUpstream,
    MemoryCause::IdleClient,
    MemoryCause::StalledHead,
    MemoryCause::StalledBody,
    MemoryCause::UnreadResponse,
    MemoryCause::LargeRequest,
    MemoryCause::NewRequest,
];

impl fmt::Display for MemoryCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl MemoryCause {
    fn name(self) -> &'static str {
        match self {
            MemoryCause::IdleUpstream => "idle upstream connections",
            MemoryCause::IdleClient => "idle client connections",
            MemoryCause::StalledHead => "stalled heads",
            MemoryCause::StalledBody => "stalled bodies",
            MemoryCause::UnreadResponse => "unread responses",
            MemoryCause::LargeRequest => "large requests",
            MemoryCause::NewRequest => "new requests",
        }
    }
}

/// The number of events by cause since the last report.
#[derive(Default)]
pub struct MemoryCounts {
    counts: [Cell<u64>; CAUSES.len()],
}

impl MemoryCounts {
    /// Counts `events` events.
    pub fn add(&self, cause: MemoryCause, events: usize) {
        let count = &self.counts[cause as usize];
        count.set(count.get() + events as u64);
    }

    /// Returns the counts as text and sets them to 0; `None` if all of them are 0.
    pub fn take_report(&self) -> Option<MemoryReport> {
        let counts = std::array::from_fn(|index| self.counts[index].take());
        counts.iter().any(|count| *count > 0).then_some(MemoryReport { counts })
    }
}

/// The counts of one report, which are written as `5 stalled heads, 2 new requests`.
#[derive(Debug, PartialEq)]
pub struct MemoryReport {
    counts: [u64; CAUSES.len()],
}

impl fmt::Display for MemoryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counted = CAUSES.iter().zip(self.counts).filter(|(_, count)| *count > 0);
        for (index, (cause, count)) in counted.enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{count} {}", cause.name())?;
        }
        Ok(())
    }
}
