//! Takes over the listening socket that the platform holds and names in `EDGE_FD`.

use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

use socket2::{Domain, SockRef, Type};

/// `EDGE_FD` names no listening socket. Each message begins with what was read.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// The value is no number, or a negative one.
    #[error("EDGE_FD: {value:?} is no descriptor; set it to the number of an inherited listening TCP socket")]
    NotADescriptor {
        /// What `EDGE_FD` holds.
        value: String,
    },
    /// The descriptor is closed or belongs to something else than a socket.
    #[error("EDGE_FD: {value:?} is no open socket; pass the number of one that the platform holds open")]
    NotASocket {
        /// What `EDGE_FD` holds.
        value: String,
        /// Why a call on it failed.
        source: io::Error,
    },
    /// The socket is of another kind, or does not listen.
    #[error("EDGE_FD: {value:?} is no listening TCP socket")]
    NotListening {
        /// What `EDGE_FD` holds.
        value: String,
    },
}

/// Takes over the listening socket whose descriptor `value`, the content of `EDGE_FD`, names. It must be called before
/// anything else is opened: a descriptor that was not inherited could belong to another file by then.
///
/// # Errors
/// `value` names no open and listening TCP socket.
pub fn inherit_listener(value: &str) -> Result<TcpListener, InheritedListenerError> {
    let descriptor = parse_descriptor(value)?;
    // SAFETY: nothing else in this process owns or closes the descriptor. If it is not open, each call on it fails
    // and nothing is taken over.
    #[allow(unsafe_code)]
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let not_a_socket = |source| InheritedListenerError::NotASocket { value: value.to_owned(), source };
    if !is_tcp_listener(borrowed).map_err(not_a_socket)? {
        return Err(InheritedListenerError::NotListening { value: value.to_owned() });
    }
    prepare(borrowed).map_err(not_a_socket)?;
    // SAFETY: it is open, as the calls above have shown, and was handed to this process to own.
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

/// Makes the socket fit for this process. All processes of the balancer share it, so it is only ever closed here and
/// never shut down, and no child inherits it by accident.
fn prepare(descriptor: BorrowedFd<'_>) -> io::Result<()> {
    let socket = SockRef::from(&descriptor);
    socket.set_cloexec(true)?;
    socket.set_nonblocking(true)
}
