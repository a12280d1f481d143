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
        Peer::on(TcpListener::bind("127.0.0.1:0").expect("a free port"))
    }

    fn on(listener: TcpListener) -> Peer {
        let address = listener.local_addr().expect("the local address");
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
        self.connections.recv_timeout(EVENT_TIMEOUT).expect("a connection")
    }

    /// Returns the channel of all further connections.
    pub fn into_connections(self) -> Receiver<TcpStream> {
        self.connections
    }

    /// Returns whether the test has accepted every connection that was established.
    pub fn has_no_new_connection(&self) -> bool {
        self.connections.try_recv().is_err()
    }

    /// Handles the requests of each connection on a separate thread and returns the channel of all requests.
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

    /// Responds to each request with status 200 and returns the channel of all requests.
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
    fillers: Vec<TcpStream>,
}

impl StalledListener {
    /// Listens on a free port and fills the backlog.
    pub fn new() -> StalledListener {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).expect("the socket listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("the local address");
        let filler = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let fillers = (0..4).map_while(filler).collect();
        StalledListener { address, listener, fillers }
    }

    /// Lets connections be established from now on. The kernel of a client that is connecting retries a second after
    /// its last attempt.
    pub fn open(self) -> Peer {
        for _ in &self.fillers {
            self.listener.accept().expect("a connection that filled the backlog");
        }
        Peer::on(self.listener)
    }
}

/// Returns an address on which nothing listens. The port is fixed and privileged, because another test could bind a port that
/// was bound and released here.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
