//! When the bytes in a read-ahead buffer came.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Bytes that come within this time of the ones before count as come with them: it bounds the number of entries.
const RESOLUTION: Duration = Duration::from_millis(20);

/// The arrival times of the bytes of a buffer, in their order.
#[derive(Default)]
pub struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
    last_removed: Option<Instant>,
}

struct Arrival {
    bytes: usize,
    at: Instant,
}

impl ArrivalTimes {
    /// Bytes were appended to the buffer that came at `at`.
    pub fn append(&mut self, bytes: usize, at: Instant) {
        if bytes == 0 {
            return;
        }
        match self.arrivals.back_mut() {
            Some(last) if at.saturating_duration_since(last.at) < RESOLUTION => last.bytes += bytes,
            _ => self.arrivals.push_back(Arrival { bytes, at }),
        }
    }

    /// Bytes were removed from the front of the buffer.
    pub fn remove(&mut self, mut bytes: usize) {
        while bytes > 0
            && let Some(first) = self.arrivals.front_mut()
        {
            self.last_removed = Some(first.at);
            let removed = first.bytes.min(bytes);
            first.bytes -= removed;
            bytes -= removed;
            if first.bytes == 0 {
                self.arrivals.pop_front();
            }
        }
    }

    /// Bytes were removed from the end of the buffer.
    pub fn truncate(&mut self, mut bytes: usize) {
        while bytes > 0
            && let Some(last) = self.arrivals.back_mut()
        {
            let removed = last.bytes.min(bytes);
            last.bytes -= removed;
            bytes -= removed;
            if last.bytes == 0 {
                self.arrivals.pop_back();
            }
        }
    }

    /// When the last byte came that was removed from the front.
    pub fn last_removed(&self) -> Option<Instant> {
        self.last_removed
    }
}

#[cfg(test)]
mod tests;
