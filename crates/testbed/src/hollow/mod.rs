//! Hollow balancers: the real discovery client and the real policy in the real dispatcher, many in one process, with
//! no requests to forward. What discovery notifies them of reaches the policy as in a process of its own.

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

/// Why hollow balancers cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The settings are not an object that a balancer reads.
    #[error("the hollow balancers' settings cannot be read")]
    SettingsFormat(#[from] serde_json::Error),
    /// The settings contradict each other.
    #[error("the hollow balancers' settings are invalid")]
    Settings(#[from] SettingsError),
    /// A thread or its runtime cannot be started.
    #[error("the hollow balancers have no thread or descriptors: ask for fewer threads")]
    Thread(#[from] io::Error),
}

/// Balancers that are slow: their thread is blocked for a part of the time, like one whose core has other work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowBalancers {
    /// One balancer in this many is slow.
    pub one_in: u32,
    /// How long its thread is blocked at a time.
    pub stall: Duration,
    /// From the start of one stall to that of the next.
    pub every: Duration,
}

impl SlowBalancers {
    /// Whether the balancer with this number is slow.
    pub fn includes(&self, balancer: u32) -> bool {
        balancer.is_multiple_of(self.one_in.max(1))
    }
}

/// How the balancers learn of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateMode {
    /// The policy relies on being notified: the watch begins at the start and again after each failure.
    Push,
    /// The policy begins the watch by a poll, at a random time within a part of `AskWithinMs`.
    Poll,
}

/// How a fleet of hollow balancers is made.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The number of balancers.
    pub balancers: u32,
    /// The number of threads that share them; slow ones have one thread more.
    pub threads: u32,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// How they learn of changes.
    pub update_mode: UpdateMode,
    /// `DrainGraceMs` of their settings, from which the discovery client derives its waits.
    pub drain_grace: Duration,
    /// `AskWithinMs` of their settings: the bound on the interval of polls.
    pub poll_within: Duration,
    /// The number of zones that the settings name.
    pub zones: u32,
    /// Which of them are slow while [`HollowFleet::set_stalling`] says so.
    pub slow: Option<SlowBalancers>,
    /// The seed of all random choices.
    pub seed: u64,
}

impl FleetOptions {
    /// Whether the balancer with this number is a slow one.
    fn is_slow(&self, balancer: u32) -> bool {
        self.slow.is_some_and(|slow| slow.includes(balancer))
    }
}

/// A list that a balancer's policy has applied: from this moment it acts on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListApplied {
    /// The balancer's number, from 0.
    pub balancer: u32,
    /// What kind of list.
    pub kind: ListKind,
    /// The number of entries in it.
    pub entries: usize,
    /// Whether it holds the entry that [`HollowFleet::mark`] named last.
    pub is_marked: bool,
    /// When the policy had applied it.
    pub at: Instant,
}
