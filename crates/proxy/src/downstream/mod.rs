//! Callers: their connections, their requests and the final answers.

mod client_connection;
pub mod framer;
mod framing;
mod response_body;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Response, StatusCode, body::Body, body::Incoming, server::conn::http1};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use zincstand_policy as policy;
use zincstand_policy::{Idempotency, Micros};

use crate::dispatch::{BodyEnd, Dispatcher, Failure, FinalResponse, IncomingRequest, Transport};
use crate::downstream::framer::{
    ClientStream, ConnectionProgress, IDLE_TIME, IdleConnections, ProtocolError, RequestFramer, RequestStage,
    waits,
};
use crate::downstream::response_body::ResponseBody;
use crate::lifecycle::{Lifecycle, Phase};
use crate::limits::{Permit, ResizableLimit};
use crate::process::BACKLOG;
use crate::upstream::client_connection::ClientConnection;
use crate::upstream::pool::BUFFER;
use crate::upstream::stream::{BodyPrefix, MOST_HELD, RequestBodyStream, read_prefix};
use crate::upstream::{RequestBody, UpstreamBody, UpstreamRequest, UpstreamResponse};

/// From the order to stop to the kill there is the longest deadline, or this where that is longer ...
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// ... and so much more, less a margin.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Part of that time in which connections and requests are still taken: the front needs it to find others ...
const STILL_TAKEN: f64 = 0.37;
/// ... and the least, whatever the deadlines: new connections come for 0.4 s after the order.
const LEAST_TAKEN: Duration = Duration::from_millis(500);
/// What comes so soon after the order may take its own time.
const UNHURRIED: Duration = Duration::from_millis(600);
/// How long a connection that has carried nothing is still kept when no more come.
const NOTHING_YET: Duration = Duration::from_millis(200);
/// How long an idle one is kept while each answer is its connection's last: callers soon use it or do without.
const QUICK_IDLE: Duration = Duration::from_secs(1);
/// Pause after a connection could not be taken for want of descriptors.
const NO_SOCKET_PAUSE: Duration = Duration::from_millis(20);
/// How long a lack of places may last before connections beyond it are taken, to be told so.
const FULL_PATIENCE: Duration = Duration::from_millis(250);
/// How many of them at once; they are within the descriptors that are reserved.
const BEYOND: usize = 6;
/// Part of the connections from which on answers close theirs: room for callers that have none.
const CROWDED: f64 = 0.75;
/// How long what a caller still sends after its error is read and dropped.
const LINGER: Duration = Duration::from_millis(500);
/// How much of it at the most.
const MOST_LINGER: usize = 1 << 20;

const TOO_LARGE: &str = "over 32 MiB";

const REQ_ID: HeaderName = HeaderName::from_static("req-id");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// What callers may take up.
pub struct ConnectionLimits {
    /// Connections.
    pub connections: usize,
    /// Bytes of the bodies of open requests and of their answers.
    pub bodies: usize,
}

/// The listener, and whether another process shares it.
pub struct Listener {
    /// Where connections come from.
    pub socket: TcpListener,
    /// The platform holds it: what comes after the order to stop is a successor's.
    pub shared: bool,
}

/// A connection's place.
struct ConnectionPermit {
    _taken: Permit,
    beyond: bool,
}

/// What the answering of requests needs.
pub struct Server<W: Transport<Request = UpstreamRequest, Response = UpstreamResponse>> {
    engine: Rc<Dispatcher<W>>,
    /// By their names' bytes: those need not be plain text.
    classes: HashMap<Vec<u8>, (policy::ClassId, policy::Class)>,
    tenants: HashMap<Vec<u8>, policy::TenantId>,
    places: Rc<ResizableLimit>,
    /// Connections beyond the places, where nobody makes room: each hears so at once, or how the balancer is.
    beyond: Rc<ResizableLimit>,
    /// Since when there has been no place.
    full: Cell<Option<Instant>>,
    crowd: Rc<IdleConnections>,
    /// Bytes that bodies and answers take.
    bodies: Rc<ResizableLimit>,
    /// The ids of the requests that are open.
    ids: RefCell<HashSet<HeaderValue>>,
    /// How long after the order to stop the last answer is given.
    leave_within: Duration,
    life: Rc<Lifecycle>,
}

impl<W: Transport<Request = UpstreamRequest, Response = UpstreamResponse>> Server<W> {
    /// A server for the named classes and tenants.
    pub fn new(
        engine: Rc<Dispatcher<W>>,
        classes: Vec<(String, policy::Class)>,
        tenants: Vec<String>,
        limits: ConnectionLimits,
        life: Rc<Lifecycle>,
    ) -> Rc<Self> {
        let longest = classes.iter().map(|(_, class)| class.deadline).max().unwrap_or(0);
        let leave_within = Duration::from_micros(longest).min(LONGEST_WAIT) + KILL_MARGIN;
        let classes = classes
            .into_iter()
            .enumerate()
            .map(|(i, (name, class))| (name.into_bytes(), (i, class)))
            .collect();
        let tenants = tenants.into_iter().enumerate().map(|(i, name)| (name.into_bytes(), i)).collect();
        let (places, bodies) = (ResizableLimit::new(limits.connections), ResizableLimit::new(limits.bodies));
        let (crowd, ids) = (Rc::default(), RefCell::default());
        let (beyond, full) = (ResizableLimit::new(BEYOND), Cell::default());
        Rc::new(Server {
            engine,
            classes,
            tenants,
            places,
            beyond,
            full,
            crowd,
            bodies,
            ids,
            leave_within,
            life,
        })
    }

    /// Other room than before. What is taken beyond it is given back as connections become idle.
    pub fn resize(&self, limits: &ConnectionLimits) {
        self.places.resize(limits.connections);
        self.bodies.resize(limits.bodies);
        // A place is given back once its task has been dropped.
        for _ in 0..self.places.excess() {
            let _ = self.crowd.close_oldest();
        }
    }

    /// Takes connections until the order to stop, and a little longer where they are nobody else's; returns when
    /// all are closed.
    pub async fn serve(self: Rc<Self>, listener: Listener) {
        let mut phase = self.life.phases.subscribe();
        let taken_for = self.leave_within.mul_f64(STILL_TAKEN).max(LEAST_TAKEN).min(self.leave_within);
        let mut end = pin!(async {
            let _ = phase.wait_for(|p| p.ends()).await;
            eprintln!("zincstand-proxy: told to stop");
            if !listener.shared {
                sleep_until(self.life.ordered.get().unwrap_or_else(Instant::now) + taken_for).await;
            }
        });
        loop {
            let accepted = tokio::select! {
                biased;
                () = &mut end => break,
                accepted = listener.socket.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                // Guards against a spin while no descriptor is free: the connection stays in the queue.
                sleep(NO_SOCKET_PAUSE).await;
                continue;
            };
            tokio::select! {
                place = self.place() => self.welcome(stream, place),
                // Guards what was accepted against the order to stop: it is this process's to serve.
                () = &mut end => {
                    self.welcome(stream, self.last_place(listener.shared));
                    break;
                }
            }
        }
        // Closed here; another process that holds it goes on accepting. Where none does, what the system has let
        // in is this process's to answer: closed with its listener, it would be reset, and its request lost.
        if listener.shared {
            drop(listener.socket);
        } else if let Ok(socket) = listener.socket.into_std() {
            // From here on connections that have carried nothing are soon closed, and leave room.
            self.life.phases.send_replace(Phase::ClosingListener);
            let ordered = self.life.ordered.get().unwrap_or_else(Instant::now);
            let _ =
                timeout_at(ordered + self.leave_within - NOTHING_YET / 2, self.empty_queue(&socket)).await;
        }
        self.life.phases.send_replace(if listener.shared {
            Phase::HandingOver
        } else {
            Phase::ClosingListener
        });
        self.places.empty().await;
        self.beyond.empty().await;
    }

    /// Takes what waits in the listener's queue. Guards the descriptors: idle clients that wait there would take
    /// those of upstreams and of discovery, so one that has said nothing is closed where few places are left.
    async fn empty_queue(self: &Rc<Self>, listener: &std::net::TcpListener) {
        // What comes later than this many has come after the end.
        for _ in 0..=BACKLOG {
            let Ok((stream, _)) = listener.accept() else { return };
            let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) else {
                continue;
            };
            if self.places.used_part() < CROWDED || waits(&stream) {
                let place = self.queued_place().await;
                self.welcome(stream, place);
            }
        }
    }

    /// A place for one that has asked before the listener closed: an idle one makes room, or else it hears at once
    /// that there is none.
    async fn queued_place(&self) -> ConnectionPermit {
        loop {
            if let Some(taken) = self.places.try_acquire(1) {
                return ConnectionPermit { _taken: taken, beyond: false };
            }
            let closing = self.crowd.close_oldest().is_ok();
            if !closing && let Some(taken) = self.beyond.try_acquire(1) {
                return ConnectionPermit { _taken: taken, beyond: true };
            }
            tokio::select! {
                () = self.places.freed() => {}
                () = self.beyond.freed() => {}
                () = sleep(NO_SOCKET_PAUSE) => {}
            }
        }
    }

    /// Serves a connection that has a place.
    fn welcome(self: &Rc<Self>, stream: TcpStream, place: ConnectionPermit) {
        let _ = stream.set_nodelay(true);
        let inbound = ClientStream::new(stream);
        let progress = ConnectionProgress::new(self.crowd.clone(), &inbound);
        let task = spawn_local(self.clone().connection(inbound, place, progress.clone()));
        progress.of(task.abort_handle());
    }

    /// A place for one that has come before the stop: where there is none, it hears so at once, unless what it
    /// asks was promised an answer by the process that takes over.
    fn last_place(&self, shared: bool) -> ConnectionPermit {
        match self.places.try_acquire(1) {
            Some(taken) => ConnectionPermit { _taken: taken, beyond: false },
            None => ConnectionPermit { _taken: self.places.acquire_over_limit(1), beyond: !shared },
        }
    }

    /// A place for a new connection. Guards against those that say nothing and leave none: the one that has
    /// been idle longest makes room. Where none does for a while, the next few have places beyond.
    async fn place(&self) -> ConnectionPermit {
        loop {
            if let Some(taken) = self.places.try_acquire(1) {
                self.full.set(None);
                return ConnectionPermit { _taken: taken, beyond: false };
            }
            let now = Instant::now();
            let patience = self.full.get().unwrap_or(now) + FULL_PATIENCE;
            self.full.set(Some(patience - FULL_PATIENCE));
            let ripe = match self.crowd.close_oldest() {
                // It is closed once its task has been dropped.
                Ok(()) => now + FULL_PATIENCE,
                Err(ripe) => ripe.unwrap_or(now + FULL_PATIENCE),
            };
            if now >= patience
                && let Some(taken) = self.beyond.try_acquire(1)
            {
                return ConnectionPermit { _taken: taken, beyond: true };
            }
            tokio::select! {
                () = self.places.freed() => {}
                () = sleep_until(ripe.min(patience.max(now + NO_SOCKET_PAUSE))) => {}
            }
        }
    }

    async fn connection(
        self: Rc<Self>,
        inbound: Rc<RefCell<ClientStream>>,
        place: ConnectionPermit,
        progress: Rc<ConnectionProgress>,
    ) {
        let service = hyper::service::service_fn({
            let (server, progress) = (self.clone(), progress.clone());
            move |request| {
                let (server, progress) = (server.clone(), progress.clone());
                let beyond = place.beyond;
                Box::pin(async move { Ok::<_, Infallible>(server.respond(request, &progress, beyond).await) })
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER);
        let mut connection =
            builder.serve_connection(RequestFramer::new(inbound.clone(), progress.clone()), service);
        let mut phase = self.life.phases.subscribe();
        let mut late = Box::pin(sleep(Duration::ZERO));
        loop {
            let now = *phase.borrow_and_update();
            // Not before: callers that find their connections closed may have no other balancer yet.
            let idle_time = if now.parts() { QUICK_IDLE } else { IDLE_TIME };
            // Hyper closes an idle connection at once, be a request unread on it or half come.
            let crossed = match progress.stage() {
                RequestStage::Idle => inbound.borrow().waits(),
                RequestStage::Head => true,
                RequestStage::Body | RequestStage::Open => false,
            };
            if now == Phase::ClosingListener && !crossed {
                Pin::new(&mut connection).graceful_shutdown();
            }
            let closing_at = Instant::now();
            // The connection until it ends, or until it has been at one thing for too long.
            let served = poll_fn(|cx| {
                // Nobody waits for what is open; hyper looks only where it expects more. Dropped, it is told so.
                if connection.poll_without_shutdown(cx).is_ready() || progress.poll_left(cx).is_ready() {
                    return Poll::Ready(false);
                }
                let Some(mut due) = progress.due(idle_time) else { return Poll::Pending };
                if now == Phase::ClosingListener {
                    // Guards the stop against callers that say nothing or never end their request.
                    due = due.min(match progress.stage() {
                        RequestStage::Idle => closing_at + NOTHING_YET,
                        _ => self.life.ordered.get().unwrap_or(closing_at) + self.leave_within,
                    });
                }
                if late.deadline() != due {
                    late.as_mut().reset(due);
                }
                late.as_mut().poll(cx).map(|()| true)
            });
            let too_late = tokio::select! {
                too_late = served => too_late,
                changed = phase.changed() => if changed.is_err() { return } else { continue },
            };
            if too_late && progress.stage() == RequestStage::Idle && inbound.borrow().waits() {
                // The runtime has not looked yet: what has come is read before the connection may be closed.
                yield_now().await;
                continue;
            }
            let error = match (progress.fault(), too_late, progress.stage()) {
                (Some(ProtocolError::Bad), ..) => Some("400 Bad Request"),
                (Some(ProtocolError::TooLarge), ..) => Some("431 Request Header Fields Too Large"),
                (None, true, RequestStage::Head | RequestStage::Body) => Some("408 Request Timeout"),
                _ => None,
            };
            // What hyper held goes first, the open request with it.
            drop(connection);
            let error = error.filter(|_| !progress.stuck());
            if (error.is_some() || progress.unread())
                && let Some(inbound) = Rc::into_inner(inbound)
            {
                let _ = timeout(LINGER, leave(inbound.into_inner().into_stream(), error)).await;
            }
            return;
        }
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        progress: &Rc<ConnectionProgress>,
        beyond: bool,
    ) -> Response<ResponseBody> {
        let mut response = match request.uri().path() {
            "/health/ready" => self.ready(),
            "/api" if beyond => plain(StatusCode::SERVICE_UNAVAILABLE, "no place"),
            "/api" => self.api(request, progress).await,
            _ => plain(StatusCode::NOT_FOUND, "no such path"),
        };
        // What comes after a request that was not read, or whose end only hyper knows, is no request.
        let last = progress.unread() || progress.last();
        if last {
            progress.parting();
        } else if !response.body().is_streamed() {
            progress.answered();
        }
        if last || beyond || self.places.used_part() > CROWDED || self.life.phases.borrow().parts() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn ready(&self) -> Response<ResponseBody> {
        // A successor answers for both: the address goes on taking clients.
        let taking = match self.life.follow() {
            Phase::Running => true,
            Phase::Draining | Phase::HandingOver => self.life.sibling_running.get(),
            Phase::Evacuated | Phase::ClosingListener => false,
        };
        if taking && self.life.may_serve(self.engine.has_endpoint_list()) {
            plain(StatusCode::OK, "ready")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    async fn api(
        &self,
        request: Request<Incoming>,
        progress: &Rc<ConnectionProgress>,
    ) -> Response<ResponseBody> {
        // What is held of it at the most, and of its answer. Guards the memory: past the bound nothing is read.
        let body = request.body().size_hint().exact().unwrap_or(u64::MAX).min(MOST_HELD as u64);
        let Some(room) = self.bodies.try_acquire(body as usize + MOST_HELD) else {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "no room");
        };
        let asked = match self.read(request, progress).await {
            Ok(asked) => asked,
            Err((status, why)) => return plain(status, why),
        };
        // Guards against a second request under an id that is open: upstreams could not tell them apart.
        let Some(_id) = asked.call.headers.get(REQ_ID).and_then(|id| Id::take(&self.ids, id)) else {
            return plain(StatusCode::BAD_REQUEST, "this Req-Id is open");
        };
        let upload = match &asked.call.body {
            RequestBody::Whole(_) => None,
            RequestBody::Streamed(upload) => Some(upload.clone()),
        };
        if upload.is_none() {
            progress.taken();
            // Guards against a caller that left while its connection waited, or before its request was read.
            if progress.left().await {
                return plain(StatusCode::BAD_REQUEST, "the caller has left");
            }
        }
        let asking = self.engine.submit(asked);
        let answer = match upload {
            None => asking.answer().await,
            Some(upload) => {
                let end = async {
                    let end = upload.wait_for_end().await;
                    if end == BodyEnd::Whole {
                        progress.taken();
                    }
                    end
                };
                match asking.answer_upload(end).await {
                    Ok(answer) => answer,
                    Err(BodyEnd::TooLong) => return plain(StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE),
                    Err(_) => return plain(StatusCode::BAD_REQUEST, "broken body"),
                }
            }
        };
        match answer {
            FinalResponse::Forwarded(reply) => {
                let mut body = match reply.body {
                    UpstreamBody::Whole(body) => ResponseBody::complete(body),
                    UpstreamBody::Streamed(passed) => ResponseBody::streamed(passed, progress.clone()),
                };
                body.memory = Some(room);
                let mut response = Response::new(body);
                *response.headers_mut() = end_to_end(&reply.headers);
                response
            }
            FinalResponse::Rejected { retry_after } => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                let seconds = format!("{:.3}", retry_after as f64 / 1e6);
                if let (true, Ok(seconds)) = (retry_after > 0, HeaderValue::from_str(&seconds)) {
                    response.headers_mut().insert(RETRY_AFTER, seconds);
                }
                response
            }
            FinalResponse::Failed(Failure::Time) => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
            FinalResponse::Failed(Failure::Upstream) => plain(StatusCode::BAD_GATEWAY, "upstream failed"),
        }
    }

    /// Reads a request, whole if it can be held; its clock starts with its last byte.
    async fn read(
        &self,
        request: Request<Incoming>,
        progress: &Rc<ConnectionProgress>,
    ) -> Result<IncomingRequest<UpstreamRequest>, (StatusCode, &'static str)> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let (head, body) = request.into_parts();
        // Guards against peers that read the first of two and others that read the last.
        let doubled = |name: &HeaderName| head.headers.get_all(name).iter().nth(1).is_some();
        let counted = |name: &&HeaderName| name.as_str().starts_with("req-") || **name == KEY;
        if head.headers.keys().filter(counted).any(doubled) {
            return Err(bad("a header that may stand once stands twice"));
        }
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let kind = head.headers.get("req-kind").map(HeaderValue::as_bytes).ok_or(bad("no Req-Kind"))?;
        let (id, class) = self.classes.get(kind).ok_or(bad("unknown Req-Kind"))?;
        if head.headers.get(REQ_ID).is_none_or(HeaderValue::is_empty) {
            return Err(bad("no Req-Id"));
        }
        if head.method != Method::GET && head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
        }
        // Method and key say what may be repeated; the class says the same, or one of the two is wrong.
        let key = head.headers.get(KEY).map(|key| !key.is_empty());
        let fits = match class.idempotency {
            Idempotency::Idempotent => head.method == Method::GET && key.is_none(),
            Idempotency::WithKey { .. } => head.method == Method::POST && key == Some(true),
            Idempotency::NotIdempotent => head.method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err(bad("method or Idempotency-Key do not fit the class"));
        }
        let number =
            |text: &str| text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse::<u64>().ok())?;
        let time_left = match head.headers.get("req-deadline-ms") {
            None => class.deadline,
            Some(_) => {
                let deadline = text("req-deadline-ms").and_then(number);
                deadline.ok_or(bad("Req-Deadline-Ms is no number"))?.saturating_mul(1000)
            }
        };
        let safe = class.idempotency == Idempotency::Idempotent;
        // Guards against the kill: what is taken late is answered before it can come.
        let until_kill =
            self.life.ordered.get().filter(|at| at.elapsed() > UNHURRIED).map_or(Micros::MAX, |at| {
                self.leave_within.saturating_sub(at.elapsed()).as_micros() as Micros
            });
        let (class, time_left) = (*id, time_left.min(class.deadline).min(until_kill));
        let tenant = head.headers.get("req-owner").and_then(|t| self.tenants.get(t.as_bytes()).copied());
        let (work, retry): (Option<Micros>, _) =
            (text("req-cost").and_then(number), text("req-retry") == Some("1"));
        let headers = end_to_end(&head.headers);
        let body = match read_prefix(body, None).await {
            BodyPrefix::Whole(body) if safe && !body.is_empty() => {
                return Err(bad("a body that does not fit the class"));
            }
            BodyPrefix::More(..) if safe => return Err(bad("a body that does not fit the class")),
            BodyPrefix::Whole(body) => RequestBody::Whole(body),
            BodyPrefix::More(kept, rest) => {
                RequestBody::Streamed(RequestBodyStream::new(kept, rest, progress.clone()))
            }
            BodyPrefix::TooLong => return Err((StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE)),
            BodyPrefix::Broken => return Err(bad("broken body")),
        };
        // A request that names the whole address is for this path all the same.
        let path = head.uri.path_and_query().cloned().ok_or(bad("no path"))?;
        let upload = matches!(body, RequestBody::Streamed(_));
        let client: Weak<dyn ClientConnection> = Rc::<ConnectionProgress>::downgrade(progress);
        let client = Some(client);
        let call = UpstreamRequest { method: head.method, uri: path.into(), headers, body, client };
        Ok(IncomingRequest { class, time_left, tenant, work, retry, upload, call })
    }
}

/// Says why, if there is a word left to say, and reads on for a while. Guards the answer: a socket that is closed
/// with something unread in it is reset, and the caller may lose what it was told.
async fn leave(mut stream: TcpStream, error: Option<&str>) -> io::Result<()> {
    if let Some(error) = error {
        let text = format!("HTTP/1.1 {error}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await?;
    }
    stream.shutdown().await?;
    let (mut read, mut chunk) = (0, [0; 4096]);
    while read < MOST_LINGER {
        match stream.read(&mut chunk).await? {
            0 => break,
            n => read += n,
        }
    }
    Ok(())
}

/// The id of a request that is open.
struct Id<'a> {
    ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl Id<'_> {
    fn take<'a>(ids: &'a RefCell<HashSet<HeaderValue>>, id: &HeaderValue) -> Option<Id<'a>> {
        ids.borrow_mut().insert(id.clone()).then(|| Id { ids, id: id.clone() })
    }
}

impl Drop for Id<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The headers that are not about the connection or the framing.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<&str> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .collect();
    let hop = |name: &HeaderName| {
        [CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE].contains(name)
            || ["keep-alive", "proxy-connection", "srv-load", "srv-declined"].contains(&name.as_str())
            || named.iter().any(|n| n.trim().eq_ignore_ascii_case(name.as_str()))
    };
    headers.iter().filter(|(name, _)| !hop(name)).map(|(n, v)| (n.clone(), v.clone())).collect()
}

fn plain(status: StatusCode, why: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    response
}
