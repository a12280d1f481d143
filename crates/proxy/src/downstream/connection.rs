//! Serves one client connection from accept to close.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper::{Request, Response, StatusCode};
use tokio::task::{spawn_local, yield_now};
use tokio::time::Instant;

use crate::downstream::client_stream::ClientStream;
use crate::downstream::connection_driver::{ConnectionDriver, ConnectionEnd};
use crate::downstream::connection_permits::ConnectionPermit;
use crate::downstream::connection_stage::ConnectionStage;
use crate::downstream::evacuation;
use crate::downstream::linger::close_lingering;
use crate::downstream::progress::{ConnectionProgress, IDLE_TIMEOUT, Rejection};
use crate::downstream::response_body::ResponseBody;
use crate::downstream::server::{Server, UpstreamTransport};
use crate::downstream::shutdown::UNUSED_CONNECTION_GRACE;
use crate::lifecycle::Phase;
use crate::log::limited_log_line;
use crate::memory::MemoryCause;

/// Maximum time that a connection may stay open without a request in the phases in which every response closes its
/// connection. It is shorter than [`IDLE_TIMEOUT`], since a client that still needs the connection sends its next request
/// soon.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after the time of the shutdown a silent response is cut off, so that a response which is due by then is not.
const SILENT_RESPONSE_GRACE: Duration = Duration::from_millis(100);
/// Minimum silence of a response that is cut off because the process exits.
const MIN_SILENCE_IN_SHUTDOWN: Duration = Duration::from_millis(500);

/// The phase of the process's lifecycle, and when the connection's task observed it.
#[derive(Clone, Copy)]
struct ObservedPhase {
    phase: Phase,
    observed_at: Instant,
}

impl<T: UpstreamTransport> Server<T> {
    /// Serves the requests of a connection until the connection ends. The permit is released after the socket is closed.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        stream: Rc<RefCell<ClientStream>>,
        permit: ConnectionPermit,
        progress: Rc<ConnectionProgress>,
    ) {
        let permit_kind = permit.kind;
        let service = service_fn({
            let server = self.clone();
            let progress = progress.clone();
            move |request| {
                let server = server.clone();
                let progress = progress.clone();
                Box::pin(
                    async move { Ok::<_, Infallible>(server.respond(request, &progress, permit_kind).await) },
                )
            }
        });
        let _entry = self.connections.insert(&progress);
        let driver = ConnectionDriver::new(stream.clone(), progress.clone(), self.memory.clone(), service);
        // Drops the driver's references to the stream first, and cancels an open request with them.
        let Some(end) = self.run_connection(driver, &progress).await else { return };
        let error = error_status_to_send(&progress, end);
        log_close(&progress, end, self.lifecycle.phase());
        let error = error.filter(|_| !progress.is_write_blocked());
        if (error.is_some() || progress.has_unread_request())
            && !progress.must_reset()
            && let Some(stream) = Rc::into_inner(stream)
        {
            // This task has the memory of a served request, and many clients may be refused at once.
            spawn_local(close_lingering(stream.into_inner().into_socket(), error, permit));
        }
    }

    /// Drives a connection to its end. Returns `None` if the process's lifecycle ends first.
    async fn run_connection<S>(
        &self,
        mut driver: ConnectionDriver<S>,
        progress: &ConnectionProgress,
    ) -> Option<ConnectionEnd>
    where
        S: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible> + Clone + Unpin,
        S::Future: Unpin,
    {
        let mut phases = self.lifecycle.subscribe();
        loop {
            let phase = *phases.borrow_and_update();
            if phase == Phase::ClosingListener {
                driver.start_graceful_shutdown();
            }
            let observed = ObservedPhase { phase, observed_at: Instant::now() };
            let deadline = || self.connection_deadline(progress, observed);
            let end = tokio::select! {
                end = poll_fn(|cx| driver.poll_end(cx, deadline)) => end,
                changed = phases.changed() => if changed.is_err() { return None } else { continue },
                () = progress.wait_for_rejection() => ConnectionEnd::Finished,
            };
            if end == ConnectionEnd::TimedOut && driver.is_idle_with_unread_input() {
                // The runtime has not polled the socket yet. Yielding lets it read the request that has arrived,
                // which closing the connection would lose.
                yield_now().await;
                continue;
            }
            return Some(end);
        }
    }

    /// Returns the deadline of the connection's current stage in the observed lifecycle phase; `None` while the proxy
    /// does not wait for the client.
    fn connection_deadline(&self, progress: &ConnectionProgress, observed: ObservedPhase) -> Option<Instant> {
        let stage_deadline = progress.deadline(IDLE_TIMEOUT);
        let phase_deadline = match progress.stage() {
            ConnectionStage::Idle => self.closing_idle_deadline(progress, observed),
            ConnectionStage::Open => self.silent_response_deadline(progress, observed.phase),
            // While the proxy does not wait for the client, the request has the time of its upload.
            ConnectionStage::Head | ConnectionStage::Body => {
                stage_deadline.and_then(|_| self.shutdown_deadline(observed.phase))
            }
        };
        stage_deadline.into_iter().chain(phase_deadline).min()
    }

    /// Returns when a response is cut off because its upstream is silent and the process exits; `None` if it need not be.
    /// A client that reads its response slowly keeps its time, and so does a response that flows.
    fn silent_response_deadline(&self, progress: &ConnectionProgress, phase: Phase) -> Option<Instant> {
        let silent_since = progress.upstream_silent_since()?;
        let shutdown_deadline = self.shutdown_deadline(phase)?;
        Some((shutdown_deadline + SILENT_RESPONSE_GRACE).max(silent_since + MIN_SILENCE_IN_SHUTDOWN))
    }

    /// Returns when an idle connection closes because of the observed phase; `None` in the phases that close no
    /// connections: a client that finds its connection closed may not know another balancer yet.
    ///
    /// A response that began before the phase has not announced that its connection closes. Once the connection may not be
    /// used again, it closes as soon as that response has been written.
    fn closing_idle_deadline(
        &self,
        progress: &ConnectionProgress,
        observed: ObservedPhase,
    ) -> Option<Instant> {
        match observed.phase {
            Phase::Running | Phase::Draining => return None,
            // Clients that send nothing must not delay the exit of the process.
            Phase::ClosingListener => return Some(observed.observed_at + UNUSED_CONNECTION_GRACE),
            Phase::Evacuated | Phase::HandingOver => {}
        }
        let end_of_evacuation = self.lifecycle.evacuated_at().map(evacuation::reusable_until);
        let reusable_until =
            end_of_evacuation.into_iter().chain(self.shutdown_deadline(observed.phase)).min()?;
        let idle_since = progress.stage_entered_at();
        let grace = if progress.awaits_first_request() { UNUSED_CONNECTION_GRACE } else { Duration::ZERO };
        Some((idle_since + CLOSING_IDLE_TIMEOUT).min(reusable_until.max(idle_since + grace)))
    }

    /// Returns when requests must have arrived because the process exits; `None` in the phases in which it may not.
    fn shutdown_deadline(&self, phase: Phase) -> Option<Instant> {
        match phase {
            Phase::Running | Phase::Evacuated | Phase::Draining => None,
            Phase::ClosingListener | Phase::HandingOver => {
                self.lifecycle.shutdown_requested_at().map(|at| at + self.shutdown.total())
            }
        }
    }
}

/// Logs a connection that the proxy closes by itself, with the stage of its request.
fn log_close(progress: &ConnectionProgress, end: ConnectionEnd, phase: Phase) {
    let stage = progress.stage();
    if let Some(Rejection::MemoryShort(cause)) = progress.rejection() {
        let name = progress.request_name();
        limited_log_line!("connection: closed because memory is short ({cause}, last request {name})");
    } else if let Some(error) = progress.rejection() {
        limited_log_line!("connection: closed after an invalid request head: {error:?}");
    } else if end == ConnectionEnd::TimedOut && stage == ConnectionStage::Idle && phase.closes_connections() {
        let name = progress.request_name();
        limited_log_line!("connection: closed while idle, clients are sent away (last request {name})");
    } else if end == ConnectionEnd::TimedOut {
        let name = progress.request_name();
        limited_log_line!(
            "connection: closed at the time limit of its stage ({stage:?}, last request {name})"
        );
    }
}

/// Returns the status of the response to a request that is rejected for this cause; `None` if a response was begun.
fn status_of_shortage(cause: MemoryCause) -> Option<StatusCode> {
    match cause {
        MemoryCause::StalledHead | MemoryCause::StalledBody => Some(StatusCode::REQUEST_TIMEOUT),
        MemoryCause::LargeRequest | MemoryCause::NewRequest => Some(StatusCode::SERVICE_UNAVAILABLE),
        MemoryCause::IdleUpstream | MemoryCause::IdleClient | MemoryCause::UnreadResponse => None,
    }
}

/// Returns the status of the error response that is still to be sent when a connection ends; `None` if none is due.
fn error_status_to_send(progress: &ConnectionProgress, end: ConnectionEnd) -> Option<StatusCode> {
    match progress.rejection() {
        Some(Rejection::MalformedHead) => Some(StatusCode::BAD_REQUEST),
        Some(Rejection::HeadTooLarge) => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        Some(Rejection::MemoryShort(cause)) => status_of_shortage(cause),
        None if end == ConnectionEnd::TimedOut && progress.stage().is_receiving() => {
            Some(StatusCode::REQUEST_TIMEOUT)
        }
        None => None,
    }
}
