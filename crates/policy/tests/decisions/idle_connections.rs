//! Idle connections that fail.

use std::collections::BTreeSet;

use crate::common::{MS, Response, SECOND, Simulation, ok_after, settings};
use crate::helpers::serve;
use zincstand_policy::{Action, Idempotency, Micros, RequestId, ServerEntry};

/// A network that drops idle connections without notice: only attempts on new connections get a response.
struct DroppingNetwork {
    simulation: Simulation,
    /// Requests whose first attempt was sent on a new connection.
    on_new_connection: BTreeSet<RequestId>,
}

impl DroppingNetwork {
    /// Delivers requests, and returns for how many of them idle connections were closed first.
    fn count_closed_first(&mut self, requests: u32) -> u32 {
        let mut closed = 0;
        for _ in 0..requests {
            let trace_start = self.simulation.trace.len();
            let id = self.simulation.request(0);
            let closes_idle = |entry: &(Micros, Action)| matches!(entry.1, Action::CloseIdle { .. });
            if self.simulation.trace[trace_start..].iter().any(closes_idle) {
                closed += 1;
                self.on_new_connection.insert(id);
            }
            self.simulation.run_for(800 * MS, |attempt| {
                let on_new_connection =
                    attempt.attempt == 0 && self.on_new_connection.contains(&attempt.request);
                if on_new_connection { ok_after(10 * MS) } else { Response::Never }
            });
        }
        closed
    }
}

#[test]
fn idle_connections_that_lose_attempts_are_closed_before_use() {
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.classes[0].deadline = 20 * SECOND;
    let mut simulation = Simulation::new(settings, (0..12).map(ServerEntry::new).collect(), 7);
    serve(&mut simulation, 0, 200, 10 * MS);
    let mut network = DroppingNetwork { simulation, on_new_connection: BTreeSet::new() };
    assert_eq!(
        network.count_closed_first(2),
        0,
        "idle connections are closed after two losses, which may be chance"
    );
    assert!(network.count_closed_first(60) > 0, "no idle connection was closed before the next attempt");
}
