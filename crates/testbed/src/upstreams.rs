//! Stand-in upstreams that respond immediately or after a set delay, all in one thread.

use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

use crate::accept::accept;
use crate::discovery::Entry;

/// The body of each response.
const RESPONSE_BODY: [u8; 64] = [b'.'; 64];
/// Number of upstreams in one subnet `127.0.x.0/24`.
const UPSTREAMS_PER_SUBNET: usize = 250;

/// The stand-in upstreams cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamsError {
    /// An address cannot be listened on.
    #[error(
        "a stand-in upstream cannot listen on {address}: if the limit on descriptors is reached, raise `ulimit -n`"
    )]
    Listen {
        /// The address.
        address: Ipv4Addr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The thread or its runtime cannot be started.
    #[error(
        "the thread of the stand-in upstreams cannot be started: ask for fewer upstreams, or raise `ulimit -n`"
    )]
    Start(#[source] io::Error),
}

/// State that the thread of the upstreams shares with their owner.
#[derive(Default)]
struct SharedState {
    /// Number of connections accepted so far.
    connections: AtomicU64,
    /// Number of requests received so far, by upstream.
    requests: Vec<AtomicU64>,
    /// Delay between a request and its response, in microseconds.
    delay_us: AtomicU64,
}

/// Running upstreams, all served by one thread. Dropping this value ends the thread.
pub struct Upstreams {
    /// The address of each upstream, of the form `127.0.x.y`.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<SharedState>,
    /// Dropped to end the thread; `None` afterwards.
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Upstreams {
    /// Starts `count` upstreams on loopback addresses, at most 60,000, in a separate thread.
    ///
    /// # Errors
    ///
    /// An [`UpstreamsError`] if an address cannot be listened on or the thread cannot be started.
    pub fn start(count: usize) -> Result<Upstreams, UpstreamsError> {
        let listeners = (0..count).map(listen).collect::<Result<Vec<_>, _>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>();
        let addresses = addresses.map_err(UpstreamsError::Start)?;
        let requests = (0..count).map(|_| AtomicU64::default()).collect();
        let shared = Arc::new(SharedState { requests, ..SharedState::default() });
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(UpstreamsError::Start)?;
        let thread_shared = shared.clone();
        let run_upstreams = move || {
            let local = LocalSet::new();
            for (number, listener) in listeners.into_iter().enumerate() {
                local.spawn_local(serve_listener(listener, number, thread_shared.clone()));
            }
            // The owner ends the thread by dropping the sender, so the result is always the error of a dropped sender.
            let _ = local.block_on(&runtime, stopped);
        };
        let thread = std::thread::Builder::new().name("upstreams".into()).spawn(run_upstreams);
        let thread = thread.map_err(UpstreamsError::Start)?;
        Ok(Upstreams { addresses, shared, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the entries of the upstreams in the endpoint list. All are serving and in one zone.
    pub fn entries(&self) -> Vec<Entry> {
        let entry = |(number, address): (usize, &SocketAddr)| Entry::serving(number, 1, *address);
        self.addresses.iter().enumerate().map(entry).collect()
    }

    /// Sets the delay between a request and its response, for later requests.
    pub fn set_response_delay(&self, delay: Duration) {
        self.shared.delay_us.store(delay.as_micros() as u64, Relaxed);
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Relaxed)
    }

    /// Returns the number of requests received so far, by upstream.
    pub fn requests(&self) -> Vec<u64> {
        self.shared.requests.iter().map(|requests| requests.load(Relaxed)).collect()
    }
}

impl Drop for Upstreams {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen(number: usize) -> Result<TcpListener, UpstreamsError> {
    let subnet = (1 + number / UPSTREAMS_PER_SUBNET) as u8;
    let host = (1 + number % UPSTREAMS_PER_SUBNET) as u8;
    let address = Ipv4Addr::new(127, 0, subnet, host);
    let try_listen = || {
        let listener = TcpListener::bind((address, 0))?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    try_listen().map_err(|source| UpstreamsError::Listen { address, source })
}

/// Accepts the connections of one upstream, and serves each in a separate task.
async fn serve_listener(listener: TcpListener, number: usize, shared: Arc<SharedState>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        let stream = accept(&listener).await;
        shared.connections.fetch_add(1, Relaxed);
        spawn_local(serve_connection(stream, number, shared.clone()));
    }
}

async fn serve_connection(stream: TcpStream, number: usize, shared: Arc<SharedState>) {
    let respond = |_: Request<Incoming>| {
        shared.requests[number].fetch_add(1, Relaxed);
        let delay_us = shared.delay_us.load(Relaxed);
        async move {
            if delay_us > 0 {
                tokio::time::sleep(Duration::from_micros(delay_us)).await;
            }
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(&RESPONSE_BODY))))
        }
    };
    // An error means that the client has disconnected.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(respond)).await;
}
