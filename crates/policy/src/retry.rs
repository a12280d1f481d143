//! Retries: their budget and backoff, and when and where a request may be sent again.

use crate::context::Context;
use crate::event::{Micros, Outcome, ServerEntry};
use crate::request::Request;
use crate::settings::{DedupScope, Idempotency, Settings};

/// Wait before a retry, in medians: short beside the call, long enough to spread.
pub(crate) const BACKOFF: f64 = 0.1;
/// Retries that one first attempt pays for.
const BUDGET_PER_REQUEST: f64 = 0.1;
/// Retries that may be saved up.
const MAX_BUDGET: f64 = 5.0;

/// The retries that may still be sent: prevents them from multiplying the load of servers that fail.
pub(crate) struct RetryBudget(f64);

impl RetryBudget {
    pub fn full() -> Self {
        RetryBudget(MAX_BUDGET)
    }

    /// A first attempt was sent.
    pub fn deposit(&mut self) {
        self.0 = (self.0 + BUDGET_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Whether the request goes out again. One retry after a time-out, error or broken connection, paid from
    /// the budget; what never ran goes out again as long as attempts are left.
    pub fn allows(&mut self, settings: &Settings, request: &mut Request, outcome: Outcome) -> bool {
        let attempts_left = request.attempts < settings.limits.max_attempts;
        if outcome.never_ran() || !attempts_left {
            return attempts_left;
        }
        let repeatable = settings.classes[request.class].idempotency != Idempotency::NotIdempotent;
        let allowed = !request.retried && repeatable && self.0 >= 1.0;
        if allowed {
            self.0 -= 1.0;
            request.retried = true;
        }
        allowed
    }
}

/// Wait before a retry; `median` is 0 while none is known.
pub(crate) fn backoff(context: &mut Context, median: f64) -> Micros {
    let backoff = (median * BACKOFF * (0.5 + context.rng.f64())) as Micros;
    backoff.max(context.settings.tick)
}

/// Whether any server drops a repeat of such a request, or may run it anyway.
pub(crate) fn repeatable_anywhere(idempotency: Idempotency) -> bool {
    matches!(idempotency, Idempotency::Idempotent | Idempotency::WithKey { scope: DedupScope::All, .. })
}

/// Prevents a repeat after the servers have forgotten the request.
pub(crate) fn dedup_window_over(context: &Context, request: &Request) -> bool {
    let Some(first_run) = request.first_run else { return false };
    match context.settings.classes[request.class].idempotency {
        Idempotency::Idempotent => false,
        Idempotency::NotIdempotent => true,
        Idempotency::WithKey { window, .. } => {
            context.now + context.settings.tick >= first_run.sent_at + window
        }
    }
}

/// Whether the server drops a repeat of the request, or may run it anyway.
pub(crate) fn in_dedup_scope(settings: &Settings, request: &Request, entry: &ServerEntry) -> bool {
    let Some(first_run) = request.first_run else { return true };
    match settings.classes[request.class].idempotency {
        Idempotency::WithKey { scope: DedupScope::Zone, .. } => entry.zone == first_run.zone,
        Idempotency::WithKey { scope: DedupScope::Cell, .. } => entry.cell == first_run.cell,
        _ => true,
    }
}
