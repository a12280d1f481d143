//! A circuit breaker and a server's set of them: states and changes. When one opens is decided elsewhere.

use crate::event::{ClassId, Micros};

#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum BreakerState {
    #[default]
    Closed,
    /// Nothing passes until then.
    Open { until: Micros },
    /// A trial is in flight.
    HalfOpen,
}

/// Opens after failures in a row; open, it lets one trial at a time through.
#[derive(Clone, Default)]
pub(crate) struct Breaker {
    pub state: BreakerState,
    /// Failures since the last success.
    pub failures: u32,
}

/// Whether breakers let an attempt through.
#[derive(Debug, PartialEq)]
pub(crate) enum Admission {
    Admitted,
    /// As the one trial of a breaker whose open time is over.
    Trial,
    Blocked,
}

/// The breaker of all classes together, then one for each: a server may fail one class and serve the rest.
#[derive(Default)]
pub(crate) struct Breakers(pub Vec<Breaker>);

impl Breakers {
    /// Closed breakers for a server of so many classes.
    pub fn new(classes: usize) -> Self {
        Breakers(vec![Breaker::default(); classes + 1])
    }

    /// Whether the common breaker and that of the class let an attempt through.
    pub fn admission(&self, class: ClassId, now: Micros) -> Admission {
        let mut admission = Admission::Admitted;
        for breaker in [&self.0[0], &self.0[class + 1]] {
            admission = match breaker.state {
                BreakerState::Closed => admission,
                BreakerState::Open { until } if now >= until => Admission::Trial,
                BreakerState::Open { .. } | BreakerState::HalfOpen => return Admission::Blocked,
            };
        }
        admission
    }

    /// The common breaker is closed.
    pub fn all_classes_closed(&self) -> bool {
        self.0[0].state == BreakerState::Closed
    }

    /// At least one breaker is not closed.
    pub fn ejected(&self) -> bool {
        self.0.iter().any(|breaker| breaker.state != BreakerState::Closed)
    }

    /// An attempt of the class starts: what is not closed has its trial.
    pub fn start_attempt(&mut self, class: ClassId) {
        for index in [0, class + 1] {
            let state = &mut self.0[index].state;
            if *state != BreakerState::Closed {
                *state = BreakerState::HalfOpen;
            }
        }
    }

    /// The common breaker, then that of the class if it is known.
    pub fn common_and_own(&mut self, class: Option<ClassId>) -> impl Iterator<Item = &mut Breaker> {
        let own = class.map(|class| class + 1);
        let wanted = move |index: usize| index == 0 || Some(index) == own;
        let breakers = self.0.iter_mut().enumerate();
        breakers.filter(move |(index, _)| wanted(*index)).map(|(_, breaker)| breaker)
    }

    /// An attempt ended without a result: what was half open may have its next trial at once.
    pub fn allow_next_trial(&mut self, now: Micros) {
        for breaker in self.0.iter_mut().filter(|breaker| breaker.state == BreakerState::HalfOpen) {
            breaker.state = BreakerState::Open { until: now };
        }
    }
}
