//! Circuit breakers of a server: their states and transitions. [`crate::outlier`] decides when one opens.

use crate::event::{ClassId, Micros};
use crate::learned::LearnedBreaker;

/// State of a circuit breaker.
#[derive(Clone, Copy, Default, PartialEq)]
enum BreakerState {
    /// Attempts pass.
    #[default]
    Closed,
    /// No attempt passes before `until`. From then on one trial may pass.
    Open { until: Micros },
    /// A trial is in flight, or its response is arriving. Another trial may pass from `next_trial_at` on, `None`
    /// if only after the end of this one.
    HalfOpen { next_trial_at: Option<Micros> },
}

/// A circuit breaker: opens after consecutive failures, and lets one trial at a time pass once its open time
/// is over.
#[derive(Clone, Default)]
pub(crate) struct Breaker {
    state: BreakerState,
    /// Consecutive failures: those since the last success.
    failures: u32,
}

impl Breaker {
    /// Records a success: closes the breaker.
    pub fn record_success(&mut self) {
        *self = Breaker::default();
    }

    /// Records a failure and returns the number of consecutive failures.
    pub fn record_failure(&mut self) -> u32 {
        self.failures += 1;
        self.failures
    }

    /// Opens the breaker until the given time.
    pub fn open(&mut self, until: Micros) {
        self.state = BreakerState::Open { until };
    }

    fn export(&self, now: Micros) -> LearnedBreaker {
        let open_until = match self.state {
            BreakerState::Closed => None,
            BreakerState::Open { until } => Some(until),
            BreakerState::HalfOpen { .. } => Some(now),
        };
        LearnedBreaker { failures: self.failures, open_until }
    }

    fn import(&mut self, learned: &LearnedBreaker) {
        let state = learned.open_until.map(|until| BreakerState::Open { until });
        *self = Breaker { state: state.unwrap_or_default(), failures: learned.failures };
    }

    /// Whether a trial is in flight.
    pub fn is_half_open(&self) -> bool {
        matches!(self.state, BreakerState::HalfOpen { .. })
    }
}

/// Whether breakers let an attempt pass.
#[derive(Debug, PartialEq)]
pub(crate) enum BreakerPermission {
    /// The attempt may pass.
    Granted,
    /// The attempt may pass as the one trial of a breaker whose open time is over.
    Trial,
    /// The attempt may not pass.
    Denied,
}

/// The circuit breakers of a server: the common one of all classes first, then one for each class, because a
/// server may fail one class and serve the others.
#[derive(Default)]
pub(crate) struct Breakers(Vec<Breaker>);

impl Breakers {
    /// Creates closed breakers for a server of `classes` classes.
    pub fn new(classes: usize) -> Self {
        Breakers(vec![Breaker::default(); classes + 1])
    }

    /// Whether there are no breakers yet: the server has not been listed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the common breaker and that of the class let an attempt pass.
    pub fn permission(&self, class: ClassId, now: Micros) -> BreakerPermission {
        let mut permission = BreakerPermission::Granted;
        for breaker in [&self.0[0], &self.0[class + 1]] {
            permission = match breaker.state {
                BreakerState::Closed => permission,
                BreakerState::Open { until } if now >= until => BreakerPermission::Trial,
                BreakerState::HalfOpen { next_trial_at: Some(at) } if now >= at => BreakerPermission::Trial,
                BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => {
                    return BreakerPermission::Denied;
                }
            };
        }
        permission
    }

    /// Whether the common breaker is closed.
    pub fn common_closed(&self) -> bool {
        self.0[0].state == BreakerState::Closed
    }

    /// Whether at least one breaker is not closed.
    pub fn ejected(&self) -> bool {
        self.0.iter().any(|breaker| breaker.state != BreakerState::Closed)
    }

    /// Records the start of an attempt of the class: it is the trial of each of its breakers that is not
    /// closed.
    pub fn start_attempt(&mut self, class: ClassId) {
        for index in [0, class + 1] {
            let state = &mut self.0[index].state;
            if *state != BreakerState::Closed {
                *state = BreakerState::HalfOpen { next_trial_at: None };
            }
        }
    }

    /// Returns the common breaker, then that of the class unless it is `None`.
    pub fn common_and_class(&mut self, class: Option<ClassId>) -> impl Iterator<Item = &mut Breaker> {
        let own = class.map(|class| class + 1);
        let wanted = move |index: usize| index == 0 || Some(index) == own;
        let breakers = self.0.iter_mut().enumerate();
        breakers.filter(move |(index, _)| wanted(*index)).map(|(_, breaker)| breaker)
    }

    /// Records an attempt that ended without a result: half-open breakers may have their next trial at once.
    pub fn allow_next_trial(&mut self, now: Micros) {
        for breaker in self.0.iter_mut().filter(|breaker| breaker.is_half_open()) {
            breaker.state = BreakerState::Open { until: now };
        }
    }

    /// Records that the response to an attempt has started: half-open breakers stay so until it has ended, but
    /// may have their next trial at `next_trial_at`, since its client may read slowly or leave.
    pub fn await_response_end(&mut self, next_trial_at: Micros) {
        for breaker in self.0.iter_mut().filter(|breaker| breaker.is_half_open()) {
            breaker.state = BreakerState::HalfOpen { next_trial_at: Some(next_trial_at) };
        }
    }

    /// Exports each breaker. A breaker with a trial in flight is exported as ready for the next one.
    pub fn export(&self, now: Micros) -> Vec<LearnedBreaker> {
        self.0.iter().map(|breaker| breaker.export(now)).collect()
    }

    /// Imports the breakers of the replaced process.
    pub fn import(&mut self, learned: &[LearnedBreaker]) {
        for (breaker, learned) in self.0.iter_mut().zip(learned) {
            breaker.import(learned);
        }
    }
}

#[cfg(test)]
mod tests;
