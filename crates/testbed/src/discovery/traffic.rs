//! Counts of what passes between discovery and its watchers.

use std::time::{Duration, Instant};

use serde::Serialize;

/// How finely traffic is counted over time.
pub const TRAFFIC_BUCKET: Duration = Duration::from_millis(100);
/// Buckets that are kept: an hour of them.
const MAX_BUCKETS: usize = 36_000;
/// Acknowledgements that are kept until they are taken; later ones are dropped.
const MAX_ACKNOWLEDGEMENTS: usize = 1 << 20;

/// What passed in a span of time: in all, or in one bucket of [`TRAFFIC_BUCKET`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Connections accepted.
    pub connections: u64,
    /// Requests read.
    pub requests: u64,
    /// Responses with the complete list.
    pub snapshots: u64,
    /// Responses with changed entries.
    pub deltas: u64,
    /// Responses without entries, at the end of a watch's wait.
    pub empty: u64,
    /// Bytes of requests.
    pub bytes_in: u64,
    /// Bytes of responses, with their heads.
    pub bytes_out: u64,
}

impl Traffic {
    /// What passed since an earlier total.
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

/// The first request from a newer version on a connection: its watcher has applied that version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Acknowledgement {
    /// The connection's number, from 0 in the order of acceptance.
    pub connection: u64,
    /// The version that the watcher holds.
    pub version: u64,
    /// When the request had come.
    pub at: Instant,
}

/// All counts at one moment.
#[derive(Clone, Debug)]
pub struct Counters {
    /// What has passed since the start.
    pub total: Traffic,
    /// Connections open now.
    pub open_connections: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
    /// Processor time of the stand-in's thread.
    pub processor_time: Duration,
    /// When the first bucket began.
    pub start: Instant,
    /// What has passed in each [`TRAFFIC_BUCKET`] from the start; an hour at most.
    pub buckets: Vec<Traffic>,
}

impl Counters {
    /// The buckets from the one that contains `from`.
    pub fn buckets_from(&self, from: Instant) -> &[Traffic] {
        let first = from.saturating_duration_since(self.start).as_micros() / TRAFFIC_BUCKET.as_micros();
        self.buckets.get(first as usize..).unwrap_or_default()
    }
}

/// Counts traffic as it passes.
pub(super) struct TrafficRecorder {
    total: Traffic,
    /// Connections open now.
    pub open_connections: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
    start: Instant,
    buckets: Vec<Traffic>,
    acknowledgements: Vec<Acknowledgement>,
}

impl TrafficRecorder {
    /// Nothing has passed yet; the first bucket begins now.
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

    /// Adds to the total and to the present bucket.
    pub fn count(&mut self, add: impl Fn(&mut Traffic)) {
        add(&mut self.total);
        let bucket = (self.start.elapsed().as_micros() / TRAFFIC_BUCKET.as_micros()) as usize;
        if bucket >= MAX_BUCKETS {
            return;
        }
        if bucket >= self.buckets.len() {
            self.buckets.resize(bucket + 1, Traffic::default());
        }
        add(&mut self.buckets[bucket]);
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

    /// The acknowledgements since this was last called.
    pub fn take_acknowledgements(&mut self) -> Vec<Acknowledgement> {
        std::mem::take(&mut self.acknowledgements)
    }

    /// All counts, with the processor time of the calling thread.
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

/// Processor time that the calling thread has used.
pub fn thread_processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}
