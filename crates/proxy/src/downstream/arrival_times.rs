//! The arrival times of the bytes in a read-ahead buffer.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Bytes that arrive within this time after the last entry are added to that entry, which limits the number of
/// entries.
const RESOLUTION: Duration = Duration::from_millis(20);

/// The arrival times of the bytes of a buffer, in the order of the bytes.
#[derive(Default)]
pub struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
    /// When the last byte that was removed from the front arrived; `None` before the first removal.
    last_removed_arrival: Option<Instant>,
}

/// Consecutive bytes that count as arrived at the same time.
struct Arrival {
    bytes: usize,
    arrived_at: Instant,
}

impl ArrivalTimes {
    /// Records that bytes which arrived at `arrived_at` were appended to the buffer.
    pub fn append(&mut self, bytes: usize, arrived_at: Instant) {
        if bytes == 0 {
            return;
        }
        match self.arrivals.back_mut() {
            Some(last) if arrived_at.saturating_duration_since(last.arrived_at) < RESOLUTION => {
                last.bytes += bytes;
            }
            _ => self.arrivals.push_back(Arrival { bytes, arrived_at }),
        }
    }

    /// Records that bytes were removed from the front of the buffer.
    pub fn remove(&mut self, mut bytes: usize) {
        while bytes > 0
            && let Some(first) = self.arrivals.front_mut()
        {
            self.last_removed_arrival = Some(first.arrived_at);
            let removed = first.bytes.min(bytes);
            first.bytes -= removed;
            bytes -= removed;
            if first.bytes == 0 {
                self.arrivals.pop_front();
            }
        }
    }

    /// Returns when the last byte of the buffer arrived; `None` if the buffer is empty.
    pub fn last_arrival(&self) -> Option<Instant> {
        self.arrivals.back().map(|arrival| arrival.arrived_at)
    }

    /// Returns when the last byte that was removed from the front arrived; `None` before the first removal.
    pub fn last_removed_arrival(&self) -> Option<Instant> {
        self.last_removed_arrival
    }
}

#[cfg(test)]
mod tests;
