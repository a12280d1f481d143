//! Upstreams that answer at once, any number of them in one thread.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context, Result};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};

use crate::discovery::Entry;

/// What each answer holds.
const BODY: [u8; 64] = [b'.'; 64];

#[derive(Default)]
struct Counts {
    connections: AtomicU64,
    calls: Vec<AtomicU64>,
    /// In microseconds.
    delay: AtomicU64,
}

/// Listening upstreams; they end when this is dropped.
pub struct Upstreams {
    /// Where they listen: `127.0.x.y`, one address for each.
    pub addresses: Vec<SocketAddr>,
    counts: Arc<Counts>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Upstreams {
    /// So many upstreams on loopback, at most 60,000, in one thread of their own.
    ///
    /// # Errors
    /// An address cannot be listened on, such as for want of descriptors.
    pub fn start(number: usize) -> Result<Upstreams> {
        let listen = |i: usize| {
            let address = Ipv4Addr::new(127, 0, (1 + i / 250) as u8, (1 + i % 250) as u8);
            let listener = TcpListener::bind((address, 0)).and_then(|l| l.set_nonblocking(true).map(|()| l));
            listener.with_context(|| format!("an upstream on {address}; descriptors: see `ulimit -n`"))
        };
        let listeners = (0..number).map(listen).collect::<Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let calls = (0..number).map(|_| AtomicU64::default()).collect();
        let counts = Arc::new(Counts { calls, ..Counts::default() });
        let (end, ended) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new().name("upstreams".into()).spawn({
            let counts = counts.clone();
            move || {
                let local = LocalSet::new();
                for (i, listener) in listeners.into_iter().enumerate() {
                    local.spawn_local(serve(listener, i, counts.clone()));
                }
                let _ = local.block_on(&runtime, ended);
            }
        })?;
        Ok(Upstreams { addresses, counts, end: Some(end), thread: Some(thread) })
    }

    /// The list of them, all serving in one zone.
    pub fn entries(&self) -> Vec<Entry> {
        self.addresses.iter().enumerate().map(|(i, address)| Entry::serving(i, 1, *address)).collect()
    }

    /// From now on each answer comes so long after its request.
    pub fn answer_after(&self, delay: Duration) {
        self.counts.delay.store(delay.as_micros() as u64, Relaxed);
    }

    /// Connections taken so far.
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Relaxed)
    }

    /// Calls so far, by upstream.
    pub fn calls(&self) -> Vec<u64> {
        self.counts.calls.iter().map(|calls| calls.load(Relaxed)).collect()
    }
}

impl Drop for Upstreams {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve(listener: TcpListener, number: usize, counts: Arc<Counts>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Guards against a spin while no descriptor is free.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        counts.connections.fetch_add(1, Relaxed);
        let counts = counts.clone();
        spawn_local(async move {
            let answer = |_: Request<Incoming>| {
                counts.calls[number].fetch_add(1, Relaxed);
                let delay = counts.delay.load(Relaxed);
                async move {
                    if delay > 0 {
                        tokio::time::sleep(Duration::from_micros(delay)).await;
                    }
                    Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(&BODY))))
                }
            };
            // A caller that leaves is no fault of the stand-in.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)).await;
        });
    }
}
