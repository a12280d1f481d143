//! Shows that this process is running and counts the other running processes of the same balancer.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

/// How many processes of one balancer may run at once: the one that shuts down, its successor and two spares.
const MAX_PROCESSES: usize = 4;
/// How often a start looks for a free lock file, and the pause between two looks: half a second together, far less than
/// a start may take.
const LOCK_TRIES: u32 = 25;
const LOCK_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// This process cannot make itself known to the others.
#[derive(Debug, thiserror::Error)]
pub enum ProcessPresenceError {
    /// A lock file cannot be created.
    #[error("TMPDIR: {} cannot be created", path.display())]
    LockFile {
        /// The lock file.
        path: PathBuf,
        /// Why it cannot be created.
        source: io::Error,
    },
    /// No lock file is free.
    #[error(
        "TMPDIR: too many processes of this balancer live: at most {MAX_PROCESSES} may run; end one of them"
    )]
    TooManyProcesses,
}

/// This process's lock file, and those of the others. Each running process locks one file; the system frees the lock
/// when the process ends, however it ends.
pub struct ProcessPresence {
    _own: File,
    others: Vec<File>,
}

impl ProcessPresence {
    /// Makes this process known in `folder`.
    ///
    /// # Errors
    /// A lock file cannot be created, or all of them are locked by other processes.
    pub fn enter(folder: &Path) -> Result<ProcessPresence, ProcessPresenceError> {
        let mut files: Vec<File> = (0..MAX_PROCESSES)
            .map(|number| create_lock_file(folder, number))
            .collect::<Result<_, ProcessPresenceError>>()?;
        let own = files.remove(lock_free_file(&files)?);
        Ok(ProcessPresence { _own: own, others: files })
    }

    /// How many other processes of this balancer are running.
    pub fn others(&self) -> usize {
        self.others.iter().filter(|file| is_locked(file)).count()
    }
}

/// Locks a free file and returns its index. A free file seems locked while another process counts the others: the next
/// one will do then, or the same a moment later.
fn lock_free_file(files: &[File]) -> Result<usize, ProcessPresenceError> {
    for _ in 0..LOCK_TRIES {
        if let Some(free) = files.iter().position(|file| file.try_lock().is_ok()) {
            return Ok(free);
        }
        sleep(LOCK_RETRY_PAUSE);
    }
    Err(ProcessPresenceError::TooManyProcesses)
}

fn create_lock_file(folder: &Path, number: usize) -> Result<File, ProcessPresenceError> {
    let path = folder.join(format!("sloeline-process-{number}.lock"));
    File::create(&path).map_err(|source| ProcessPresenceError::LockFile { path, source })
}

/// Whether another process holds the lock on `file`. One that cannot be tested counts as free.
fn is_locked(file: &File) -> bool {
    match file.try_lock_shared() {
        Ok(()) => file.unlock().is_err(),
        Err(TryLockError::WouldBlock) => true,
        Err(TryLockError::Error(_)) => false,
    }
}
