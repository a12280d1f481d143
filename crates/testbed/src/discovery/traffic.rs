//! Counts of the traffic between discovery and its watchers.

use std::time::{Duration, Instant};

use serde::Serialize;

/// Length of the time buckets in which traffic is counted.
pub const TRAFFIC_BUCKET: Duration = Duration::from_millis(100);
/// Maximum number of buckets, which cover one hour.
const MAX_BUCKETS: usize = 36_000;
/// Maximum number of acknowledgements retained until they are taken; further acknowledgements are dropped.
const MAX_ACKNOWLEDGEMENTS: usize = 1 << 20;

/// The traffic of a period: since the start, or of one [`TRAFFIC_BUCKET`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Number of accepted connections.
    pub connections: u64,
    /// Number of requests.
    pub requests: u64,
    /// Number of responses with the complete list.
    pub snapshots: u64,
    /// Number of responses with changed entries.
    pub deltas: u64,
    /// Number of responses without entries, which are sent at the end of a watch's wait.
    pub empty: u64,
    /// Total length of the requests in bytes.
    pub bytes_in: u64,
    /// Total length of the responses in bytes, including heads.
    pub bytes_out: u64,
}

impl Traffic {
    /// Returns the traffic since an earlier total.
    pub fn since(&self, before: &Traffic) -> Traffic {
        Traffic {
            connections: self.connections - before.connections,
            requests: self.requests - before.requests,
            snapshots: self.snapshots - before.snapshots,
            deltas: self.deltas - before.deltas,
            empty: self.empty - before.empty,
            bytes_in: self.bytes_in - before.bytes_in,
            bytes_out: self.bytes_out - before.bytes_out,
        }
    }
}

/// The first request on a connection that names a newer version, which shows that the watcher has applied it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Acknowledgement {
    /// The number of the connection, counted from 0 in the order of acceptance.
    pub connection: u64,
    /// The version that the watcher has applied.
    pub version: u64,
    /// When the request was read.
    pub at: Instant,
}

/// All counts at one moment.
#[derive(Clone, Debug)]
pub struct Counters {
    /// The traffic since the start.
    pub total: Traffic,
    /// Number of currently open connections.
    pub open_connections: u64,
    /// Number of currently waiting watches.
    pub waiting_watches: u64,
    /// The processor time of the stand-in's thread.
    pub processor_time: Duration,
    /// The start of the first bucket.
    pub start: Instant,
    /// The traffic of each [`TRAFFIC_BUCKET`] from the start, for at most one hour. The last bucket is the last one
    /// with traffic.
    pub buckets: Vec<Traffic>,
}

impl Counters {
    /// Returns the buckets, beginning with the one that contains the time `from`.
    pub fn buckets_from(&self, from: Instant) -> &[Traffic] {
        let first = from.saturating_duration_since(self.start).as_micros() / TRAFFIC_BUCKET.as_micros();
        self.buckets.get(first as usize..).unwrap_or_default()
    }
}

/// Counts the traffic of the stand-in.
pub(super) struct TrafficRecorder {
    total: Traffic,
    /// Number of currently open connections.
    pub open_connections: u64,
    /// Number of currently waiting watches.
    pub waiting_watches: u64,
    start: Instant,
    buckets: Vec<Traffic>,
    acknowledgements: Vec<Acknowledgement>,
}

impl TrafficRecorder {
    /// Creates a recorder without traffic, whose first bucket starts now.
    pub fn new() -> TrafficRecorder {
        TrafficRecorder {
            total: Traffic::default(),
            open_connections: 0,
            waiting_watches: 0,
            start: Instant::now(),
            buckets: Vec::new(),
            acknowledgements: Vec::new(),
        }
    }

    /// Applies an update to the total and to the current bucket.
    pub fn count(&mut self, update: impl Fn(&mut Traffic)) {
        update(&mut self.total);
        let bucket = (self.start.elapsed().as_micros() / TRAFFIC_BUCKET.as_micros()) as usize;
        if bucket >= MAX_BUCKETS {
            return;
        }
        if bucket >= self.buckets.len() {
            self.buckets.resize(bucket + 1, Traffic::default());
        }
        update(&mut self.buckets[bucket]);
    }

    /// Counts a connection and returns its number.
    pub fn connection_opened(&mut self) -> u64 {
        self.count(|traffic| traffic.connections += 1);
        self.open_connections += 1;
        self.total.connections - 1
    }

    /// Records that a watcher has applied a version.
    pub fn acknowledge(&mut self, connection: u64, version: u64) {
        if self.acknowledgements.len() < MAX_ACKNOWLEDGEMENTS {
            self.acknowledgements.push(Acknowledgement { connection, version, at: Instant::now() });
        }
    }

    /// Returns the acknowledgements since the previous call.
    pub fn take_acknowledgements(&mut self) -> Vec<Acknowledgement> {
        std::mem::take(&mut self.acknowledgements)
    }

    /// Returns all counts, with the processor time of the calling thread.
    pub fn counters(&self) -> Counters {
        Counters {
            total: self.total,
            open_connections: self.open_connections,
            waiting_watches: self.waiting_watches,
            processor_time: thread_processor_time(),
            start: self.start,
            buckets: self.buckets.clone(),
        }
    }
}

/// Returns the processor time that the calling thread has used.
pub fn thread_processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}
