//! The current phase of the process, which shutdown requests and operator overrides change.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::lifecycle::Phase;
use crate::lifecycle::overrides::{OverrideError, OverrideStore};
use crate::log::log_line;

/// How long a process without an endpoint list reports that it is not ready. After that it reports that it is ready and
/// rejects requests at once, because the platform expects readiness within 6 s of a restart even if discovery is down.
const ENDPOINT_LIST_WAIT: Duration = Duration::from_secs(5);

/// The phase of this process and the state that determines it.
pub struct Lifecycle {
    phase_sender: watch::Sender<Phase>,
    overrides: Rc<OverrideStore>,
    /// Whether another process of this balancer is running.
    other_process_running: Cell<bool>,
    /// When shutdown was first requested, or `None` before the first request.
    shutdown_requested_at: Cell<Option<Instant>>,
    /// When the process noticed the evacuation that is in force; `None` if there is none. Unlike [`Phase::Evacuated`], it
    /// outlasts the start of a shutdown.
    evacuated_at: Cell<Option<Instant>>,
    started_at: Instant,
}

impl Lifecycle {
    /// Returns the lifecycle of a process that starts now. Its phase is [`Phase::Evacuated`] if operators have evacuated the
    /// balancer.
    pub fn new(overrides: Rc<OverrideStore>) -> Rc<Lifecycle> {
        let lifecycle = Lifecycle {
            phase_sender: watch::Sender::new(Phase::Running),
            overrides,
            other_process_running: Cell::default(),
            shutdown_requested_at: Cell::default(),
            evacuated_at: Cell::default(),
            started_at: Instant::now(),
        };
        lifecycle.apply_overrides();
        Rc::new(lifecycle)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase_sender.borrow()
    }

    /// Returns a receiver that is notified of each later phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase_sender.subscribe()
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase_sender.send_replace(phase);
    }

    /// Reads the operator overrides again and enters or leaves [`Phase::Evacuated`] accordingly. Returns the
    /// resulting phase.
    pub fn apply_overrides(&self) -> Phase {
        self.overrides.refresh();
        let evacuated = self.overrides.current().evacuated;
        let evacuated_at = self.evacuated_at.get().unwrap_or_else(Instant::now);
        self.evacuated_at.set(evacuated.then_some(evacuated_at));
        self.phase_sender.send_if_modified(|phase| {
            let next = match *phase {
                Phase::Running if evacuated => Phase::Evacuated,
                Phase::Evacuated if !evacuated => Phase::Running,
                unchanged => unchanged,
            };
            if next == *phase {
                return false;
            }
            let state = if evacuated { "evacuated" } else { "rejoined" };
            log_line!("overrides: balancer {state} by operator");
            *phase = next;
            true
        });
        self.phase()
    }

    /// Evacuates all processes of the balancer, or ends the evacuation.
    ///
    /// # Errors
    /// See [`OverrideError`]. After an error the phase is unchanged.
    pub async fn set_evacuated(&self, evacuated: bool) -> Result<(), OverrideError> {
        self.overrides.change(move |overrides| overrides.evacuated = evacuated).await?;
        self.apply_overrides();
        Ok(())
    }

    /// Requests shutdown, which begins with [`Phase::Draining`]. A second request has no effect.
    pub fn request_shutdown(&self) {
        self.phase_sender.send_if_modified(|phase| {
            if phase.is_shutting_down() {
                return false;
            }
            self.shutdown_requested_at.set(Some(Instant::now()));
            *phase = Phase::Draining;
            true
        });
    }

    /// Returns when shutdown was first requested, or `None` before the first request.
    pub fn shutdown_requested_at(&self) -> Option<Instant> {
        self.shutdown_requested_at.get()
    }

    /// Returns when the process noticed the evacuation that is in force, also while it shuts down; `None` if there is none.
    pub fn evacuated_at(&self) -> Option<Instant> {
        self.evacuated_at.get()
    }

    /// Records whether another process of this balancer is running.
    pub fn set_other_process_running(&self, running: bool) {
        self.other_process_running.set(running);
    }

    /// Returns whether another process of this balancer is running, as last recorded.
    pub fn is_other_process_running(&self) -> bool {
        self.other_process_running.get()
    }

    /// Returns whether the process may report that it is ready. A process without an endpoint list may do so
    /// `ENDPOINT_LIST_WAIT` after its start.
    pub fn may_report_ready(&self, has_endpoint_list: bool) -> bool {
        has_endpoint_list || self.started_at.elapsed() > ENDPOINT_LIST_WAIT
    }

    /// Returns whether shutdown was requested. The process may still accept connections then: see [`Phase::Draining`].
    pub fn is_shutting_down(&self) -> bool {
        self.phase().is_shutting_down()
    }
}
