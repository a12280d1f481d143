//! Handles the requests of client connections: reports readiness, and forwards requests to the upstreams.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode, Version};
use tokio::time::sleep_until;
use zincstand_policy::{Idempotency, Micros};

use crate::dispatch::BodyEnd;
use crate::dispatch::FinalResponse;
use crate::dispatch::IncomingRequest;
use crate::dispatch::PendingRequest;
use crate::downstream::connection_permits::PermitKind;
use crate::downstream::evacuation;
use crate::downstream::headers::{REQ_ID, end_to_end_headers};
use crate::downstream::progress::ConnectionProgress;
use crate::downstream::request_validation::RequestError;
use crate::downstream::response_body::ResponseBody;
use crate::downstream::responses::{failed, plain_text, rejected, request_error};
use crate::downstream::server::{Server, UpstreamTransport};
use crate::lifecycle::Phase;
use crate::log::limited_log_line;
use crate::request_ids::RequestIdClaim;
use crate::upstream::request_body_stream::RequestBodyStream;
use crate::upstream::{RequestBody, UpstreamBody, UpstreamRequest, UpstreamResponse, log_name};

impl<T: UpstreamTransport> Server<T> {
    /// Responds to one request, and decides whether the connection closes after the response.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        progress: &Rc<ConnectionProgress>,
        permit_kind: PermitKind,
    ) -> Response<ResponseBody> {
        progress.record_request_name(log_name(request.headers().get(REQ_ID)));
        let allows_chunks = request.version() > Version::HTTP_10;
        let mut response = match request.uri().path() {
            "/health/ready" => self.readiness_response(),
            "/api" if permit_kind == PermitKind::Overflow => {
                plain_text(StatusCode::SERVICE_UNAVAILABLE, "no place")
            }
            "/api" => self.forward_or_reject(request, progress).await,
            _ => plain_text(StatusCode::NOT_FOUND, "no such path"),
        };
        let has_framing = allows_chunks || response.body().size_hint().exact().is_some();
        if !has_framing {
            progress.record_close_delimited_response();
        }
        // Bytes that follow an unread request, or one whose end only hyper knows, cannot be parsed as the next request.
        let is_last_request = progress.has_unread_request() || progress.is_last_request();
        if is_last_request {
            progress.record_last_response();
        } else if !response.body().is_streamed() {
            progress.record_response_complete();
        }
        if let Some(reason) = self.close_reason(is_last_request, permit_kind) {
            let name = progress.request_name();
            limited_log_line!("connection: closes after its response: {reason} (last request {name})");
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns why a connection with this kind of permit closes after the current response, `None` if it stays open.
    /// `is_last_request` is whether its further input cannot be read as a request.
    fn close_reason(&self, is_last_request: bool, permit_kind: PermitKind) -> Option<&'static str> {
        if is_last_request {
            Some("its further input is no request")
        } else if permit_kind == PermitKind::Overflow {
            Some("it exceeds the limit on connections")
        } else if self.permits.is_nearly_full() {
            Some("few permits are free")
        } else if self.lifecycle.phase().closes_connections() {
            Some("clients are sent away")
        } else {
            None
        }
    }

    /// Creates the readiness response, which says whether clients may send requests to this address.
    fn readiness_response(&self) -> Response<ResponseBody> {
        // While the successor of this process runs, the address continues to accept clients.
        let accepting = match self.lifecycle.apply_overrides() {
            Phase::Running => true,
            Phase::Draining | Phase::HandingOver => {
                self.lifecycle.is_other_process_running() && self.lifecycle.evacuated_at().is_none()
            }
            Phase::Evacuated | Phase::ClosingListener => false,
        };
        if accepting && self.lifecycle.may_report_ready(self.dispatcher.has_endpoint_list()) {
            plain_text(StatusCode::OK, "ready")
        } else {
            plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    /// Forwards a request to the upstreams, and responds with an error if it cannot be forwarded.
    async fn forward_or_reject(
        &self,
        request: Request<Incoming>,
        progress: &Rc<ConnectionProgress>,
    ) -> Response<ResponseBody> {
        let id = request.headers().get(REQ_ID).cloned();
        self.forward(request, progress).await.unwrap_or_else(|error| {
            let id = log_name(id.as_ref());
            limited_log_line!("request: not forwarded: {error} (id {id})");
            request_error(error)
        })
    }

    /// Forwards a request to the upstreams, and waits for the final response.
    ///
    /// # Errors
    ///
    /// A [`RequestError`] if the request is invalid, its body does not arrive completely, or there is no memory for it.
    async fn forward(
        &self,
        request: Request<Incoming>,
        progress: &Rc<ConnectionProgress>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let mut incoming = self.validator.read(request, progress, &self.memory).await?;
        incoming.time_left = incoming.time_left.min(self.phase_time_limit());
        incoming.request.id_claim = Some(self.claim_id(&incoming)?);
        let upload = match &incoming.request.body {
            RequestBody::Complete(_) => None,
            RequestBody::Streamed(upload) => Some(upload.clone()),
        };
        if upload.is_none() {
            progress.record_request_complete();
            // The client may have disconnected while its connection waited for a permit or before its request was
            // read.
            if progress.disconnected_now().await {
                return Err(RequestError::bad_request("the caller has left"));
            }
        }
        let pending = self.dispatcher.submit(incoming);
        let response = match upload {
            None => pending.final_response().await,
            Some(upload) => self.respond_to_upload(pending, upload, progress).await?,
        };
        Ok(client_response(response, progress))
    }

    /// Claims the id of a request until its last attempt has ended, and for longer if it may have run and must not run
    /// again.
    ///
    /// # Errors
    ///
    /// A 400 or 409 error if the id is in use or has been used, a 503 error if it cannot be remembered.
    fn claim_id(&self, incoming: &IncomingRequest<UpstreamRequest>) -> Result<RequestIdClaim, RequestError> {
        let id = incoming.request.headers.get(REQ_ID).ok_or(RequestError::NO_REQUEST_ID)?;
        let repeatable = self.validator.idempotency(incoming.class) == Some(Idempotency::Idempotent);
        self.request_ids.claim(id.as_bytes(), repeatable).map_err(RequestError::unclaimed_id)
    }

    /// Waits for the final response to a request whose body is still arriving.
    ///
    /// # Errors
    ///
    /// A [`RequestError`] if the body ends before its last byte, or the time for a graceful shutdown does.
    async fn respond_to_upload(
        &self,
        pending: PendingRequest<T>,
        upload: Rc<RequestBodyStream>,
        progress: &ConnectionProgress,
    ) -> Result<FinalResponse<T::Response>, RequestError> {
        let body_end = async {
            let end = tokio::select! {
                biased;
                end = upload.wait_for_end() => end,
                () = self.shutdown_time_over() => BodyEnd::ShutDown,
            };
            if end == BodyEnd::Complete {
                progress.record_request_complete();
            }
            end
        };
        let response = pending.final_response_after_body(body_end, || self.phase_time_limit()).await;
        response.map_err(RequestError::incomplete_body)
    }

    /// Returns the time in microseconds that a request whose last byte arrives now may take at most, because the process
    /// may be shutting down or evacuated.
    fn phase_time_limit(&self) -> Micros {
        let shutdown_limit = self.shutdown.request_time_limit(self.lifecycle.shutdown_requested_at());
        shutdown_limit.min(evacuation::request_time_limit(self.lifecycle.evacuated_at()))
    }

    /// Waits until the process was asked to shut down and the time for that is over.
    async fn shutdown_time_over(&self) {
        let mut phases = self.lifecycle.subscribe();
        let Ok(_) = phases.wait_for(|phase| phase.is_shutting_down()).await else { return };
        if let Some(requested_at) = self.lifecycle.shutdown_requested_at() {
            sleep_until(requested_at + self.shutdown.total()).await;
        }
    }
}

/// Builds the response to the client.
fn client_response(
    response: FinalResponse<UpstreamResponse>,
    progress: &Rc<ConnectionProgress>,
) -> Response<ResponseBody> {
    match response {
        FinalResponse::Forwarded { response: upstream, time_left } => {
            let body = match upstream.body {
                UpstreamBody::Complete(body) => ResponseBody::complete(body),
                UpstreamBody::Streamed(mut streamed) => {
                    streamed.set_time_left(Duration::from_micros(time_left));
                    ResponseBody::streamed(streamed, progress.clone())
                }
            };
            let mut response = Response::new(body);
            *response.headers_mut() = end_to_end_headers(upstream.headers);
            response
        }
        FinalResponse::Rejected { retry_after } => rejected(retry_after),
        FinalResponse::Failed(failure) => failed(failure),
    }
}
