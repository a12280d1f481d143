//! Choice of a ready server by the baselines without full knowledge.

use std::collections::BTreeMap;

use zincstand_policy::ServerId;

use super::known_state::KnownServer;

/// A baseline's strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Strategy {
    /// Any ready server, drawn at random.
    Random,
    /// All ready servers in turn.
    RoundRobin,
    /// Of two random servers, the server with fewer attempts in flight.
    TwoChoices,
    /// The server with the fewest attempts in flight.
    LeastInFlight,
    /// The server that would answer first by the true state of all servers, see [`super::full_knowledge`].
    FullKnowledge,
}

/// Chooses servers by the balancer's own attempts in flight, or at random.
pub(super) struct Selector {
    strategy: Strategy,
    rng: fastrand::Rng,
    /// Number of the latest turn of round robin.
    turn: usize,
}

impl Selector {
    /// Creates a selector. Round robin starts after `first_turn`, so that balancers do not all start with the same
    /// server.
    pub fn new(strategy: Strategy, first_turn: usize, seed: u64) -> Selector {
        Selector { strategy, rng: fastrand::Rng::with_seed(seed), turn: first_turn }
    }

    /// Chooses one of the candidates.
    ///
    /// # Panics
    ///
    /// There are no candidates.
    pub fn choose(
        &mut self,
        candidates: &[ServerId],
        last: Option<ServerId>,
        servers: &BTreeMap<ServerId, KnownServer>,
    ) -> ServerId {
        let in_flight = |id: ServerId| servers.get(&id).map_or(0, |known| known.in_flight);
        match self.strategy {
            Strategy::Random | Strategy::FullKnowledge => self.draw_other(candidates, last),
            Strategy::RoundRobin => {
                self.turn += 1;
                candidates[self.turn % candidates.len()]
            }
            Strategy::TwoChoices => {
                let first = self.draw_other(candidates, last);
                let second = self.draw_other(candidates, last);
                if in_flight(second) < in_flight(first) { second } else { first }
            }
            Strategy::LeastInFlight => self.least_in_flight(candidates, last, in_flight),
        }
    }

    /// Draws a candidate other than the last server, or the last server if it is the only one.
    fn draw_other(&mut self, candidates: &[ServerId], last: Option<ServerId>) -> ServerId {
        let drawn = self.rng.usize(..candidates.len());
        if candidates.len() > 1 && Some(candidates[drawn]) == last {
            candidates[(drawn + 1) % candidates.len()]
        } else {
            candidates[drawn]
        }
    }

    /// Draws one of the candidates with the fewest attempts in flight. The last server is eligible only if it is the
    /// only candidate.
    fn least_in_flight(
        &mut self,
        candidates: &[ServerId],
        last: Option<ServerId>,
        in_flight: impl Fn(ServerId) -> u32,
    ) -> ServerId {
        let mut ties = Vec::new();
        let mut fewest = u32::MAX;
        let eligible = candidates.iter().filter(|id| candidates.len() == 1 || Some(**id) != last);
        for &candidate in eligible {
            let attempts = in_flight(candidate);
            if attempts < fewest {
                fewest = attempts;
                ties.clear();
            }
            if attempts == fewest {
                ties.push(candidate);
            }
        }
        ties[self.rng.usize(..ties.len())]
    }
}
