//! A test fixture with one client, the balancer and one upstream.

use std::net::TcpStream;

use super::{Balancer, Peer, RequestInFlight, Setup};

/// A client that is connected to a balancer with one upstream.
pub struct SingleUpstream {
    /// The upstream; the balancer has it in its cached list as `s-0`.
    pub upstream: Peer,
    /// The balancer, without discovery.
    pub balancer: Balancer,
    /// Connection from the client to the balancer.
    pub client: TcpStream,
}

impl SingleUpstream {
    /// Starts the upstream and the balancer and connects the client.
    pub fn start() -> SingleUpstream {
        let upstream = Peer::new();
        let balancer = Setup::with_upstreams(&[upstream.address]).start();
        let client = balancer.connect();
        SingleUpstream { upstream, balancer, client }
    }

    /// Sends a request on a new connection and reads it from the next connection to the upstream.
    pub fn start_request(&self, request: &str) -> RequestInFlight {
        RequestInFlight::start(self.balancer.connect(), &self.upstream, request)
    }
}
