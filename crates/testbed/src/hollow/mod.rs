//! Hollow balancers: many balancers in one process, each with the real discovery client, dispatcher and policy, but
//! without traffic. A notification from discovery reaches the policy as in a real balancer.

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

/// The hollow balancers cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The settings do not have the form that a balancer reads.
    #[error("the hollow balancers' settings cannot be read")]
    SettingsFormat(#[from] serde_json::Error),
    /// The settings contradict each other.
    #[error("the hollow balancers' settings are invalid")]
    Settings(#[from] SettingsError),
    /// A thread or its runtime cannot be started.
    #[error(
        "a thread of the hollow balancers cannot be started: ask for fewer threads, or raise `ulimit -n`"
    )]
    Thread(#[from] io::Error),
}

/// Balancers whose thread is blocked periodically, as if its core had other work.
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
    /// The number of threads that run the balancers, without the additional thread of slow balancers.
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
    /// The balancers that are slow while stalling is set by [`HollowFleet::set_stalling`]; `None` if no balancer is
    /// slow.
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

/// Reports that the policy of a balancer has applied a list, on which its later decisions are based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListApplied {
    /// The number of the balancer, counted from 0.
    pub balancer: u32,
    /// The kind of list.
    pub kind: ListKind,
    /// The number of entries in the list.
    pub entries: usize,
    /// Whether the list contains the entry that was last passed to [`HollowFleet::mark`].
    pub is_marked: bool,
    /// When the policy had applied the list.
    pub at: Instant,
}
