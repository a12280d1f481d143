//! The rules that each action of a balancer must keep.

use zincstand_policy::{Action, DedupScope, Idempotency, Micros, RequestId, ServerId};

use super::simulation::{AttemptInFlight, FirstRun, Simulation, Timer};

impl Simulation {
    /// Checks an action and carries it out.
    pub(super) fn check(&mut self, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.check_send(request, server, limit),
            Action::Reject { request, .. } => self.check_reject(request),
            Action::Fail { request } => {
                self.open.remove(&request).expect("failed a request that is not open");
                self.failed.push(request);
            }
            Action::Timer { delay, token } => {
                self.next += 1;
                self.timers.insert(Timer { due: self.now + delay.max(1), sequence: self.next, token });
            }
            Action::Watch | Action::Fetch => self.polls += 1,
            Action::CloseIdle { server } => {
                assert!(self.servers.contains_key(&server), "closed connections to an unknown server");
            }
            Action::HealthCheck { .. } => {
                assert!(self.settings.limits.health_checks, "health checks are not allowed");
            }
            Action::Cancel { .. } => assert!(self.settings.limits.cancel, "cancelling is not allowed"),
        }
    }

    fn check_reject(&mut self, request: RequestId) {
        let open = self.open.remove(&request).expect("rejected a request that is not open");
        let repeatable = matches!(
            self.settings.classes[open.class].idempotency,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DedupScope::All, .. }
        );
        let in_flight = self.in_flight.iter().any(|attempt| attempt.request == request);
        assert!(
            repeatable || (open.first_run.is_none() && !in_flight),
            "rejected a request that may have run"
        );
        self.rejected.push(request);
    }

    fn check_send(&mut self, request: RequestId, server: ServerId, limit: Micros) {
        assert!(!self.unavailable.contains(&server), "sent to a server that is draining or removed");
        let in_flight = self.in_flight.iter().filter(|attempt| attempt.request == request).count();
        let open = self.open.get(&request).expect("sent a request that is not open");
        assert!(self.settings.limits.hedging || in_flight == 0, "two attempts in flight at once");
        assert!(open.attempts < self.settings.limits.max_attempts, "too many attempts");
        assert!(self.now + limit <= open.deadline, "an attempt outlives its request");
        if let Some(first_run) = open.first_run {
            self.check_repeat(open.class, first_run, server);
        }
        let open = self.open.get_mut(&request).expect("the request is open");
        let attempt = open.attempts;
        open.attempts += 1;
        *self.sends.entry(server).or_default() += 1;
        self.in_flight.push(AttemptInFlight { request, attempt, server, sent_at: self.now, limit });
    }

    /// Checks that a request which may have run may be repeated at the server.
    fn check_repeat(&self, class: usize, first_run: FirstRun, server: ServerId) {
        let from = &self.servers[&first_run.server];
        let to = &self.servers[&server];
        match self.settings.classes[class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => panic!("a request that is not idempotent was sent again"),
            Idempotency::WithKey { scope, window } => {
                assert!(self.now < first_run.sent_at + window, "sent again after the window of its key");
                let in_scope = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => from.zone == to.zone,
                    DedupScope::Cell => from.cell == to.cell,
                };
                assert!(in_scope, "sent again outside the scope of its key");
            }
        }
    }
}
