//! Errors of the operating system that are caused by a lack of resources of this process or machine, not by a peer.

use std::io;

/// EMFILE: the process has no file descriptor left.
const TOO_MANY_OPEN_FILES: i32 = 24;
/// ENFILE: the machine has no file descriptor left.
const FILE_TABLE_FULL: i32 = 23;
/// ENOMEM: the kernel has no memory left.
const OUT_OF_MEMORY: i32 = 12;
/// ENOBUFS: the kernel has no buffer space left.
const NO_BUFFER_SPACE: i32 = 105;
/// EADDRNOTAVAIL: all local ports are in use.
const NO_LOCAL_PORT: i32 = 99;

/// Returns whether an error means that the process or machine has no file descriptor, port, buffer or memory left.
pub fn is_out_of_resources(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(TOO_MANY_OPEN_FILES | FILE_TABLE_FULL | OUT_OF_MEMORY | NO_BUFFER_SPACE | NO_LOCAL_PORT)
    )
}
