//! Peers that the balancer connects to.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::{LONG, Message, read};

/// A peer that listens, as an upstream or as discovery, and hands over each connection.
pub struct Peer {
    pub address: SocketAddr,
    connections: Receiver<TcpStream>,
}

impl Peer {
    pub fn new() -> Peer {
        Peer::on(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    fn on(listener: TcpListener) -> Peer {
        let address = listener.local_addr().expect("an address");
        let (sender, connections) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_read_timeout(Some(LONG));
                let _ = stream.set_nodelay(true);
                if sender.send(stream).is_err() {
                    return;
                }
            }
        });
        Peer { address, connections }
    }

    /// The next connection.
    pub fn accept(&self) -> TcpStream {
        self.connections.recv_timeout(LONG).expect("a connection")
    }

    /// The channel of all further connections.
    pub fn incoming(self) -> Receiver<TcpStream> {
        self.connections
    }

    /// Whether every connection that has come was accepted.
    pub fn quiet(&self) -> bool {
        self.connections.try_recv().is_err()
    }

    /// Handles the requests of each connection in a thread of its own; returns the channel of all requests.
    pub fn serve(
        self,
        handle: impl Fn(&Message, &mut TcpStream) + Clone + Send + 'static,
    ) -> Receiver<Message> {
        let (sender, requests): (Sender<Message>, _) = channel();
        std::thread::spawn(move || {
            for mut stream in self.connections {
                let (handle, sender) = (handle.clone(), sender.clone());
                std::thread::spawn(move || {
                    while let Some(message) = read(&mut stream) {
                        let _ = sender.send(message.clone());
                        handle(&message, &mut stream);
                    }
                });
            }
        });
        requests
    }
}

/// A listener whose backlog is full: connections to it are not established until [`Stalled::open`].
pub struct Stalled {
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl Stalled {
    pub fn new() -> Stalled {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filler = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let fillers = (0..4).map_while(filler).collect();
        Stalled { address, listener, fillers }
    }

    /// Lets connections be established from now on; the kernel retries each a second after its last attempt.
    pub fn open(self) -> Peer {
        for _ in &self.fillers {
            self.listener.accept().expect("a filler");
        }
        Peer::on(self.listener)
    }
}

/// An address on which nothing listens. A port that was bound and released could be taken by another test.
pub fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
