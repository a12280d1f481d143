//! The network, service discovery and the balancers of the first tier.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// One-way latencies of the network.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Latency within a zone.
    pub same_zone: Span,
    /// Latency between zones.
    pub cross_zone: Span,
    /// Latency between a client and its balancer.
    pub client: Span,
    /// Largest random addition to a latency, as a share of it.
    #[serde(default)]
    pub jitter: f64,
}

/// How balancers receive endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// Discovery pushes the lists.
    Push,
    /// Balancers poll for the lists.
    #[serde(rename = "ask")]
    Poll,
}

/// How changes of the endpoint list reach the balancers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Whether lists are pushed or polled.
    pub mode: DiscoveryMode,
    /// Time until discovery detects a change that the server announces, such as deregistration.
    #[serde(rename = "notice")]
    pub detection_delay: Span,
    /// Time until discovery detects that a server vanished without deregistering.
    #[serde(rename = "silent_notice")]
    pub silent_detection_delay: Span,
    /// Time from a server's start until discovery lists it.
    #[serde(rename = "add")]
    pub registration_delay: Span,
    /// Interval at which discovery sends the changes since the previous batch as one batch.
    #[serde(rename = "period")]
    pub batch_interval: Span,
    /// Largest random delay between a batch and its arrival at a balancer.
    #[serde(rename = "spread")]
    pub max_delivery_delay: Span,
    /// Share of the calls to discovery that fail, and of the watches that break with each batch.
    #[serde(rename = "failing", default)]
    pub failure_share: f64,
}

/// The balancers of the first tier, and the processor share of the balancers of all tiers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancers {
    /// Zone of each balancer of the first tier.
    pub zones: Vec<String>,
    /// Relative traffic of each balancer within its zone. All balancers get equal traffic if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<f64>,
    /// Processor share of each balancer, in cores.
    pub cores: f64,
    /// Processor time of a balancer for one event.
    pub event_cost: Span,
    /// Largest difference between the clocks of two balancers.
    #[serde(default)]
    pub clock_spread: Span,
    /// Time until clients detect that a balancer has died and stop connecting to it.
    #[serde(rename = "notice")]
    pub detection_delay: Span,
}
