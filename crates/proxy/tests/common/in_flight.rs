//! Requests that were forwarded and have no response yet.

use std::net::{Shutdown, TcpStream};

use super::{Peer, peer_closed, read_message, respond_ok, send};

/// A request that an upstream has received and not yet responded to.
pub struct RequestInFlight {
    /// Connection from the client to the balancer.
    pub client: TcpStream,
    /// Connection from the balancer to the upstream.
    pub upstream: TcpStream,
}

impl RequestInFlight {
    /// Sends a request on the client's connection and reads it from the next connection to the upstream.
    pub fn start(mut client: TcpStream, upstream: &Peer, request: &str) -> RequestInFlight {
        send(&mut client, request);
        let mut upstream = upstream.accept();
        read_message(&mut upstream).expect("an attempt arrives");
        RequestInFlight { client, upstream }
    }

    /// Lets the upstream respond and asserts that the client receives the response.
    #[track_caller]
    pub fn complete(&mut self) {
        respond_ok(&mut self.upstream);
        assert_eq!(read_message(&mut self.client).expect("a response arrives").status(), 200);
    }

    /// Closes both connections and waits until the balancer has closed that to the upstream.
    #[track_caller]
    pub fn close(mut self) {
        // Fails if the balancer has closed the connection already.
        let _ = self.upstream.shutdown(Shutdown::Write);
        assert!(
            peer_closed(&mut self.upstream),
            "the balancer keeps a connection that its upstream has closed"
        );
    }
}
