//! The listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use crate::config::Config;
use crate::downstream::BACKLOG;
use crate::process::error::StartError;

/// The listening socket for clients: the inherited one, or a new one on the configured address.
///
/// # Errors
/// The inherited socket cannot be used, or the address cannot be listened on.
pub fn client_listener(
    config: &Config,
    inherited: Option<std::net::TcpListener>,
) -> Result<TcpListener, StartError> {
    match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(StartError::UnusableListener),
        None => listen("EDGE_LISTEN", config.listen_address),
    }
}

/// The listening socket for operators' calls; none if they are not served.
///
/// # Errors
/// The address cannot be listened on.
pub fn admin_listener(config: &Config) -> Result<Option<TcpListener>, StartError> {
    config.admin_address.map(|address| listen("EDGE_MANAGEMENT", address)).transpose()
}

/// The address of a listening socket.
///
/// # Errors
/// The operating system does not name it.
pub fn local_address(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(StartError::LocalAddress)
}

/// Listens on an address; `variable` is the environment variable that names it.
fn listen(variable: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address).map_err(|source| StartError::Listen { variable, address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
