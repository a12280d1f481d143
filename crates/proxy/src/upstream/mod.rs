//! Attempts and probes on upstreams.

pub mod pool;
pub mod stream;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, body::Incoming};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout};
use zincstand_policy as policy;
use zincstand_policy::{LoadReport, Micros, Outcome, ServerId};

use crate::discovery::endpoint::Target;
use crate::dispatch::AttemptCompletion;
use crate::dispatch::transport::Transport;
use crate::downstream::ConnectionProgress;
use crate::upstream::pool::{CONNECT_UNTOLD, Pool, UpstreamConnection};
use crate::upstream::stream::{
    BodyEnd, BodyPrefix, MOST_HELD, Outgoing, RequestBodyStream, StreamedBody, read_response_prefix,
};

/// How long a connection may take to be ready for the next request after its answer.
const TURN_ROUND: Duration = Duration::from_millis(500);

const DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");

/// A request as it goes to an upstream, the same in each attempt.
pub struct UpstreamRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
    /// Who waits for the answer; nothing for a probe.
    pub caller: Option<Weak<ConnectionProgress>>,
}

/// A request's body.
pub enum RequestBody {
    /// All of it.
    Whole(Bytes),
    /// It is still coming.
    Streamed(Rc<RequestBodyStream>),
}

impl UpstreamRequest {
    /// A part of it has gone on and was not kept.
    pub fn body_consumed(&self) -> bool {
        matches!(&self.body, RequestBody::Streamed(upload) if upload.consumed())
    }

    /// Its caller has left, so that no attempt may begin; see [`ConnectionProgress::departed`].
    pub fn client_disconnected(&self) -> bool {
        self.caller.as_ref().is_some_and(|caller| caller.upgrade().is_none_or(|caller| caller.departed()))
    }

    fn request(&self, address: SocketAddr, limit: Option<Micros>) -> Request<Outgoing> {
        let (body, length) = match &self.body {
            RequestBody::Whole(body) => (Outgoing::Whole(Full::new(body.clone())), Some(body.len() as u64)),
            RequestBody::Streamed(upload) => (Outgoing::passed(upload), upload.length()),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&address.to_string())
        {
            headers.insert(HOST, host);
        }
        if let Some(limit) = limit {
            headers.insert(DEADLINE, HeaderValue::from(limit.div_ceil(1000)));
        }
        if let (&Method::POST, Some(length)) = (&self.method, length) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        request
    }
}

/// An upstream's answer.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: UpstreamBody,
}

/// The body of an upstream's answer.
#[derive(Debug)]
pub enum UpstreamBody {
    /// Read to its end.
    Whole(Bytes),
    /// It is still coming.
    Streamed(StreamedBody),
}

/// A connection on which an answer is still coming.
pub struct ConnectionLease {
    pool: Rc<Pool>,
    server: ServerId,
    conn: UpstreamConnection,
}

impl ConnectionLease {
    /// The answer was read to its end: the connection takes the next request.
    pub fn give_back(self) {
        spawn_local(async move { put_when_ready(&self.pool, self.server, self.conn).await });
    }
}

/// How far an attempt's request is written; the engine's end of an attempt looks at it.
struct AttemptProgress {
    begun: RefCell<Option<Writing>>,
    call: Rc<UpstreamRequest>,
    /// Stopped before its first byte: its caller had left.
    vetoed: Rc<Cell<bool>>,
}

struct Writing {
    driver: AbortHandle,
    written: Rc<Cell<u64>>,
    before: u64,
}

impl AttemptProgress {
    fn new(call: &Rc<UpstreamRequest>) -> Rc<AttemptProgress> {
        Rc::new(AttemptProgress { begun: RefCell::new(None), call: call.clone(), vetoed: Rc::default() })
    }

    fn begin(&self, conn: &UpstreamConnection) {
        let (driver, written) = (conn.driver.clone(), conn.written.clone());
        let before = written.get();
        let (call, vetoed) = (self.call.clone(), self.vetoed.clone());
        // Guards the time between this and the writing: the connection's task waits for its turn as others do.
        conn.veto.set(Some(Box::new(move || {
            vetoed.set(call.client_disconnected());
            vetoed.get()
        })));
        *self.begun.borrow_mut() = Some(Writing { driver, written, before });
    }

    /// Bytes of the request at the least; nothing while its last one has not come.
    fn least(&self) -> Option<u64> {
        match &self.call.body {
            RequestBody::Whole(body) => Some(body.len() as u64 + 1),
            RequestBody::Streamed(upload) if upload.ended() == Some(BodyEnd::Whole) => {
                Some(upload.bytes() + 1)
            }
            RequestBody::Streamed(_) => None,
        }
    }

    /// False only if the request's last byte is surely not written.
    fn may_have_run(&self) -> bool {
        let Some(least) = self.least() else { return false };
        self.begun.borrow().as_ref().is_some_and(|b| b.written.get() - b.before >= least)
    }

    /// The caller's body will never be whole, which is nothing of the upstream's.
    fn cut_off(&self) -> bool {
        let ended = match &self.call.body {
            RequestBody::Whole(_) => None,
            RequestBody::Streamed(upload) => upload.ended(),
        };
        ended.is_some_and(|end| end != BodyEnd::Whole)
    }
}

/// An attempt under way.
pub struct Attempt {
    task: AbortHandle,
    flight: Rc<AttemptProgress>,
}

impl Attempt {
    /// It has a connection: its request is being written or is written.
    pub fn has_connection(&self) -> bool {
        self.flight.begun.borrow().is_some()
    }

    /// Closes its connection at once; tells whether it may have run.
    pub fn abort(self) -> bool {
        // The connection first: nothing may be written any more after the look at what is.
        if let Some(begun) = &*self.flight.begun.borrow() {
            begun.driver.abort();
        }
        self.task.abort();
        self.flight.may_have_run()
    }
}

/// How an exchange ended.
struct Exchange {
    outcome: Outcome,
    load: Option<LoadReport>,
    reply: Option<UpstreamResponse>,
    conn: Option<UpstreamConnection>,
}

impl From<Outcome> for Exchange {
    fn from(outcome: Outcome) -> Exchange {
        Exchange { outcome, load: None, reply: None, conn: None }
    }
}

/// All connections to upstreams.
pub struct Upstreams {
    pool: Rc<Pool>,
}

impl Upstreams {
    /// No connections yet, and never more than `most`.
    pub fn new(limits: &policy::Limits, most: usize) -> Upstreams {
        Upstreams { pool: Rc::new(Pool::new(limits, most)) }
    }

    /// Never more than `most` connections from now on.
    pub fn resize(&self, most: usize) {
        self.pool.resize(most);
    }

    /// Closes idle connections in time; never returns.
    pub fn tend(&self) -> impl Future<Output = ()> + use<> {
        self.pool.clone().tend()
    }

    /// Starts an attempt.
    pub fn send<W: Transport<Response = UpstreamResponse>>(
        &self,
        to: Target,
        call: Rc<UpstreamRequest>,
        limit: Micros,
        report: AttemptCompletion<W>,
    ) -> Attempt {
        let (pool, flight) = (self.pool.clone(), AttemptProgress::new(&call));
        let shared = flight.clone();
        let task = spawn_local(async move {
            let ended = exchange(&pool, to, Some(limit), &shared).await;
            let mut conn = ended.conn;
            // Put back before the outcome is told: what the module sends on it finds the connection.
            let waiting = match conn.as_mut().map(|c| c.sender.is_ready()) {
                Some(true) => conn.take().and_then(|c| {
                    pool.put(to.server, c);
                    None
                }),
                _ => conn,
            };
            report.end(ended.outcome, ended.load, ended.reply);
            if let Some(conn) = waiting {
                put_when_ready(&pool, to.server, conn).await;
            }
        });
        Attempt { task: task.abort_handle(), flight }
    }

    /// Asks an upstream how it is.
    pub fn health_check(
        &self,
        to: Target,
        told: impl FnOnce(Duration, Outcome, Option<LoadReport>) + 'static,
    ) {
        let pool = self.pool.clone();
        let uri = Uri::from_static("/health/live");
        let (headers, body) = (HeaderMap::new(), RequestBody::Whole(Bytes::new()));
        let call = Rc::new(UpstreamRequest { method: Method::GET, uri, headers, body, caller: None });
        spawn_local(async move {
            let (flight, start) = (AttemptProgress::new(&call), Instant::now());
            let ended = timeout(CONNECT_UNTOLD, exchange(&pool, to, None, &flight)).await;
            let ended = ended.unwrap_or_else(|_| Outcome::TimedOut.into());
            told(start.elapsed(), ended.outcome, ended.load);
            if let Some(conn) = ended.conn {
                put_when_ready(&pool, to.server, conn).await;
            }
        });
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }
}

async fn put_when_ready(pool: &Pool, server: ServerId, mut conn: UpstreamConnection) {
    if let Ok(Ok(())) = timeout(TURN_ROUND, conn.sender.ready()).await {
        pool.put(server, conn);
    }
}

/// One request on one connection. A pooled connection that turns out dead before anything was written to it
/// is passed over for the next; nothing is ever written twice.
async fn exchange(pool: &Rc<Pool>, to: Target, limit: Option<Micros>, flight: &AttemptProgress) -> Exchange {
    let start = Instant::now();
    loop {
        let (mut conn, reused) = match pool.take(to) {
            Some(conn) => (conn, true),
            None => match pool.connect(to.address).await {
                Ok(conn) => (conn, false),
                Err(outcome) => return outcome.into(),
            },
        };
        // Guards against a caller that left while this waited for its turn or its connection.
        if flight.call.client_disconnected() {
            return Exchange { conn: Some(conn), ..Outcome::NotSent.into() };
        }
        flight.begin(&conn);
        let left = limit.map(|l| l.saturating_sub(start.elapsed().as_micros() as Micros));
        match conn.sender.try_send_request(flight.call.request(to.address, left)).await {
            Ok(response) => {
                return read(response, ConnectionLease { pool: pool.clone(), server: to.server, conn }).await;
            }
            Err(mut e) => {
                let untouched = e.take_message().is_some();
                // Taken back by what was never written: a body that is still coming may have lost its next part.
                if untouched && reused && !flight.call.body_consumed() {
                    continue;
                }
                if flight.cut_off() || flight.vetoed.get() {
                    return Outcome::NotSent.into();
                }
                let ran = !untouched && flight.may_have_run();
                return if ran { Outcome::Reset } else { Outcome::ConnectFailed }.into();
            }
        }
    }
}

/// Reads an answer, to its end or as far as it is held, and tells what it means; the connection is kept only if
/// it is read whole.
async fn read(response: Response<Incoming>, lease: ConnectionLease) -> Exchange {
    let (head, body) = response.into_parts();
    let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
    let load = head.headers.get("srv-load").and_then(|v| v.to_str().ok()).map(load);
    let (outcome, reply, conn) = if head.status == StatusCode::OK {
        let reply = |body| Some(UpstreamResponse { headers: head.headers, body });
        match read_response_prefix(body).await {
            BodyPrefix::Whole(body) => (Outcome::Ok, reply(UpstreamBody::Whole(body)), Some(lease.conn)),
            // The server has done its work: how fast the caller reads is nothing of its.
            BodyPrefix::More(first, rest) => {
                (Outcome::Ok, reply(UpstreamBody::Streamed(StreamedBody::new(first, rest, lease))), None)
            }
            BodyPrefix::Broken | BodyPrefix::TooLong => (Outcome::Reset, None, None),
        }
    } else {
        let whole = Limited::new(body, MOST_HELD).collect().await.is_ok();
        let outcome = match head.status {
            // Guards against an answer that is not what it seems: spoilt, it proves nothing, its mark neither.
            _ if !whole => Outcome::Reset,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Rejected,
            _ => Outcome::Error,
        };
        (outcome, None, whole.then_some(lease.conn))
    };
    Exchange { outcome, load, reply, conn }
}

/// A load report, `name=value,name=value`; what is unknown or unreadable is passed over.
fn load(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        // Guards the module's sums: one `NaN` or `inf` would stay in them.
        let Some(value) = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) else {
            continue;
        };
        match name.trim() {
            "inflight" => load.in_flight = Some(value),
            "queue" => load.queue = Some(value),
            "util" => load.utilization = Some(value),
            "qps" => load.throughput = Some(value),
            "latency_ms" => load.latency = Some((value * 1000.0) as Micros),
            "eps" => load.errors = Some(value),
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests;
