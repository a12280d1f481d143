//! Idle clients hold every permit and fill the accept queue while discovery is down. They must not prevent the watch from
//! reconnecting, new connections to upstreams, or responses to other clients.

mod common;

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::*;

/// The smallest limit on descriptors that the documentation allows.
const DESCRIPTOR_LIMIT: usize = 256;
/// Number of idle clients, more than there are descriptors.
const IDLE_CLIENTS: usize = 300;

/// Returns whether a non-blocking connection is open and has nothing to read.
fn is_open(stream: &TcpStream) -> bool {
    stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Clients that connect and send nothing, and reconnect at once when their connection is closed. They disconnect when
/// dropped.
struct IdleClients {
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl IdleClients {
    /// Connects the clients and returns when all of them have tried to connect.
    fn connect(address: SocketAddr) -> IdleClients {
        let connect = move || {
            let stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
            stream.set_nonblocking(true).ok().map(|()| stream)
        };
        let mut streams: Vec<_> = (0..IDLE_CLIENTS).map(|_| connect()).collect();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let must_stop = is_stopped.clone();
        let thread = std::thread::spawn(move || {
            while !must_stop.load(Ordering::Relaxed) {
                for stream in &mut streams {
                    if !stream.as_ref().is_some_and(is_open) && !must_stop.load(Ordering::Relaxed) {
                        *stream = connect();
                    }
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        IdleClients { is_stopped, thread: Some(thread) }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A discovery service that is down at first: it closes each connection without a response. Once it has a list, it sends
/// the list to each watch.
struct UnreliableDiscovery {
    address: SocketAddr,
    list: Arc<Mutex<Option<String>>>,
    /// One message for each connection that was closed while discovery was down.
    closed_connections: Receiver<()>,
    /// One message for each watch that has received the list and waits for the next version.
    applied_lists: Receiver<()>,
}

impl UnreliableDiscovery {
    /// Starts a discovery service that is down.
    fn down() -> UnreliableDiscovery {
        let peer = Peer::new();
        let address = peer.address;
        let list = Arc::new(Mutex::new(None));
        let (closed_sender, closed_connections) = channel();
        let (applied_sender, applied_lists) = channel();
        let current_list: Arc<Mutex<Option<String>>> = list.clone();
        std::thread::spawn(move || {
            for stream in peer.into_connections() {
                let list = current_list.lock().expect("the lock is not poisoned").clone();
                let Some(list) = list else {
                    let _ = closed_sender.send(());
                    continue;
                };
                let applied_sender = applied_sender.clone();
                std::thread::spawn(move || serve_list(stream, &list, &applied_sender));
            }
        });
        UnreliableDiscovery { address, list, closed_connections, applied_lists }
    }

    /// Sends a list of these endpoints from now on.
    fn recover(&self, entries: &[String]) {
        *self.list.lock().expect("the lock is not poisoned") = Some(endpoint_list(42, true, entries));
    }

    /// Waits for `count` further connections while discovery is down.
    fn wait_for_connections(&self, count: usize) {
        while self.closed_connections.try_recv().is_ok() {}
        for _ in 0..count {
            self.closed_connections.recv_timeout(EVENT_TIMEOUT).expect("the watch connects");
        }
    }

    /// Waits until this number of processes has applied the list, in which `old` drains and `new` serves. Checks that
    /// requests are forwarded only to `new`.
    fn check_update_applies(
        &self,
        balancer: &Balancer,
        processes: usize,
        old: &Receiver<Message>,
        new: &Receiver<Message>,
    ) {
        for _ in 0..processes {
            self.applied_lists.recv_timeout(EVENT_TIMEOUT).expect("the list is applied");
        }
        old.try_iter().count();
        // Fewer than a hundred requests: from a hundred on, the policy bounds attempts by the measured latency, a fraction
        // of a millisecond, which a busy machine exceeds.
        balancer.serve_requests(1000..1010);
        assert_eq!((old.try_iter().count(), new.try_iter().count()), (0, 10));
    }
}

/// Sends the list once and reports each later request of the watch. The later requests wait for the next version and get
/// no response.
fn serve_list(mut stream: TcpStream, list: &str, applied: &Sender<()>) {
    if read_message(&mut stream).is_some() {
        respond(&mut stream, "200 OK", "", list.as_bytes());
    }
    while read_message(&mut stream).is_some() {
        let _ = applied.send(());
    }
}

/// Describes a balancer that knows one upstream and has the smallest allowed limit on descriptors.
fn setup(upstream: SocketAddr, discovery: SocketAddr) -> Setup {
    Setup::with_upstreams(&[upstream])
        .watched_discovery(discovery)
        .sockets(DESCRIPTOR_LIMIT)
        .descriptor_limit(DESCRIPTOR_LIMIT)
}

/// Returns the entries of a list in which the upstream at `old` drains and a new one at `new` serves.
fn replacement_entries(old: SocketAddr, new: SocketAddr) -> [String; 2] {
    [endpoint("s-0", old, "DRAINING"), endpoint("s-1", new, "SERVING")]
}

#[test]
fn idle_clients_do_not_block_the_watch_upstream_connections_or_other_clients_and_updates_apply() {
    let [old, new] = [Peer::new(), Peer::new()];
    let entries = replacement_entries(old.address, new.address);
    let discovery = UnreliableDiscovery::down();
    let balancer = setup(old.address, discovery.address).start();
    let _idle_clients = IdleClients::connect(balancer.address);
    discovery.wait_for_connections(2);
    // Each of these requests needs a separate connection to the upstream.
    balancer.start_requests(&old, 3).iter_mut().for_each(RequestInFlight::complete);
    let (old, new) = (old.serve_ok(), new.serve_ok());
    balancer.serve_requests(100..110);
    discovery.wait_for_connections(2);
    discovery.recover(&entries);
    discovery.check_update_applies(&balancer, 1, &old, &new);
    assert!(balancer.open_descriptors() < DESCRIPTOR_LIMIT, "no descriptor is left");
}

#[test]
fn a_discovery_at_a_new_address_is_reached_despite_idle_clients() {
    let [old, new] = [(); 2].map(|()| RespondingUpstream::start());
    let [old_discovery, new_discovery] = [(); 2].map(|()| UnreliableDiscovery::down());
    new_discovery.recover(&replacement_entries(old.address, new.address));
    let balancer = setup(old.address, old_discovery.address).start();
    let _idle_clients = IdleClients::connect(balancer.address);
    old_discovery.wait_for_connections(2);
    balancer.reload(&setup(closed_address(), new_discovery.address).config());
    new_discovery.check_update_applies(&balancer, 1, &old.requests, &new.requests);
}

#[test]
fn a_successor_shares_the_limits_and_the_watch_despite_idle_clients() {
    let [old, new] = [(); 2].map(|()| RespondingUpstream::start());
    let discovery = UnreliableDiscovery::down();
    let folder = SharedFolder::new("idle-clients");
    let listener = free_listener();
    let start =
        || setup(old.address, discovery.address).folder(&folder).inherited_listener(&listener).start();
    let mut predecessor = start();
    let _idle_clients = IdleClients::connect(predecessor.address);
    discovery.wait_for_connections(2);
    let successor = start();
    predecessor.wait_for_log("2 processes");
    // Both processes watch, and requests pass through either.
    discovery.wait_for_connections(6);
    successor.serve_requests(0..10);
    let open_descriptors = || predecessor.open_descriptors() + successor.open_descriptors();
    let start = Instant::now();
    while open_descriptors() > DESCRIPTOR_LIMIT {
        assert!(start.elapsed() < EVENT_TIMEOUT, "both processes together exceed the limit of one balancer");
    }
    successor.serve_requests(10..20);
    assert!(
        open_descriptors() <= DESCRIPTOR_LIMIT,
        "both processes together exceed the limit of one balancer"
    );
    discovery.recover(&replacement_entries(old.address, new.address));
    discovery.check_update_applies(&successor, 2, &old.requests, &new.requests);
    predecessor.terminate();
    predecessor.assert_exits_cleanly();
    successor.wait_for_log("1 processes");
    successor.serve_requests(6000..6010);
}

#[test]
fn requests_behind_idle_clients_in_the_accept_queue_are_answered_during_a_shutdown() {
    let upstream = RespondingUpstream::start();
    let discovery = UnreliableDiscovery::down();
    let mut balancer = setup(upstream.address, discovery.address).start();
    let idle_clients = IdleClients::connect(balancer.address);
    discovery.wait_for_connections(2);
    let shutdown = balancer.start_shutdown();
    drop(idle_clients);
    let mut idle = Vec::new();
    let mut requesting = Vec::new();
    balancer.while_suspended_until_listener_closes(shutdown, || {
        idle.extend((0..IDLE_CLIENTS).map(|_| balancer.connect()));
        for id in 0..10 {
            let mut client = balancer.connect();
            send(&mut client, &request("pay", &format!("r-{id}"), ""));
            requesting.push(client);
        }
    });
    for client in &mut requesting {
        assert_eq!(read_message(client).expect("a response arrives").status(), 200);
    }
    balancer.assert_exits_cleanly();
    let elapsed = shutdown.elapsed();
    assert!(elapsed < Duration::from_secs(10), "the process exited after the platform would have killed it");
}

#[test]
fn a_successor_evicts_no_more_idle_connections_than_its_permits_need() {
    // Of 118 permits, each of two processes keeps 48, so 12 of 60 connections are closed. Connections that were idle
    // for 2 s may be closed as well; a run that takes longer on a busy machine does not count.
    assert_in_time(|| {
        let folder = SharedFolder::new("excess");
        let listener = free_listener();
        let start = || {
            let setup = setup(closed_address(), closed_address());
            setup.folder(&folder).inherited_listener(&listener).start()
        };
        let predecessor = start();
        let mut clients: Vec<_> = (0..60).map(|_| predecessor.connect()).collect();
        let idle_since = Instant::now();
        for client in &mut clients {
            assert_eq!(exchange(client, READINESS_CHECK).status(), 200);
        }
        // Connections may be evicted once they are idle for 0.1 s.
        std::thread::sleep(Duration::from_millis(150));
        let _successor = start();
        predecessor.wait_for_log("2 processes");
        let permits_reduced_at = Instant::now();
        let is_open = |stream: &&TcpStream| stream.set_nonblocking(true).is_ok() && is_open(stream);
        let open_count = || clients.iter().filter(is_open).count();
        while open_count() == 60 && permits_reduced_at.elapsed() < Duration::from_secs(1) {}
        let remaining = open_count();
        let is_in_time = idle_since.elapsed() < Duration::from_millis(1900);
        assert!(!is_in_time || remaining >= 48, "{remaining} of 60 connections remain, with 48 permits");
        is_in_time
    });
}
