//! The dispatcher's transport on real sockets.

use std::rc::Rc;

use zincstand_policy::{ListKind, Micros, ServerId};

use crate::discovery::Discovery;
use crate::discovery::endpoint::{Endpoint, Target};
use crate::dispatch::{AttemptCompletion, BeginCheck, HealthCheckResult, Transport};
use crate::upstream::{Attempt, UpstreamRequest, UpstreamResponse, Upstreams};

/// Connections to upstreams and to discovery.
pub struct SocketTransport {
    /// The connections to upstreams.
    pub upstreams: Rc<Upstreams>,
    /// The client of discovery.
    pub discovery: Rc<Discovery>,
}

impl Transport for SocketTransport {
    type Request = UpstreamRequest;
    type Response = UpstreamResponse;
    type Attempt = Attempt;

    fn send(
        &self,
        target: Target,
        request: Rc<UpstreamRequest>,
        time_limit: Micros,
        check: BeginCheck,
        completion: AttemptCompletion<UpstreamResponse>,
    ) -> Attempt {
        self.upstreams.send(target, &request, time_limit, check, completion)
    }

    fn body_consumed(request: &UpstreamRequest) -> bool {
        request.body_consumed()
    }

    fn max_body_age(request: &UpstreamRequest) -> Micros {
        request.body.max_age().as_micros() as Micros
    }

    fn request_name(request: &UpstreamRequest) -> &str {
        request.name()
    }

    fn record_may_have_run(request: &UpstreamRequest) {
        if let Some(claim) = &request.id_claim {
            claim.record_may_have_run();
        }
    }

    fn client_disconnected(request: &UpstreamRequest) -> bool {
        request.client_disconnected()
    }

    fn has_begun(attempt: &Attempt) -> bool {
        attempt.has_begun()
    }

    fn abort(&self, attempt: Attempt) -> bool {
        attempt.abort()
    }

    fn health_check(&self, target: Target, on_result: impl FnOnce(HealthCheckResult) + 'static) {
        self.upstreams.health_check(target, on_result);
    }

    fn close_idle(&self, server: ServerId) {
        self.upstreams.close_idle(server);
    }

    fn watch(&self, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        self.discovery.watch(on_list);
    }

    fn fetch(&self, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        self.discovery.fetch(on_list);
    }
}
