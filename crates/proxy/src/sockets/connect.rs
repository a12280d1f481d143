//! Connecting to a peer.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Type};
use tokio::net::TcpStream;

use crate::sockets::Socket;

/// The connection is being established (EINPROGRESS).
const IN_PROGRESS: i32 = 115;
/// It is being established since an earlier call (EALREADY).
const ALREADY_IN_PROGRESS: i32 = 114;
/// It was established since an earlier call (EISCONN).
const ALREADY_CONNECTED: i32 = 106;

/// Connects to an address. Cancelled, it closes the socket.
///
/// # Errors
/// The error of the operating system. See [`is_out_of_resources`](crate::sockets::is_out_of_resources) for those that
/// say nothing of the peer.
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

/// Starts to connect. A call that a signal interrupted may have started it all the same.
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
