//! The registration of the running processes of a balancer, by which they count each other.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

/// Maximum number of processes of one balancer that run at the same time: one that shuts down, its successor and two
/// spare ones.
pub const MAX_PROCESSES: u8 = 4;
/// Maximum number of attempts to lock a free file at the start. Together with their pauses they take half a second, which
/// is far less than the start of a process may take.
const MAX_LOCK_ATTEMPTS: u32 = 25;
/// Pause between two attempts to lock a free file.
const LOCK_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// This process cannot register itself with the other processes of the balancer.
#[derive(Debug, thiserror::Error)]
pub enum ProcessRegistrationError {
    /// A lock file cannot be created.
    #[error("TMPDIR: lock file {} cannot be created", path.display())]
    LockFile {
        /// The lock file.
        path: PathBuf,
        /// Why it cannot be created.
        source: io::Error,
    },
    /// No lock file is free.
    #[error(
        "TMPDIR: too many processes of this balancer are running: at most {MAX_PROCESSES} may run; end one of them"
    )]
    TooManyProcesses,
}

/// The lock files of this process and of the other processes. Each running process holds the lock on one file; the operating
/// system releases the lock when the process ends for whatever reason.
pub struct ProcessRegistration {
    /// The number of this process's lock file.
    slot: u8,
    _own_lock: File,
    other_locks: Vec<File>,
}

impl ProcessRegistration {
    /// Registers this process: locks one of the lock files in `folder`.
    ///
    /// # Errors
    /// A lock file cannot be created, or all of them are locked by other processes.
    pub fn register(folder: &Path) -> Result<ProcessRegistration, ProcessRegistrationError> {
        let mut files: Vec<File> = (0..MAX_PROCESSES)
            .map(|number| create_lock_file(folder, number))
            .collect::<Result<_, ProcessRegistrationError>>()?;
        let slot = lock_free_file(&files)?;
        let own_lock = files.remove(usize::from(slot));
        Ok(ProcessRegistration { slot, _own_lock: own_lock, other_locks: files })
    }

    /// Returns the number of this process, which no other running process of this balancer has, less than
    /// [`MAX_PROCESSES`].
    pub fn slot(&self) -> u8 {
        self.slot
    }

    /// Returns how many other processes of this balancer are running.
    pub fn count_others(&self) -> usize {
        self.other_locks.iter().filter(|file| is_locked(file)).count()
    }
}

/// Locks a free file and returns its index. While another process counts the running processes, it briefly locks each free
/// file, so an attempt that finds no free file is repeated.
///
/// # Errors
/// All files are locked by running processes.
fn lock_free_file(files: &[File]) -> Result<u8, ProcessRegistrationError> {
    for _ in 0..MAX_LOCK_ATTEMPTS {
        let mut numbered = (0..MAX_PROCESSES).zip(files);
        if let Some((free, _)) = numbered.find(|(_, file)| file.try_lock().is_ok()) {
            return Ok(free);
        }
        sleep(LOCK_RETRY_PAUSE);
    }
    Err(ProcessRegistrationError::TooManyProcesses)
}

fn create_lock_file(folder: &Path, number: u8) -> Result<File, ProcessRegistrationError> {
    let path = folder.join(format!("sloeline-process-{number}.lock"));
    File::create(&path).map_err(|source| ProcessRegistrationError::LockFile { path, source })
}

/// Returns whether another process holds the lock on `file`. The check briefly takes a shared lock, so that processes
/// that check the same file at the same time do not count each other. A file that cannot be checked counts as free.
fn is_locked(file: &File) -> bool {
    match file.try_lock_shared() {
        Ok(()) => file.unlock().is_err(),
        Err(TryLockError::WouldBlock) => true,
        Err(TryLockError::Error(_)) => false,
    }
}
