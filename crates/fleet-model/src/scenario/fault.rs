//! Faults: their kinds, targets, times and parameters.

use serde::{Deserialize, Serialize};

use crate::span::Span;

/// A fault of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time at which the fault begins, since the start of the scenario.
    pub at: Span,
    /// Duration of the fault, or of the time in which its targets are affected one after the other.
    #[serde(default)]
    pub length: Span,
    /// Index of the affected tier.
    #[serde(default)]
    pub tier: usize,
    /// Indexes of the affected servers of the tier, or of the affected balancers. All are affected if empty.
    #[serde(rename = "which", default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<usize>,
    /// Name of the affected zone. Required by faults of a zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Name of the affected class of requests. `None` affects all classes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Share of the requests that are affected. For [`FaultKind::RollingDeploy`], share of the servers that are down at
    /// the same time.
    #[serde(default = "one")]
    pub share: f64,
    /// Factor by which the work of affected requests is multiplied.
    #[serde(default = "one")]
    pub factor: f64,
    /// Whether the new process of a balancer restores the learned state of the old one.
    #[serde(rename = "learned", default)]
    pub restores_learned_state: bool,
    /// Whether excluded servers restart during the fault. They warm up when they are included again.
    #[serde(default)]
    pub restarts: bool,
    /// Time for which servers drain before they restart.
    #[serde(rename = "drain", default)]
    pub drain_time: Span,
}

/// Default of shares and factors.
fn one() -> f64 {
    1.0
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers immediately fail a share of their requests.
    FastErrors,
    /// A share of the requests of a class needs `factor` times the work.
    HeavyTail,
    /// Servers drain, restart, come back and warm up, a share of them at a time.
    RollingDeploy,
    /// Servers accept requests and answer none.
    Silent,
    /// Servers take `factor` times as long, for one class or all.
    Slow,
    /// Connections break under a share of the requests.
    Resets,
    /// A zone's servers vanish without deregistering, return and warm up.
    ZoneLost,
    /// Some servers, such as those of a rack, vanish without deregistering. The balancers of the first tier keep
    /// running.
    Vanished,
    /// A network partition separates zones from the others. Zones that are cut off at the same time can reach each
    /// other.
    #[serde(rename = "zone_cut")]
    ZonePartition,
    /// Servers stop, and servers with new ids start at the same addresses and warm up.
    Replaced,
    /// Balancers are killed and start again after `length`.
    BalancerKilled,
    /// Balancers drain, shut down and start again.
    BalancerRestart,
    /// Hot restart: each balancer's process is replaced by a new one, which serves while the old one drains.
    ProcessReplaced,
    /// Operators exclude servers at every balancer that sends to them, and include them again.
    #[serde(rename = "out_by_hand")]
    ExcludedByOperators,
    /// Balancers send their clients to other balancers.
    Evacuated,
    /// Discovery sends no notifications and answers no calls.
    DiscoveryOutage,
}

impl FaultKind {
    /// Whether the targets of the fault are balancers of the first tier. The targets of all other faults are servers.
    pub(crate) fn affects_balancers(self) -> bool {
        matches!(
            self,
            FaultKind::BalancerKilled
                | FaultKind::BalancerRestart
                | FaultKind::ProcessReplaced
                | FaultKind::Evacuated
        )
    }
}
