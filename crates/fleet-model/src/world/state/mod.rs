//! Records of the state of the world.

mod processes;
mod requests;

pub(super) use self::processes::{
    BalancerPlace, FrontBalancer, IdleConnection, Process, RecentEvent, TimedEvent,
};
pub(super) use self::requests::{
    Attempt, AttemptConnection, Caller, ClientAttempt, Job, JobPhase, PossibleRun, Request,
};

/// A fault that multiplies the work of some requests of a class.
pub(super) struct HeavyTail {
    /// Number of the fault.
    pub fault: u32,
    /// Index of the affected class.
    pub class: usize,
    /// Share of the requests of the class that are affected.
    pub share: f64,
    /// Factor of the work.
    pub factor: f64,
}
