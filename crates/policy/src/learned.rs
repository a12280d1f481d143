//! What a balancer has learned, exported for a successor.

use serde::{Deserialize, Serialize};

use crate::event::{Micros, ServerId, ZoneId};

/// What a balancer has learned, for one that takes its place. Stored files keep the short names of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// When it was so.
    #[serde(rename = "at")]
    pub saved_at: Micros,
    /// When the first balancer of the line began.
    #[serde(rename = "began")]
    pub first_started_at: Micros,
    /// Attempts sent of late.
    #[serde(rename = "sent")]
    pub recent_sends: f64,
    /// Share of the attempts that fail.
    #[serde(rename = "failing")]
    pub failure_share: f64,
    /// LatencyHistogram of all classes.
    #[serde(rename = "all")]
    pub all_classes: LatencyHistogram,
    /// What it knows of each class.
    pub classes: Vec<LearnedClass>,
    /// What it knows of each zone.
    pub zones: Vec<LearnedZone>,
    /// What it knows of each server.
    pub servers: Vec<LearnedServer>,
}

/// LatencyHistogram, as a histogram.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// The buckets that are not empty.
    pub counts: Vec<(usize, f64)>,
    /// Factor on the highest percentile.
    #[serde(rename = "widen")]
    pub tail_factor: f64,
}

/// What is known of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedClass {
    /// Its latencies.
    pub latency: LatencyHistogram,
    /// The lowest median seen lately.
    #[serde(rename = "base")]
    pub lowest_median: f64,
    /// Mean of the hinted work.
    #[serde(rename = "work")]
    pub mean_work: f64,
    /// Requests of late.
    #[serde(rename = "offered")]
    pub recent_offered: f64,
    /// Those that were served.
    #[serde(rename = "served")]
    pub recent_served: f64,
}

/// What is known of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedZone {
    /// The zone.
    pub zone: ZoneId,
    /// Attempts that may be out at once.
    #[serde(rename = "window")]
    pub concurrency_limit: f64,
    /// Attempts that are out or were given up, which its servers may still work on.
    #[serde(rename = "out")]
    pub outstanding: f64,
}

/// What is known of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedServer {
    /// The server.
    pub server: ServerId,
    /// Failures in a row and, if it is open, until when, for each of its breakers.
    pub breakers: Vec<(u32, Option<Micros>)>,
}
