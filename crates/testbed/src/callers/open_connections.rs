//! Connections that stay open while what they cost is measured.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::CallerError;
use super::http::{CallerConnection, read_response, request};

/// Connections that are kept open until they are dropped.
pub struct OpenConnections {
    streams: Vec<TcpStream>,
}

impl OpenConnections {
    /// Opens `number` connections.
    ///
    /// # Errors
    /// One cannot be made.
    pub fn connect(address: SocketAddr, number: usize) -> Result<OpenConnections, CallerError> {
        let connect = |_| CallerConnection::connect(address).map(|connection| connection.reader);
        Ok(OpenConnections { streams: (0..number).map(connect).collect::<Result<_, _>>()? })
    }

    /// Sends a request on each.
    ///
    /// # Errors
    /// One has been closed.
    pub fn send(&mut self) -> Result<(), CallerError> {
        for (number, stream) in self.streams.iter_mut().enumerate() {
            stream.write_all(request("held", number as u64).as_bytes()).map_err(CallerError::Send)?;
        }
        Ok(())
    }

    /// Waits for the response on each and returns their statuses.
    ///
    /// # Errors
    /// One does not come within `time` of the one before.
    pub fn receive(&mut self, time: Duration) -> Result<Vec<u16>, CallerError> {
        let receive = |stream: &mut TcpStream| {
            stream.set_read_timeout(Some(time)).map_err(CallerError::Receive)?;
            let response = read_response(stream, &mut Vec::new()).ok_or(CallerError::NoResponse)?;
            Ok(response.status)
        };
        self.streams.iter_mut().map(receive).collect()
    }
}
