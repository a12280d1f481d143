//! The listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use crate::config::Config;
use crate::downstream::BACKLOG;
use crate::process::error::StartError;

/// Returns the listening socket for clients: the inherited socket, or a new socket on the configured address.
///
/// # Errors
/// The runtime cannot use the inherited socket, or the address cannot be listened on.
pub fn client_listener(
    config: &Config,
    inherited: Option<std::net::TcpListener>,
) -> Result<TcpListener, StartError> {
    match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(StartError::UnusableListener),
        None => listen("EDGE_LISTEN", config.listen_address),
    }
}

/// Returns the listening socket of the admin API, or `None` if no address is configured for it.
///
/// # Errors
/// The address cannot be listened on.
pub fn admin_listener(config: &Config) -> Result<Option<TcpListener>, StartError> {
    config.admin_address.map(|address| listen("EDGE_MANAGEMENT", address)).transpose()
}

/// Returns the address of a listening socket.
///
/// # Errors
/// The operating system returns an error.
pub fn local_address(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(StartError::LocalAddress)
}

/// Listens on an address. `variable` is the environment variable of the address, for the error message.
fn listen(variable: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address).map_err(|source| StartError::Listen { variable, address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Without this option a restart on the same port fails while connections of the previous process are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
