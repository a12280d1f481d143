//! The phases of the process's life, and what outlives it: operator overrides and hot restart.

pub mod hot_restart;
pub mod overrides;

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::lifecycle::overrides::OverrideStore;

/// How long a process that holds no list of upstreams waits for one before it says that it is ready all the same:
/// readiness is owed within 6 s of a restart, be discovery down or not. What comes to it is refused at once.
const LIST_PATIENCE: Duration = Duration::from_secs(5);

/// How far the balancer is with its life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Takes what comes.
    Running,
    /// Clients are sent away, until operators end that: unready, and each answer is its connection's last.
    Evacuated,
    /// Told to stop: unready, but connections still come.
    Draining,
    /// None come any more.
    ClosingListener,
    /// The same where another process takes them: callers may keep theirs until the next answer.
    HandingOver,
}

impl Phase {
    /// The order to stop has come.
    pub(crate) fn ends(self) -> bool {
        !matches!(self, Phase::Running | Phase::Evacuated)
    }

    /// Whether each answer is its connection's last.
    pub(crate) fn parts(self) -> bool {
        !matches!(self, Phase::Running | Phase::Draining)
    }
}

/// The phase of the balancer's life, and the orders that change it.
pub struct Lifecycle {
    pub(crate) phases: watch::Sender<Phase>,
    store: Rc<OverrideStore>,
    /// Another process of this balancer lives.
    pub(crate) sibling_running: Cell<bool>,
    /// When the order to stop came.
    pub(crate) ordered: Cell<Option<Instant>>,
    begun: Instant,
}

impl Lifecycle {
    /// Just begun.
    pub fn new(store: Rc<OverrideStore>) -> Rc<Lifecycle> {
        let (phases, accompanied) = (watch::Sender::new(Phase::Running), Cell::default());
        let life = Lifecycle {
            phases,
            store,
            sibling_running: accompanied,
            ordered: Cell::default(),
            begun: Instant::now(),
        };
        life.follow();
        Rc::new(life)
    }

    /// The present phase, once what operators have set has been looked at.
    pub fn follow(&self) -> Phase {
        self.store.refresh();
        let evacuated = self.store.current().evacuated;
        self.phases.send_if_modified(|phase| {
            let before = *phase;
            *phase = match before {
                Phase::Running if evacuated => Phase::Evacuated,
                Phase::Evacuated if !evacuated => Phase::Running,
                other => other,
            };
            if *phase != before {
                eprintln!(
                    "zincstand-proxy: clients are {}",
                    if evacuated { "sent away" } else { "taken again" }
                );
            }
            *phase != before
        });
        *self.phases.borrow()
    }

    /// Sends clients away, or takes them again.
    pub fn evacuate(&self, evacuated: bool) -> io::Result<()> {
        self.store.change(|orders| orders.evacuated = evacuated)?;
        self.follow();
        Ok(())
    }

    /// The order to stop.
    pub fn stop(&self) {
        self.phases.send_if_modified(|phase| {
            !phase.ends() && {
                self.ordered.set(Some(Instant::now()));
                *phase = Phase::Draining;
                true
            }
        });
    }

    /// Whether another process of this balancer lives.
    pub fn set_sibling_running(&self, accompanied: bool) {
        self.sibling_running.set(accompanied);
    }

    /// Whether a process may be ready that holds a list of upstreams, or does not.
    pub fn may_serve(&self, listed: bool) -> bool {
        listed || self.begun.elapsed() > LIST_PATIENCE
    }

    /// This process takes connections.
    pub fn accepts_connections(&self) -> bool {
        !self.phases.borrow().ends()
    }
}
