//! Connections that stay open while their cost to a balancer is measured.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::ClientError;
use super::http::{ClientConnection, read_response, request_text};

/// Open connections. Dropping this value closes them.
pub struct OpenConnections {
    streams: Vec<TcpStream>,
}

impl OpenConnections {
    /// Opens `count` connections.
    ///
    /// # Errors
    ///
    /// [`ClientError::Connect`] if a connection cannot be established.
    pub fn connect(address: SocketAddr, count: usize) -> Result<OpenConnections, ClientError> {
        let connect = |_| ClientConnection::connect(address).map(|connection| connection.reader);
        Ok(OpenConnections { streams: (0..count).map(connect).collect::<Result<_, _>>()? })
    }

    /// Sends a request on each connection.
    ///
    /// # Errors
    ///
    /// [`ClientError::Send`] if a connection was closed.
    pub fn send(&mut self) -> Result<(), ClientError> {
        for (number, stream) in self.streams.iter_mut().enumerate() {
            stream.write_all(request_text("held", number as u64).as_bytes()).map_err(ClientError::Send)?;
        }
        Ok(())
    }

    /// Waits for the response on each connection, and returns the status codes.
    ///
    /// # Errors
    ///
    /// [`ClientError::NoResponse`] if a connection receives nothing for `timeout` or its response is incomplete,
    /// [`ClientError::Receive`] if the read timeout cannot be set.
    pub fn receive(&mut self, timeout: Duration) -> Result<Vec<u16>, ClientError> {
        let receive = |stream: &mut TcpStream| {
            stream.set_read_timeout(Some(timeout)).map_err(ClientError::Receive)?;
            let response = read_response(stream, &mut Vec::new()).ok_or(ClientError::NoResponse)?;
            Ok(response.status)
        };
        self.streams.iter_mut().map(receive).collect()
    }
}
