//! The stage of a client connection and the time limits of its stages.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use crate::downstream::connection_stage::ConnectionStage;

/// Time limit of a request head, from its first byte. Clients may take 2 s to send it.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// Time limit of a request, from its first byte to its last. A body that arrives steadily extends it; see
/// [`BodyPace`](crate::downstream::body_pace::BodyPace).
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);
/// Time limit of a connection's first request, from the start of the connection's task, once it has its permit, to the
/// request's last byte.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);

/// The stage that a connection is in and the times from which the stages' limits are counted.
pub(super) struct StageClock {
    stage: Cell<ConnectionStage>,
    entered_at: Cell<Instant>,
    head_started_at: Cell<Instant>,
    /// Deadline for the last byte of the connection's first request; `None` once that byte has arrived or the response
    /// has been written.
    first_request_deadline: Cell<Option<Instant>>,
}

impl StageClock {
    /// Creates the clock of a connection whose first request is timed from `now`. The connection has no time limit
    /// until its task is set, so its first stage is [`ConnectionStage::Open`].
    pub(super) fn new(now: Instant) -> StageClock {
        StageClock {
            stage: Cell::new(ConnectionStage::Open),
            entered_at: Cell::new(now),
            head_started_at: Cell::new(now),
            first_request_deadline: Cell::new(Some(now + FIRST_REQUEST_TIMEOUT)),
        }
    }

    /// Returns the current stage.
    pub(super) fn stage(&self) -> ConnectionStage {
        self.stage.get()
    }

    /// Enters a stage at `now`.
    pub(super) fn enter(&self, stage: ConnectionStage, now: Instant) {
        if stage == ConnectionStage::Head {
            self.head_started_at.set(now);
        }
        self.stage.set(stage);
        self.entered_at.set(now);
    }

    /// Lifts the limit on the connection's first request: later requests have only the limits of their stages.
    pub(super) fn lift_first_request_deadline(&self) {
        self.first_request_deadline.set(None);
    }

    /// Returns whether the connection waits for its first request.
    pub(super) fn awaits_first_request(&self) -> bool {
        self.first_request_deadline.get().is_some()
    }

    /// Returns when the current stage was entered.
    pub(super) fn entered_at(&self) -> Instant {
        self.entered_at.get()
    }

    /// Returns when an idle connection that may stay idle for `idle_timeout` is closed.
    pub(super) fn idle_deadline(&self, idle_timeout: Duration) -> Instant {
        self.within_first_request_deadline(self.entered_at.get() + idle_timeout)
    }

    /// Returns the deadline for the end of the current request's head.
    pub(super) fn head_deadline(&self) -> Instant {
        self.within_first_request_deadline(self.head_started_at.get() + HEAD_TIMEOUT)
    }

    /// Returns the deadline for the last byte of the current request, without the extension by the pace of its body.
    pub(super) fn request_deadline(&self) -> Instant {
        self.within_first_request_deadline(self.head_started_at.get() + REQUEST_TIMEOUT)
    }

    fn within_first_request_deadline(&self, deadline: Instant) -> Instant {
        self.first_request_deadline.get().map_or(deadline, |first| deadline.min(first))
    }
}
