//! What surrounds the servers: the network, service discovery and the balancers of the first tier.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// Latencies, one way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Within a zone.
    pub same_zone: Span,
    /// Between zones.
    pub cross_zone: Span,
    /// Between a client and its balancer.
    pub client: Span,
    /// Most by which a message takes longer, as a share.
    #[serde(default)]
    pub jitter: f64,
}

/// Whether lists arrive by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Asking {
    /// They do.
    Push,
    /// Only once asked for.
    Ask,
}

/// How news of servers travels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Push or ask.
    pub mode: Asking,
    /// From a change to its being noticed.
    pub notice: Span,
    /// The same for what vanishes without a word.
    pub silent_notice: Span,
    /// From a server's start to its listing.
    pub add: Span,
    /// Changes are sent out together this often.
    pub period: Span,
    /// Most by which balancers hear at different times.
    pub spread: Span,
    /// Share of the calls to discovery that fail, and of watches that break off with each round.
    #[serde(default)]
    pub failing: f64,
}

/// The balancers of the first tier, and the processor share of all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancers {
    /// The zone of each.
    pub zones: Vec<String>,
    /// Traffic of each beside the others of its zone; all alike if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<f64>,
    /// Share of a core that each has.
    pub cores: f64,
    /// Processor time of an event.
    pub event_cost: Span,
    /// How far their clocks lie apart at most.
    #[serde(default)]
    pub clock_spread: Span,
    /// Until a dead one gets no new connections.
    pub notice: Span,
}
