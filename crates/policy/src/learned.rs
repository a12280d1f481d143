//! What a balancer has learned, exported for its successor.
//!
//! It is stored as JSON that processes of older versions read too, which fixes the short names of the fields.

use serde::{Deserialize, Serialize};

use crate::event::{Micros, ServerId, ZoneId};

/// What a balancer has learned, for one that takes its place: exported by
/// [`Balancer::learned_state`](crate::Balancer::learned_state), taken over by
/// [`Balancer::restore`](crate::Balancer::restore).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// When it was exported.
    #[serde(rename = "at")]
    pub saved_at: Micros,
    /// When the first balancer of the line of successors began.
    #[serde(rename = "began")]
    pub first_started_at: Micros,
    /// Attempts sent lately, decayed.
    #[serde(rename = "sent")]
    pub recent_sends: f64,
    /// Share of the attempts that fail, from 0 to 1.
    #[serde(rename = "failing")]
    pub failure_share: f64,
    /// Latencies of all classes together.
    #[serde(rename = "all")]
    pub all_classes: LatencyHistogram,
    /// What is known of each class, by its index.
    pub classes: Vec<LearnedClass>,
    /// What is known of each zone.
    pub zones: Vec<LearnedZone>,
    /// What is known of each server.
    pub servers: Vec<LearnedServer>,
}

/// Latencies in buckets of equal ratio.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// Numbers and decayed counts of the buckets that are not empty.
    pub counts: Vec<(usize, f64)>,
    /// Factor on the 99th percentile, at least 1.
    #[serde(rename = "widen")]
    pub tail_factor: f64,
}

/// What is known of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedClass {
    /// Its latencies.
    pub latency: LatencyHistogram,
    /// The lowest median latency seen lately, in microseconds; 0 while none is known.
    #[serde(rename = "base")]
    pub lowest_median: f64,
    /// Mean of the hinted work, in microseconds.
    #[serde(rename = "work")]
    pub mean_work: f64,
    /// Requests that arrived lately, decayed.
    #[serde(rename = "offered")]
    pub recent_offered: f64,
    /// Those of them that were served.
    #[serde(rename = "served")]
    pub recent_served: f64,
}

/// What is known of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedZone {
    /// The zone.
    pub zone: ZoneId,
    /// Attempts that may be in flight at once.
    #[serde(rename = "window")]
    pub concurrency_limit: f64,
    /// Attempts in flight, and abandoned ones that its servers may still work on.
    #[serde(rename = "out")]
    pub outstanding: f64,
}

/// What is known of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedServer {
    /// The server.
    pub server: ServerId,
    /// For each of its circuit breakers: failures in a row and, if it is open, until when. The first breaker
    /// is that of all classes together, then there is one for each class.
    pub breakers: Vec<(u32, Option<Micros>)>,
}
