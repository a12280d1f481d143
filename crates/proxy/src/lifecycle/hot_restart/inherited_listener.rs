//! The listening socket that the platform opens and passes to the process in `EDGE_FD`.

use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

use socket2::{Domain, SockRef, Type};

/// `EDGE_FD` does not name a listening socket. Each message begins with the value of `EDGE_FD`.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The value is not a number, or is negative.
    #[error(
        "EDGE_FD: {value:?} is not a descriptor; set it to the number of an inherited listening TCP socket"
    )]
    NotADescriptor {
        /// The value of `EDGE_FD`.
        value: String,
    },
    /// The descriptor is closed or does not belong to a socket.
    #[error(
        "EDGE_FD: {value:?} is not an open socket; set it to the number of an inherited listening TCP socket"
    )]
    NotASocket {
        /// The value of `EDGE_FD`.
        value: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The socket is not a TCP socket or does not listen.
    #[error("EDGE_FD: {value:?} is not a listening TCP socket; set it to the number of one")]
    NotListening {
        /// The value of `EDGE_FD`.
        value: String,
    },
}

/// Takes ownership of the listening socket whose descriptor is `value`, the content of `EDGE_FD`. It must be called before
/// any file or socket is opened: a number that was not inherited could by then be the descriptor of another file.
///
/// # Errors
/// `value` is not the number of an open and listening TCP socket.
pub fn inherit_listener(value: &str) -> Result<TcpListener, InheritedListenerError> {
    let descriptor = parse_descriptor(value)?;
    // SAFETY: no other code in this process owns or closes the descriptor. If it is not open, each call on it fails and
    // this function returns an error.
    #[allow(unsafe_code)]
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let not_a_socket = |source| InheritedListenerError::NotASocket { value: value.to_owned(), source };
    if !is_tcp_listener(borrowed).map_err(not_a_socket)? {
        return Err(InheritedListenerError::NotListening { value: value.to_owned() });
    }
    set_flags(borrowed).map_err(not_a_socket)?;
    // SAFETY: the calls above have shown that the descriptor is open, and the platform passed it to this process to own.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(descriptor) };
    Ok(TcpListener::from(owned))
}

fn parse_descriptor(value: &str) -> Result<RawFd, InheritedListenerError> {
    let number: Option<RawFd> = value.parse().ok();
    number
        .filter(|number| *number >= 0)
        .ok_or_else(|| InheritedListenerError::NotADescriptor { value: value.to_owned() })
}

fn is_tcp_listener(descriptor: BorrowedFd<'_>) -> io::Result<bool> {
    let socket = SockRef::from(&descriptor);
    if socket.r#type()? != Type::STREAM {
        return Ok(false);
    }
    if ![Domain::IPV4, Domain::IPV6].contains(&socket.domain()?) {
        return Ok(false);
    }
    socket.is_listener()
}

/// Sets the flags of the socket: non-blocking for the runtime, and close-on-exec so that no child process inherits it. The
/// socket is shared with other processes of the balancer. This process may close its descriptor, but must not shut the socket
/// down, because then none of them could accept connections.
fn set_flags(descriptor: BorrowedFd<'_>) -> io::Result<()> {
    let socket = SockRef::from(&descriptor);
    socket.set_cloexec(true)?;
    socket.set_nonblocking(true)
}
