//! The owner of the policy's state.

use std::cell::RefCell;
use std::panic::{AssertUnwindSafe, catch_unwind};

use zincstand_policy as policy;
use zincstand_policy::{Action, Event, LearnedState, Micros};

use crate::log::log_line;

/// Owns the policy's state. No other code in the proxy calls the policy.
pub(super) struct PolicyOwner {
    balancer: RefCell<policy::Balancer>,
}

impl PolicyOwner {
    /// Returns a policy with the given settings.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub(super) fn new(settings: policy::Settings, seed: u64) -> Result<PolicyOwner, policy::SettingsError> {
        let balancer = policy::Balancer::new(settings, seed)?;
        Ok(PolicyOwner { balancer: RefCell::new(balancer) })
    }

    /// Runs `operation` on the policy. All accesses borrow the state here, and the borrows are never nested: the
    /// policy does no I/O and calls nothing in the proxy. Its actions are applied after the borrow has ended.
    fn with_balancer<R>(&self, operation: impl FnOnce(&mut policy::Balancer) -> R) -> R {
        operation(&mut self.balancer.borrow_mut())
    }

    /// Passes an event to the policy, which appends its actions to `actions`.
    ///
    /// A panic of the policy is caught and logged here, so that the process continues to serve other requests. The timer
    /// `TimerKind::RequestDeadline` fails the requests that the policy leaves without a response.
    pub(super) fn handle(&self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // A panic may leave the policy's state inconsistent, which `AssertUnwindSafe` permits: the dispatcher itself
        // enforces the limits of attempts and the deadlines of requests. Unwinding releases the borrow.
        let handled = catch_unwind(AssertUnwindSafe(|| {
            self.with_balancer(|balancer| balancer.handle(now, event, actions));
        }));
        if handled.is_err() {
            log_line!("defect: the policy panicked while it handled an event");
        }
    }

    /// Returns the statistics that the policy has learned.
    pub(super) fn learned_state(&self, now: Micros) -> LearnedState {
        self.with_balancer(|balancer| balancer.learned_state(now))
    }

    /// Restores learned statistics, with the ids of this process.
    pub(super) fn restore(&self, now: Micros, learned: &LearnedState) {
        self.with_balancer(|balancer| balancer.restore(now, learned));
    }
}
