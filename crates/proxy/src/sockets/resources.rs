//! Errors that tell of this process or machine, and nothing of a peer.

use std::io;

/// The process may open no more files (EMFILE).
const TOO_MANY_OPEN_FILES: i32 = 24;
/// The machine may open no more files (ENFILE).
const FILE_TABLE_FULL: i32 = 23;
/// The kernel has no memory left (ENOMEM).
const OUT_OF_MEMORY: i32 = 12;
/// The kernel has no buffer left (ENOBUFS).
const NO_BUFFER_SPACE: i32 = 105;
/// All local ports are in use (EADDRNOTAVAIL).
const NO_LOCAL_PORT: i32 = 99;

/// Whether the process or the machine has no descriptor, port, buffer or memory left.
pub fn is_out_of_resources(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(TOO_MANY_OPEN_FILES | FILE_TABLE_FULL | OUT_OF_MEMORY | NO_BUFFER_SPACE | NO_LOCAL_PORT)
    )
}
