//! The interface through which the dispatcher uses sockets.

use std::rc::Rc;

use zincstand_policy::{ListKind, Micros, ServerId};

use crate::discovery::endpoint::{Endpoint, Target};
use crate::dispatch::begin_check::BeginCheck;
use crate::dispatch::completion::AttemptCompletion;
use crate::dispatch::messages::HealthCheckResult;

/// Connections to upstreams and to discovery. No method invokes a callback or completion before it returns: the
/// dispatcher calls the transport while it handles the policy's actions.
pub trait Transport: Sized + 'static {
    /// A request as it is sent to upstreams.
    type Request;
    /// A response of an upstream.
    type Response;
    /// The handle of an attempt in flight.
    type Attempt;

    /// Starts an attempt with a time limit in microseconds and reports its result through `completion`. The dispatcher
    /// aborts the attempt when the time limit is over. `check` must be called immediately before the first byte is
    /// written; if it fails, nothing may be written.
    fn send(
        &self,
        target: Target,
        request: Rc<Self::Request>,
        time_limit: Micros,
        check: BeginCheck,
        completion: AttemptCompletion<Self::Response>,
    ) -> Self::Attempt;

    /// Returns whether a part of the request's body was forwarded and not buffered, so that no other attempt can send it
    /// again.
    fn body_consumed(request: &Self::Request) -> bool;

    /// Returns for how long the complete body of a request may have been with this machine, in microseconds; 0 while the
    /// proxy waits for the client to send more of it, and for a buffered body.
    fn max_body_age(request: &Self::Request) -> Micros;

    /// Returns the id that the client has given the request, for the log.
    fn request_name(request: &Self::Request) -> &str;

    /// Records that an upstream may have run the request.
    fn record_may_have_run(request: &Self::Request);

    /// Returns whether the client has disconnected, as far as the kernel knows at this moment.
    fn client_disconnected(request: &Self::Request) -> bool;

    /// Returns whether a byte of the attempt's request was written.
    fn has_begun(attempt: &Self::Attempt) -> bool;

    /// Aborts an attempt by closing its connection. Returns whether the upstream may have run the request.
    fn abort(&self, attempt: Self::Attempt) -> bool;

    /// Checks the health of an upstream and passes the result to `on_result`.
    fn health_check(&self, target: Target, on_result: impl FnOnce(HealthCheckResult) + 'static);

    /// Closes the idle connections to an upstream.
    fn close_idle(&self, server: ServerId);

    /// Watches discovery from now on and passes each list to `on_list`.
    fn watch(&self, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static);

    /// Fetches the complete list once from discovery and passes it to `on_list`.
    fn fetch(&self, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static);
}
