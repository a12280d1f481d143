//! Faults: what goes wrong, where, from when and for how long.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// One thing that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From when.
    pub at: Span,
    /// For how long, where it does not end by itself.
    #[serde(default)]
    pub length: Span,
    /// The tier, by number.
    #[serde(default)]
    pub tier: usize,
    /// Which of the tier's servers, or balancers, by number; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub which: Vec<usize>,
    /// The zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Share of the requests that it befalls, or of the servers that are out at once.
    #[serde(default = "one")]
    pub share: f64,
    /// How many times the work.
    #[serde(default = "one")]
    pub factor: f64,
    /// The new process takes over what the old one had learned.
    #[serde(default)]
    pub learned: bool,
    /// The upstream restarts meanwhile, the server comes back cold.
    #[serde(default)]
    pub restarts: bool,
    /// How long servers drain before they restart.
    #[serde(default)]
    pub drain: Span,
}

fn one() -> f64 {
    1.0
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers fail a share of their requests at once.
    FastErrors,
    /// A share of a class's requests costs many times the work.
    HeavyTail,
    /// Servers drain, restart and come back cold, a share of them at a time.
    RollingDeploy,
    /// Servers take requests and answer none.
    Silent,
    /// Servers work so many times longer, on one class or all.
    Slow,
    /// Connections break while a share of the requests is out.
    Resets,
    /// A zone's servers vanish without a word and return cold.
    ZoneLost,
    /// The same for single servers, of a rack or a machine; their balancers stay.
    Vanished,
    /// A zone is cut off from all others but those that are cut off with it.
    ZoneCut,
    /// Servers go and others, with other ids at the same addresses, start cold.
    Replaced,
    /// Balancers are killed and start again after `length`.
    BalancerKilled,
    /// Balancers drain, end and start again.
    BalancerRestart,
    /// Each balancer's process is replaced by another that serves from then on.
    ProcessReplaced,
    /// Operators take servers out at every balancer of the first tier, and put them back.
    OutByHand,
    /// Balancers send their clients away.
    Evacuated,
    /// Discovery tells nothing.
    DiscoveryOutage,
}
