//! Peers that the balancer connects to: upstreams and discovery.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::{EVENT_TIMEOUT, Message, read_message, respond_ok};

/// A peer that listens, as an upstream or as discovery, and hands over each connection to the test.
pub struct Peer {
    /// Address on which it listens.
    pub address: SocketAddr,
    connections: Receiver<TcpStream>,
}

impl Peer {
    /// Listens on a free port.
    pub fn new() -> Peer {
        Peer::from_listener(TcpListener::bind("127.0.0.1:0").expect("a port is free"))
    }

    fn from_listener(listener: TcpListener) -> Peer {
        let address = listener.local_addr().expect("the local address is known");
        let (sender, connections) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_read_timeout(Some(EVENT_TIMEOUT));
                let _ = stream.set_nodelay(true);
                if sender.send(stream).is_err() {
                    return;
                }
            }
        });
        Peer { address, connections }
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> TcpStream {
        self.connections.recv_timeout(EVENT_TIMEOUT).expect("a connection arrives")
    }

    /// Returns a connection that was established and that the test has not accepted; `None` if there is none.
    pub fn try_accept(&self) -> Option<TcpStream> {
        self.connections.try_recv().ok()
    }

    /// Returns the channel that delivers all further connections.
    pub fn into_connections(self) -> Receiver<TcpStream> {
        self.connections
    }

    /// Returns whether the test has accepted every connection that was established.
    pub fn has_no_new_connection(&self) -> bool {
        self.connections.try_recv().is_err()
    }

    /// Handles the requests of each connection on a separate thread and returns a channel that delivers the requests.
    pub fn serve(
        self,
        handle: impl Fn(&Message, &mut TcpStream) + Clone + Send + 'static,
    ) -> Receiver<Message> {
        let (sender, requests): (Sender<Message>, _) = channel();
        std::thread::spawn(move || {
            for mut stream in self.connections {
                let (handle, sender) = (handle.clone(), sender.clone());
                std::thread::spawn(move || {
                    while let Some(message) = read_message(&mut stream) {
                        let _ = sender.send(message.clone());
                        handle(&message, &mut stream);
                    }
                });
            }
        });
        requests
    }

    /// Responds to each request with status 200 and returns a channel that delivers the requests.
    pub fn serve_ok(self) -> Receiver<Message> {
        self.serve(|_, stream| respond_ok(stream))
    }
}

/// An upstream that responds to each request with status 200.
pub struct RespondingUpstream {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// The requests that it received.
    pub requests: Receiver<Message>,
}

impl RespondingUpstream {
    /// Starts the upstream on a free port.
    pub fn start() -> RespondingUpstream {
        let peer = Peer::new();
        RespondingUpstream { address: peer.address, requests: peer.serve_ok() }
    }

    /// Returns the number of requests received since the last call.
    pub fn take_request_count(&self) -> usize {
        self.requests.try_iter().count()
    }
}

/// A listener whose backlog is full: connections to it are not established until [`StalledListener::open`].
pub struct StalledListener {
    /// Address on which it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the backlog.
    backlog_connections: Vec<TcpStream>,
}

impl StalledListener {
    /// Listens on a free port and fills the backlog.
    pub fn new() -> StalledListener {
        StalledListener::stall(StalledListener::listen())
    }

    /// Returns a listener on a free port with the shortest backlog, which [`stall`](Self::stall) can fill.
    pub fn listen() -> TcpListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("the socket is created");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port is free");
        socket.listen(0).expect("the socket listens");
        // Bounds the wait of `accept`.
        socket.set_read_timeout(Some(EVENT_TIMEOUT)).expect("the time limit is set");
        TcpListener::from(socket)
    }

    /// Fills the backlog of a listener whose connections were all accepted.
    pub fn stall(listener: TcpListener) -> StalledListener {
        let address = listener.local_addr().expect("the local address is known");
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let backlog_connections = (0..4).map_while(connect).collect();
        StalledListener { address, listener, backlog_connections }
    }

    /// Empties the backlog, so that connections can be established from now on. For a client that is connecting, the
    /// kernel retries a second after its last attempt.
    pub fn open(self) -> Peer {
        for _ in &self.backlog_connections {
            self.listener.accept().expect("a connection of the backlog is accepted");
        }
        Peer::from_listener(self.listener)
    }
}

/// Returns an address on which nothing listens. The port is fixed and privileged, because another test could bind a
/// port that was bound and released here.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
