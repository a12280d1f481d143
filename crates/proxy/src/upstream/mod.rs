//! The upstream side: the connection pool, and the attempts and health checks that use its connections.

mod attempt;
pub mod body_prefix;
mod connection_lease;
pub mod downstream_client;
pub mod pool;
mod request;
pub mod request_body_stream;
mod response;
mod response_body_stream;
mod send_guard;
mod silence;
pub mod upstream_connection;

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};
use zincstand_policy as policy;
use zincstand_policy::{Micros, Outcome, ServerId};

use crate::discovery::endpoint::Target;
use crate::dispatch::{AttemptCompletion, BeginCheck, HealthCheckResult};
use crate::memory::MemoryBudget;
use crate::upstream::attempt::{AttemptProgress, exchange};
use crate::upstream::pool::ConnectionPool;

pub use crate::upstream::attempt::Attempt;
pub use crate::upstream::request::{RequestBody, UpstreamRequest, log_name, shorten_log_name};
pub use crate::upstream::response::{UpstreamBody, UpstreamResponse};
pub use crate::upstream::response_body_stream::{ResponseBodyStream, ResponseError};

/// Time limit of a health check, from acquiring a connection to the end of the response.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// The connections to all upstreams.
pub struct Upstreams {
    pool: Rc<ConnectionPool>,
}

impl Upstreams {
    /// Creates an empty pool that opens at most `max_connections` connections, whose responses are buffered within `memory`.
    pub fn new(limits: &policy::Limits, max_connections: usize, memory: Rc<MemoryBudget>) -> Upstreams {
        Upstreams { pool: Rc::new(ConnectionPool::new(limits, max_connections, memory)) }
    }

    /// Closes all idle connections, and returns how many there were.
    pub fn close_all_idle(&self) -> usize {
        self.pool.close_all_idle()
    }

    /// Changes the limit on open connections. Idle connections above the new limit are closed.
    pub fn resize(&self, max_connections: usize) {
        self.pool.resize(max_connections);
    }

    /// Closes connections that have been idle for too long; never returns.
    pub fn close_expired(&self) -> impl Future<Output = ()> + use<> {
        self.pool.clone().close_expired()
    }

    /// Starts an attempt and reports its end to `completion`. The deadline header of the forwarded request states how
    /// much of `time_limit`, in microseconds, is left. `check` is called immediately before the first byte.
    pub fn send(
        &self,
        target: Target,
        request: &Rc<UpstreamRequest>,
        time_limit: Micros,
        check: BeginCheck,
        completion: AttemptCompletion<UpstreamResponse>,
    ) -> Attempt {
        let pool = self.pool.clone();
        let progress = AttemptProgress::new(request, Some(check));
        let task_progress = progress.clone();
        let task = spawn_local(async move {
            let result = exchange(&pool, target, Some(time_limit), &task_progress).await;
            // The connection is put back before the outcome is reported, so that an attempt which the dispatcher starts
            // in response to this outcome can reuse it.
            let not_ready =
                result.connection.and_then(|connection| pool.put_if_ready(target.server, connection));
            match result.response {
                Some(UpstreamResponse { headers, body: UpstreamBody::Streamed(mut stream) }) => {
                    stream.set_completion(completion.response_completion());
                    let response = UpstreamResponse { headers, body: UpstreamBody::Streamed(stream) };
                    completion.report_started(result.load_report, response);
                }
                response => completion.report(result.outcome, result.load_report, response),
            }
            if let Some(connection) = not_ready {
                pool.put_when_ready(target.server, connection).await;
            }
        });
        Attempt::new(task.abort_handle(), progress)
    }

    /// Sends a health check to an upstream and calls `on_result` with the result.
    pub fn health_check(&self, target: Target, on_result: impl FnOnce(HealthCheckResult) + 'static) {
        let pool = self.pool.clone();
        spawn_local(async move {
            let progress = AttemptProgress::new(&Rc::new(UpstreamRequest::health_check()), None);
            let start = Instant::now();
            let result = timeout(HEALTH_CHECK_TIMEOUT, exchange(&pool, target, None, &progress)).await;
            let result = result.unwrap_or_else(|_| Outcome::TimedOut.into());
            on_result(HealthCheckResult {
                outcome: result.outcome,
                latency: start.elapsed(),
                load: result.load_report,
            });
            if let Some(connection) = result.connection {
                pool.put_when_ready(target.server, connection).await;
            }
        });
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }
}

#[cfg(test)]
mod tests;
