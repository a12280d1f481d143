//! Retries: their budget and backoff, and when and where a request may be sent again.

use crate::context::Context;
use crate::event::{Micros, Outcome, ServerEntry};
use crate::jitter::jitter;
use crate::request::Request;
use crate::settings::{DedupScope, Idempotency, Settings};

/// Mean backoff before a retry, in median latencies: short relative to the call, and long enough to spread
/// retries.
pub(crate) const BACKOFF_MEDIANS: f64 = 0.1;
/// Retries that each first attempt adds to the budget.
const BUDGET_PER_REQUEST: f64 = 0.1;
/// Maximum of the budget, in retries.
const MAX_BUDGET: f64 = 5.0;

/// The budget of retries. It keeps retries from multiplying the load on failing servers.
pub(crate) struct RetryBudget {
    /// Retries that may still be sent.
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn full() -> Self {
        RetryBudget { balance: MAX_BUDGET }
    }

    /// Adds [`BUDGET_PER_REQUEST`] for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + BUDGET_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Returns whether the request may be sent again after the outcome, and takes a retry from the budget if
    /// it needs one.
    ///
    /// After an attempt that may have run, a request is sent again once, if it may be repeated and the budget
    /// allows it. After an attempt that never ran it is sent again while attempts are left.
    pub fn authorize_retry(&mut self, settings: &Settings, request: &mut Request, outcome: Outcome) -> bool {
        let attempts_left = request.attempts() < settings.limits.max_attempts;
        if outcome.never_ran() || !attempts_left {
            return attempts_left;
        }
        let repeatable = settings.classes[request.class()].idempotency != Idempotency::NotIdempotent;
        let allowed = !request.retried() && repeatable && self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
            request.mark_retried();
        }
        allowed
    }
}

/// Returns the backoff before a retry, in microseconds. `median` is 0 while none is known.
pub(crate) fn backoff(context: &mut Context, median: f64) -> Micros {
    let backoff = (median * BACKOFF_MEDIANS * jitter(&mut context.rng)) as Micros;
    backoff.max(context.settings.tick)
}

/// Returns whether a request may be repeated at every server: it is idempotent, or all servers drop repeats.
pub(crate) fn repeatable_anywhere(idempotency: Idempotency) -> bool {
    matches!(idempotency, Idempotency::Idempotent | Idempotency::WithKey { scope: DedupScope::All, .. })
}

/// Returns whether the request must no longer be repeated, because the servers may have forgotten its
/// earliest attempt and would run it twice.
pub(crate) fn dedup_window_expired(context: &Context, request: &Request) -> bool {
    remaining_dedup_window(context, request) == Some(0)
}

/// Returns for how long the request may still be repeated, `None` without a limit. The servers may forget its
/// earliest attempt after that, so the first byte of a repeat must be written within this time.
pub(crate) fn remaining_dedup_window(context: &Context, request: &Request) -> Option<Micros> {
    let first_run = request.first_run()?;
    match context.settings.classes[request.class()].idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NotIdempotent => Some(0),
        Idempotency::WithKey { window, .. } => {
            let window_end = first_run.sent_at + window;
            Some(window_end.saturating_sub(context.now() + context.settings.tick))
        }
    }
}

/// Returns whether the request may be sent to the server: none of its attempts has run, or the server drops
/// repeats of it, or it is idempotent.
pub(crate) fn in_dedup_scope(settings: &Settings, request: &Request, entry: &ServerEntry) -> bool {
    let Some(first_run) = request.first_run() else { return true };
    match settings.classes[request.class()].idempotency {
        Idempotency::WithKey { scope: DedupScope::Zone, .. } => entry.zone == first_run.zone,
        Idempotency::WithKey { scope: DedupScope::Cell, .. } => entry.cell == first_run.cell,
        _ => true,
    }
}
