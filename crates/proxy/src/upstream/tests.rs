use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Weak;
use std::task::Poll;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use zincstand_policy::LoadReport;

use super::*;
use crate::downstream::{ClientStream, ConnectionProgress};
use crate::sockets::Socket;
use crate::upstream::downstream_client::DownstreamClient;
use crate::upstream::pool::ConnectError;
use crate::upstream::response::parse_load_report;

/// Returns a memory budget that no test exceeds.
fn unlimited_memory() -> Rc<MemoryBudget> {
    MemoryBudget::new(1 << 30)
}

/// Reads the head of one request and responds with 200.
async fn respond_to_one_request(stream: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        received.push(stream.read_u8().await.expect("a request arrives"));
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        .await
        .expect("the response is written");
}

/// Runs a test with a pool of at most `max_connections` connections and one listening upstream.
fn run_with_upstream(max_connections: usize, test: impl AsyncFnOnce(Upstreams, TcpListener, Target)) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let settings = policy::Settings::new(Vec::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let target = Target {
            server: 0,
            address: listener.local_addr().expect("the listener has an address"),
            started: None,
        };
        test(Upstreams::new(&settings.limits, max_connections, unlimited_memory()), listener, target).await;
    });
}

fn request(method: Method, body: Bytes) -> Rc<UpstreamRequest> {
    Rc::new(UpstreamRequest {
        method,
        uri: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: RequestBody::Complete(body),
        client: None,
        id_claim: None,
    })
}

/// Returns the progress of a new attempt for a request without body and client.
fn new_attempt_progress() -> Rc<AttemptProgress> {
    AttemptProgress::new(&request(Method::GET, Bytes::new()), None)
}

/// An exchange whose connection was put back into the pool.
struct FinishedExchange {
    /// The upstream's end of the connection.
    upstream_socket: TcpStream,
    outcome: Outcome,
}

/// Runs one exchange on a new connection.
async fn exchange_once(upstreams: &Upstreams, listener: &TcpListener, target: Target) -> FinishedExchange {
    let progress = new_attempt_progress();
    let pool = &upstreams.pool;
    let upstream = async {
        let (mut stream, _) = listener.accept().await.expect("a connection arrives");
        respond_to_one_request(&mut stream).await;
        stream
    };
    let (upstream_socket, result) = tokio::join!(upstream, exchange(pool, target, None, &progress));
    if let Some(connection) = result.connection {
        pool.put_when_ready(target.server, connection).await;
    }
    FinishedExchange { upstream_socket, outcome: result.outcome }
}

#[test]
fn close_idle_closes_the_idle_connections_to_an_upstream() {
    run_with_upstream(9, async |upstreams, listener, target| {
        let mut exchange = exchange_once(&upstreams, &listener, target).await;
        assert_eq!(exchange.outcome, Outcome::Ok);
        assert_eq!(upstreams.pool.open_connections(), 1);
        upstreams.close_idle(target.server);
        assert_eq!(exchange.upstream_socket.read(&mut [0]).await.expect("the read succeeds"), 0);
        assert_eq!(upstreams.pool.open_connections(), 0);
    });
}

#[test]
fn a_full_pool_evicts_an_idle_connection_or_reports_no_capacity() {
    run_with_upstream(1, async |upstreams, listener, target| {
        let mut first = exchange_once(&upstreams, &listener, target).await;
        // The pool treats a target with another server id as another upstream.
        let other = Target { server: 1, ..target };
        let second = exchange_once(&upstreams, &listener, other).await;
        assert_eq!(second.outcome, Outcome::Ok);
        assert_eq!(upstreams.pool.open_connections(), 1);
        assert_eq!(first.upstream_socket.read(&mut [0]).await.expect("the read succeeds"), 0);
        let in_use = upstreams.pool.take_idle(other).expect("a connection is idle");
        let error = upstreams.pool.connect(target.address).await.err();
        assert_eq!(error, Some(ConnectError::NoCapacity));
        assert_eq!(error.map(Outcome::from), Some(Outcome::NotSent));
        drop(in_use);
    });
}

#[test]
fn a_connection_that_only_the_kernel_knows_to_be_closed_is_not_reused() {
    run_with_upstream(9, async |upstreams, listener, target| {
        let exchange = exchange_once(&upstreams, &listener, target).await;
        drop(exchange.upstream_socket);
        // The runtime has polled nothing since, so only the kernel knows that the connection is closed.
        assert!(upstreams.pool.take_idle(target).is_none());
    });
}

#[test]
fn a_connection_idle_for_long_enough_is_taken_before_a_more_recently_used_one() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let pool = ConnectionPool::new(&policy::Settings::new(Vec::new()).limits, 9, unlimited_memory());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let target = Target {
            server: 0,
            address: listener.local_addr().expect("the listener has an address"),
            started: None,
        };
        let first = pool.connect(target.address).await;
        let last = pool.connect(target.address).await;
        let first = first.expect("the connection is established");
        let last = last.expect("the connection is established");
        let long_idle = first.bytes_written().clone();
        let recently_used = last.bytes_written().clone();
        pool.put(0, first);
        tokio::time::advance(Duration::from_millis(30)).await;
        pool.put(0, last);
        // The recently used connection may still receive a second response, so it is taken only if no other is left.
        let taken = [pool.take_idle(target), pool.take_idle(target)];
        let taken =
            taken.map(|connection| connection.expect("the connection is reusable").bytes_written().clone());
        assert!(Rc::ptr_eq(&taken[0], &long_idle) && Rc::ptr_eq(&taken[1], &recently_used));
    });
}

#[test]
fn a_request_without_an_established_connection_has_not_run() {
    run_with_upstream(9, async |upstreams, listener, target| {
        drop(listener);
        let progress = new_attempt_progress();
        let result = exchange(&upstreams.pool, target, None, &progress).await;
        assert_eq!(result.outcome, Outcome::ConnectFailed);
        assert!(!progress.may_have_run());
    });
}

#[test]
fn a_request_that_was_written_only_in_part_has_not_run() {
    run_with_upstream(9, async |upstreams, listener, target| {
        // The body is longer than the socket buffers, and the upstream does not read it.
        let progress = AttemptProgress::new(&request(Method::POST, vec![0; 32 << 20].into()), None);
        let upstream = async {
            let (mut stream, _) = listener.accept().await.expect("a connection arrives");
            stream.read_u8().await.expect("the first byte arrives");
        };
        let ((), result) = tokio::join!(upstream, exchange(&upstreams.pool, target, None, &progress));
        assert_eq!(result.outcome, Outcome::ConnectFailed);
    });
}

#[test]
fn unknown_names_and_invalid_values_of_a_load_report_are_ignored() {
    let text = "inflight=7,queue=2,util=0.61,latency_ms=1.5,x9=1,eps=?,qps=NaN,eps=-1,util=inf,=,";
    let expected = LoadReport {
        in_flight: Some(7.0),
        queue: Some(2.0),
        utilization: Some(0.61),
        latency: Some(1500),
        ..LoadReport::default()
    };
    assert_eq!(parse_load_report(text), expected);
}

/// A client that has sent a complete request and waits for the response.
struct WaitingClient {
    /// The client's end of its connection.
    socket: TcpStream,
    /// The progress of the attempt for its request.
    progress: Rc<AttemptProgress>,
    /// The proxy's end of the connection. The client counts as disconnected once this is dropped.
    _stream: Rc<RefCell<ClientStream>>,
    /// The proxy's progress on the connection, to which the request holds a weak reference.
    _connection: Rc<ConnectionProgress>,
}

async fn connect_waiting_client() -> WaitingClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let socket = TcpStream::connect(listener.local_addr().expect("the listener has an address"))
        .await
        .expect("the client connects");
    let accepted = listener.accept().await.expect("a connection arrives").0;
    let stream = ClientStream::new(Socket::new(accepted), tokio::time::Instant::now(), unlimited_memory());
    let connection = ConnectionProgress::new(Rc::default(), &stream);
    connection.record_request_complete();
    let client: Weak<dyn DownstreamClient> = Rc::<ConnectionProgress>::downgrade(&connection);
    let request = UpstreamRequest {
        method: Method::GET,
        uri: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: RequestBody::Complete(Bytes::new()),
        client: Some(client),
        id_claim: None,
    };
    let progress = AttemptProgress::new(&Rc::new(request), None);
    WaitingClient { socket, progress, _stream: stream, _connection: connection }
}

#[test]
fn nothing_is_written_for_a_client_that_disconnects_before_its_attempt_has_a_connection() {
    run_with_upstream(9, async |upstreams, listener, target| {
        let _pooled = exchange_once(&upstreams, &listener, target).await;
        let WaitingClient { socket, progress, _stream, _connection } = connect_waiting_client().await;
        drop(socket);
        // The runtime has polled nothing since, so only the kernel knows that the client has disconnected.
        let result = exchange(&upstreams.pool, target, None, &progress).await;
        assert_eq!((result.outcome, progress.has_begun()), (Outcome::NotSent, false));
        // The unused connection goes back into the pool.
        let connection = result.connection.expect("the result has the unused connection");
        upstreams.pool.put_when_ready(target.server, connection).await;
        assert_eq!(upstreams.pool.open_connections(), 1);
        assert!(upstreams.pool.take_idle(target).is_some(), "the unused connection is reusable");
    });
}

#[test]
fn nothing_is_written_for_a_client_that_disconnects_before_the_first_byte() {
    run_with_upstream(9, async |upstreams, listener, target| {
        let mut pooled = exchange_once(&upstreams, &listener, target).await;
        let WaitingClient { socket, progress, _stream, _connection } = connect_waiting_client().await;
        let mut exchange = Box::pin(exchange(&upstreams.pool, target, None, &progress));
        let is_pending = poll_fn(|context| Poll::Ready(exchange.as_mut().poll(context).is_pending())).await;
        assert!(is_pending);
        drop(socket);
        // The result of the previous kernel query is reused for 1 ms.
        std::thread::sleep(Duration::from_millis(2));
        let result = timeout(Duration::from_secs(10), exchange).await.expect("the attempt ends");
        assert_eq!(result.outcome, Outcome::NotSent);
        assert_eq!(
            pooled.upstream_socket.read(&mut [0]).await.expect("the read succeeds"),
            0,
            "bytes were written"
        );
    });
}

#[test]
fn nothing_is_written_of_a_request_that_was_prepared_too_long_ago() {
    run_with_upstream(9, async |upstreams, listener, target| {
        let mut pooled = exchange_once(&upstreams, &listener, target).await;
        let WaitingClient { socket: _socket, progress, _stream, _connection } =
            connect_waiting_client().await;
        let mut exchange = Box::pin(exchange(&upstreams.pool, target, Some(400_000), &progress));
        let is_pending = poll_fn(|context| Poll::Ready(exchange.as_mut().poll(context).is_pending())).await;
        assert!(is_pending);
        // Delays the process before the connection's task is polled to write.
        std::thread::sleep(Duration::from_millis(160));
        let result = timeout(Duration::from_secs(10), exchange).await.expect("the attempt ends");
        assert_eq!(result.outcome, Outcome::NotSent);
        assert_eq!(
            pooled.upstream_socket.read(&mut [0]).await.expect("the read succeeds"),
            0,
            "bytes were written"
        );
    });
}
