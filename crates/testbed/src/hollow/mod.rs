//! Hollow balancers: many balancers in one process, each with the real discovery client, dispatcher and policy, but without
//! requests. A notification of discovery reaches the policy as in a real balancer.

mod control;
mod fleet;
mod group;
mod settings;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use zincstand_policy::ListKind;
use zincstand_settings::SettingsError;

pub use fleet::HollowFleet;

/// An error of starting hollow balancers.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The settings do not have the form that a balancer reads.
    #[error("the hollow balancers' settings cannot be read")]
    SettingsFormat(#[from] serde_json::Error),
    /// The settings contradict each other.
    #[error("the hollow balancers' settings are invalid")]
    Settings(#[from] SettingsError),
    /// A thread or its runtime cannot be started.
    #[error("the hollow balancers have no thread or descriptors: ask for fewer threads")]
    Thread(#[from] io::Error),
}

/// Balancers whose thread is blocked for a part of the time, as if its core had other work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowBalancers {
    /// One balancer in this many is slow.
    pub one_in: u32,
    /// The duration of each stall, for which the thread is blocked.
    pub stall: Duration,
    /// The time from the start of one stall to the start of the next.
    pub interval: Duration,
}

impl SlowBalancers {
    /// Returns whether the balancer with this number is slow.
    pub fn includes(&self, balancer: u32) -> bool {
        balancer.is_multiple_of(self.one_in.max(1))
    }
}

/// How balancers are notified of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateMode {
    /// The policy relies on notifications. The watch starts with the balancer and again after each failure.
    Push,
    /// The policy starts the watch by a poll, at a random time within a fraction of `AskWithinMs`.
    Poll,
}

/// The options of a fleet of hollow balancers.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The number of balancers.
    pub balancers: u32,
    /// The number of threads that run the balancers. Slow balancers have another thread.
    pub threads: u32,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// How the balancers are notified of changes.
    pub update_mode: UpdateMode,
    /// `DrainGraceMs` in the settings, from which the discovery client derives the wait of its watches.
    pub drain_grace: Duration,
    /// `AskWithinMs` in the settings: the upper bound on the poll interval.
    pub poll_within: Duration,
    /// The number of zones in the settings.
    pub zones: u32,
    /// The balancers that are slow while [`HollowFleet::set_stalling`] is on; `None` if all are equal.
    pub slow: Option<SlowBalancers>,
    /// The seed of all random choices.
    pub seed: u64,
}

impl FleetOptions {
    /// Returns whether the balancer with this number is slow.
    fn is_slow(&self, balancer: u32) -> bool {
        self.slow.is_some_and(|slow| slow.includes(balancer))
    }
}

/// Notice that the policy of a balancer has applied a list and decides by it from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListApplied {
    /// The number of the balancer, counted from 0.
    pub balancer: u32,
    /// The kind of list.
    pub kind: ListKind,
    /// The number of entries in the list.
    pub entries: usize,
    /// Whether the list contains the entry that was last given to [`HollowFleet::mark`].
    pub is_marked: bool,
    /// When the policy had applied the list.
    pub at: Instant,
}
