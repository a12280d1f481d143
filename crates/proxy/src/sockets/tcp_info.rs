//! The kernel's information on a TCP connection, which no other library reads.

use std::mem::size_of;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// The kernel's number of the state of a connection whose both directions are open.
const TCP_ESTABLISHED: u8 = 1;

/// Returns how long ago the newest data arrived on a TCP connection, or how long ago the connection was established if none has.
/// Returns `None` if the system does not tell. A connection may have waited in the accept queue with a complete request, and the
/// time of that request counts from its last byte.
pub fn time_since_last_data(socket: &impl AsFd) -> Option<Duration> {
    let TcpInfo { fields, filled_bytes } = tcp_info(socket)?;
    // Other systems may fill in fewer fields.
    let has_field = filled_bytes >= std::mem::offset_of!(libc::tcp_info, tcpi_last_ack_recv);
    has_field.then(|| Duration::from_millis(u64::from(fields.tcpi_last_data_recv)))
}

/// Returns whether the peer has closed its sending direction or reset the connection, while this side has closed neither. False
/// if the system does not tell.
pub fn peer_has_closed(socket: &impl AsFd) -> bool {
    tcp_info(socket).is_some_and(|info| info.filled_bytes > 0 && info.fields.tcpi_state != TCP_ESTABLISHED)
}

/// The kernel's information on a connection.
struct TcpInfo {
    fields: libc::tcp_info,
    /// How many bytes of the fields the kernel has filled in.
    filled_bytes: usize,
}

/// Returns the kernel's information on a connection; `None` if the system does not tell.
fn tcp_info(socket: &impl AsFd) -> Option<TcpInfo> {
    let descriptor = socket.as_fd().as_raw_fd();
    // SAFETY: all fields of the structure are numbers, which may be zero.
    #[allow(unsafe_code)]
    let mut fields: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the pointers are to local variables, and `length` is the size of the first.
    #[allow(unsafe_code)]
    let result = unsafe {
        let target = (&raw mut fields).cast();
        libc::getsockopt(descriptor, libc::IPPROTO_TCP, libc::TCP_INFO, target, &raw mut length)
    };
    (result == 0).then_some(TcpInfo { fields, filled_bytes: length as usize })
}
