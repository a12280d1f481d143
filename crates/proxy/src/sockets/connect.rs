//! Connects to a peer.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Type};
use tokio::net::TcpStream;

use crate::sockets::Socket;

/// EINPROGRESS: the connection is being established.
const IN_PROGRESS: i32 = 115;
/// EALREADY: an earlier call has begun to establish the connection.
const ALREADY_IN_PROGRESS: i32 = 114;
/// EISCONN: the connection that an earlier call has begun is established.
const ALREADY_CONNECTED: i32 = 106;

/// Connects to an address. Dropping the future closes the socket.
///
/// # Errors
///
/// The error of the operating system. [`is_out_of_resources`](crate::sockets::is_out_of_resources) distinguishes errors
/// of this machine from errors of the peer.
pub async fn connect(address: SocketAddr) -> io::Result<Socket> {
    let kind = Type::STREAM.nonblocking().cloexec();
    let socket = socket2::Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
    start_connecting(&socket, address)?;
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable().await?;
    match stream.take_error()? {
        Some(error) => Err(error),
        None => Ok(Socket::new(stream)),
    }
}

/// Starts to connect. A call that was interrupted by a signal may already have started the connection, so the repeated
/// call may report that the connection is being or has been established.
fn start_connecting(socket: &socket2::Socket, address: SocketAddr) -> io::Result<()> {
    loop {
        let Err(error) = socket.connect(&address.into()) else { return Ok(()) };
        match error.raw_os_error() {
            Some(IN_PROGRESS | ALREADY_IN_PROGRESS | ALREADY_CONNECTED) => return Ok(()),
            _ if error.kind() == io::ErrorKind::Interrupted => {}
            _ => return Err(error),
        }
    }
}
