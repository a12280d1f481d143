//! Shows that this process is running and counts the other running processes of the same balancer.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// How many processes of one balancer may run at once: the one that shuts down, its successor and two spares.
const MAX_PROCESSES: usize = 4;

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
        // A free file seems locked while another process counts the others. The next one will do then.
        let free = files
            .iter()
            .position(|file| file.try_lock().is_ok())
            .ok_or(ProcessPresenceError::TooManyProcesses)?;
        let own = files.remove(free);
        Ok(ProcessPresence { _own: own, others: files })
    }

    /// How many other processes of this balancer are running.
    pub fn others(&self) -> usize {
        self.others.iter().filter(|file| is_locked(file)).count()
    }
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
