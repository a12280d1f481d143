//! Owns the process's present phase and applies what changes it: shutdown requests and operator overrides.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::lifecycle::Phase;
use crate::lifecycle::overrides::{OverrideError, OverrideStore};
use crate::log::log_line;

/// How long a process without an endpoint list reports that it is not ready. After that it is ready without one and
/// rejects requests at once: readiness is due within 6 s of a restart, whether discovery is up or down.
const ENDPOINT_LIST_WAIT: Duration = Duration::from_secs(5);

/// The phase of this process, with what determines it.
pub struct Lifecycle {
    phases: watch::Sender<Phase>,
    overrides: Rc<OverrideStore>,
    sibling_running: Cell<bool>,
    /// When shutdown was requested.
    shutdown_requested_at: Cell<Option<Instant>>,
    started_at: Instant,
}

impl Lifecycle {
    /// The lifecycle of a process that starts now. It is evacuated at once if operators have evacuated the balancer.
    pub fn new(overrides: Rc<OverrideStore>) -> Rc<Lifecycle> {
        let lifecycle = Lifecycle {
            phases: watch::Sender::new(Phase::Running),
            overrides,
            sibling_running: Cell::default(),
            shutdown_requested_at: Cell::default(),
            started_at: Instant::now(),
        };
        lifecycle.apply_overrides();
        Rc::new(lifecycle)
    }

    /// The present phase, as last applied.
    pub fn phase(&self) -> Phase {
        *self.phases.borrow()
    }

    /// Receives each later phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phases.subscribe()
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.phases.send_replace(phase);
    }

    /// Reads the operator overrides again and enters or leaves [`Phase::Evacuated`] as they say. Returns the phase
    /// that holds afterwards.
    pub fn apply_overrides(&self) -> Phase {
        self.overrides.refresh();
        let evacuated = self.overrides.current().evacuated;
        self.phases.send_if_modified(|phase| {
            let next = match *phase {
                Phase::Running if evacuated => Phase::Evacuated,
                Phase::Evacuated if !evacuated => Phase::Running,
                unchanged => unchanged,
            };
            if next == *phase {
                return false;
            }
            let state = if evacuated { "evacuated" } else { "rejoined" };
            log_line!("zincstand-proxy: balancer {state} by operator");
            *phase = next;
            true
        });
        self.phase()
    }

    /// Evacuates the balancer, all its processes included, or ends that.
    ///
    /// # Errors
    /// The file of overrides cannot be written; the phase has not changed then.
    pub async fn set_evacuated(&self, evacuated: bool) -> Result<(), OverrideError> {
        self.overrides.change(move |overrides| overrides.evacuated = evacuated).await?;
        self.apply_overrides();
        Ok(())
    }

    /// Requests shutdown, which begins with [`Phase::Draining`]. A second request changes nothing.
    pub fn request_shutdown(&self) {
        self.phases.send_if_modified(|phase| {
            if phase.is_shutting_down() {
                return false;
            }
            self.shutdown_requested_at.set(Some(Instant::now()));
            *phase = Phase::Draining;
            true
        });
    }

    /// When shutdown was first requested.
    pub fn shutdown_requested_at(&self) -> Option<Instant> {
        self.shutdown_requested_at.get()
    }

    /// Records whether another process of this balancer is running.
    pub fn set_sibling_running(&self, running: bool) {
        self.sibling_running.set(running);
    }

    /// Whether another process of this balancer is running.
    pub fn is_sibling_running(&self) -> bool {
        self.sibling_running.get()
    }

    /// Whether the process may report that it is ready, with or without an endpoint list.
    pub fn may_serve(&self, has_endpoint_list: bool) -> bool {
        has_endpoint_list || self.started_at.elapsed() > ENDPOINT_LIST_WAIT
    }

    /// Whether this process still accepts connections for good, that is, until shutdown is requested.
    pub fn accepts_connections(&self) -> bool {
        !self.phase().is_shutting_down()
    }
}
