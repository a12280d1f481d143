//! The learned state of a balancer, as exported for the process that replaces it.
//!
//! The state is stored as JSON. Its field names are fixed because processes of older versions read it too;
//! the serde attributes map them to the names in the code.

use serde::{Deserialize, Serialize};

use crate::event::{Micros, ServerId, ZoneId};

/// The learned state of a balancer. [`Balancer::learned_state`](crate::Balancer::learned_state) exports it,
/// and [`Balancer::restore`](crate::Balancer::restore) of the next process imports it. Counts are decayed:
/// older events count less.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// Time of the export.
    #[serde(rename = "at")]
    pub saved_at: Micros,
    /// Start time of the first process in the chain of processes that replaced each other.
    #[serde(rename = "began")]
    pub first_started_at: Micros,
    /// Decayed number of attempts sent.
    #[serde(rename = "sent")]
    pub recent_sends: f64,
    /// Moving average of the share of attempts that fail, from 0 to 1.
    #[serde(rename = "failing")]
    pub failure_share: f64,
    /// Latencies of all classes together, in microseconds.
    #[serde(rename = "all")]
    pub all_classes: LatencyHistogram,
    /// Learned state of each class, by its id.
    pub classes: Vec<LearnedClass>,
    /// Learned state of each zone.
    pub zones: Vec<LearnedZone>,
    /// Learned state of each server.
    pub servers: Vec<LearnedServer>,
}

/// Latencies in buckets whose upper and lower edges all have the same ratio.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// Buckets that are not empty.
    pub counts: Vec<LearnedBucket>,
    /// Factor on the 99th percentile. At least 1.
    #[serde(rename = "widen")]
    pub tail_factor: f64,
}

/// A bucket of a histogram. It is stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(usize, f64)", into = "(usize, f64)")]
pub struct LearnedBucket {
    /// Index of the bucket.
    pub index: usize,
    /// Decayed number of values in the bucket.
    pub count: f64,
}

impl From<(usize, f64)> for LearnedBucket {
    fn from((index, count): (usize, f64)) -> Self {
        LearnedBucket { index, count }
    }
}

impl From<LearnedBucket> for (usize, f64) {
    fn from(bucket: LearnedBucket) -> Self {
        (bucket.index, bucket.count)
    }
}

/// Learned state of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedClass {
    /// Latencies of the class, in microseconds.
    pub latency: LatencyHistogram,
    /// Lowest median latency seen lately, in microseconds; 0 while none is known.
    #[serde(rename = "base")]
    pub lowest_median: f64,
    /// Moving average of the hinted work, in microseconds.
    #[serde(rename = "work")]
    pub mean_work: f64,
    /// Decayed number of requests that arrived.
    #[serde(rename = "offered")]
    pub recent_offered: f64,
    /// Decayed number of requests that were served.
    #[serde(rename = "served")]
    pub recent_served: f64,
}

/// Learned state of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedZone {
    /// Id of the zone.
    pub zone: ZoneId,
    /// Concurrency limit of the zone, in attempts.
    #[serde(rename = "window")]
    pub concurrency_limit: f64,
    /// Attempts in flight, and decayed number of abandoned attempts that the servers may still be processing.
    #[serde(rename = "out")]
    pub outstanding: f64,
}

/// Learned state of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedServer {
    /// Id of the server.
    pub server: ServerId,
    /// Circuit breakers of the server: that of all classes together first, then one for each class.
    pub breakers: Vec<LearnedBreaker>,
}

/// Learned state of a circuit breaker. It is stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, Option<Micros>)", into = "(u32, Option<Micros>)")]
pub struct LearnedBreaker {
    /// Consecutive failures.
    pub failures: u32,
    /// Time from which a trial is allowed, `None` if the breaker is closed.
    pub open_until: Option<Micros>,
}

impl From<(u32, Option<Micros>)> for LearnedBreaker {
    fn from((failures, open_until): (u32, Option<Micros>)) -> Self {
        LearnedBreaker { failures, open_until }
    }
}

impl From<LearnedBreaker> for (u32, Option<Micros>) {
    fn from(breaker: LearnedBreaker) -> Self {
        (breaker.failures, breaker.open_until)
    }
}
