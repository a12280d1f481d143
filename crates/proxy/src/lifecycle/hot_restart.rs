//! The replacement of the process while it serves: the listener that the platform holds, and whether another
//! process of this balancer lives.

use std::fs::{File, TryLockError};
use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};
use std::path::Path;

use socket2::{Domain, SockRef, Type};

use crate::dispatch::SavedState;
use crate::lifecycle::overrides::replace;

/// Processes of one balancer that may live at once: the one that leaves, its successor and a spare.
const MOST: usize = 4;

/// Takes the listening socket that `EDGE_FD` names. To be called before anything else is opened: a number that
/// was not inherited could be another descriptor's by then.
pub fn listener(text: &str) -> Result<TcpListener, String> {
    let wrong = |why: &str| format!("EDGE_FD: {text:?} {why}");
    let number: RawFd = text.parse().ok().filter(|n| *n >= 0).ok_or_else(|| wrong("is no descriptor"))?;
    let io = |e: io::Error| wrong(&format!("is no open socket: {e}"));
    // SAFETY: nothing else in this process owns or closes the descriptor; if it is not open, each call on it
    // fails and nothing is taken.
    #[allow(unsafe_code)]
    let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
    let socket = SockRef::from(&borrowed);
    let tcp = socket.r#type().map_err(io)? == Type::STREAM
        && [Domain::IPV4, Domain::IPV6].contains(&socket.domain().map_err(io)?);
    if !tcp || !socket.is_listener().map_err(io)? {
        return Err(wrong("is no listening TCP socket"));
    }
    // Every process shares it: it is closed here in time, and never shut down.
    socket.set_cloexec(true).map_err(io)?;
    socket.set_nonblocking(true).map_err(io)?;
    // SAFETY: it is open, as the calls above have shown, and was handed to this process to own.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(number) };
    Ok(TcpListener::from(owned))
}

/// This process's sign of life, and those of others. Each is a lock on a file, which the system frees when its
/// process ends, however it ends.
pub struct ProcessPresence {
    _own: File,
    others: Vec<File>,
}

impl ProcessPresence {
    /// Makes this process known in the folder.
    pub fn enter(folder: &Path) -> io::Result<ProcessPresence> {
        let mut files = (0..MOST)
            .map(|n| File::create(folder.join(format!("sloeline-process-{n}.lock"))))
            .collect::<io::Result<Vec<_>>>()?;
        // A place that another looks at in this moment seems taken: the next one will do.
        let free = files.iter().position(|file| file.try_lock().is_ok());
        let own =
            files.remove(free.ok_or_else(|| io::Error::other("too many processes of this balancer live"))?);
        Ok(ProcessPresence { _own: own, others: files })
    }

    /// How many others live.
    pub fn others(&self) -> usize {
        let lives = |file: &&File| match file.try_lock_shared() {
            Ok(()) => file.unlock().is_err(),
            Err(TryLockError::WouldBlock) => true,
            Err(TryLockError::Error(_)) => false,
        };
        self.others.iter().filter(lives).count()
    }
}

const LEGACY: &str = "sloeline-learned.json";

/// Keeps what this process has learned for the one that takes its place.
pub fn save(folder: &Path, legacy: &SavedState) -> io::Result<()> {
    replace(folder, LEGACY, &serde_json::to_vec(legacy)?).map(drop)
}

/// What the process before this one had learned; nothing if there was none or it cannot be read.
pub fn load(folder: &Path) -> Option<SavedState> {
    let text = std::fs::read(folder.join(LEGACY)).ok()?;
    serde_json::from_slice(&text).inspect_err(|e| eprintln!("handover: {LEGACY} is passed over: {e}")).ok()
}

#[cfg(test)]
mod tests;
