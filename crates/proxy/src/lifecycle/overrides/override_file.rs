//! The file of the operators' overrides, which all processes of a balancer share, and a second copy of it. All calls here
//! may wait for the disk; they belong on a thread of their own.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::lifecycle::atomic_file;
use crate::lifecycle::overrides::OperatorOverrides;

/// The file of the overrides. It keeps its old name for processes of older versions.
pub(super) const OVERRIDES_FILE: &str = "sloeline-orders.json";
/// The second copy, with a checksum, in place of a file that cannot be read. Older versions do not know it.
pub(super) const COPY_FILE: &str = "sloeline-orders.copy.json";
/// Locked by a process while it changes the overrides.
const LOCK_FILE: &str = "sloeline-orders.lock";
/// How long a change waits for the lock: an operator's call is due within 1 s.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two tries of the lock.
const LOCK_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Why the overrides cannot be changed.
#[derive(Debug, thiserror::Error)]
pub enum OverrideError {
    /// Another process holds the lock.
    #[error("another process of this balancer holds {}; call again", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A file cannot be written.
    #[error(transparent)]
    Unwritable(#[from] io::Error),
}

/// The second copy as it is stored.
#[derive(Serialize, Deserialize)]
struct StoredCopy {
    crc32: u32,
    /// The text of the file.
    content: String,
}

/// Reads the file.
///
/// # Errors
/// It cannot be read, or is not whole.
pub(super) fn read(folder: &Path) -> io::Result<OperatorOverrides> {
    let content = fs::read(folder.join(OVERRIDES_FILE))?;
    Ok(serde_json::from_slice(&content)?)
}

/// Reads the second copy; `None` unless it is whole.
pub(super) fn read_copy(folder: &Path) -> Option<OperatorOverrides> {
    let stored: StoredCopy = serde_json::from_slice(&fs::read(folder.join(COPY_FILE)).ok()?).ok()?;
    let is_whole = crc32fast::hash(stored.content.as_bytes()) == stored.crc32;
    is_whole.then(|| serde_json::from_str(&stored.content).ok()).flatten()
}

/// Changes the overrides in the files and returns them; `known` stands in for files that cannot be read. Once this
/// returns they outlive any failure.
///
/// # Errors
/// The lock is held for too long, or a file cannot be written: the overrides have not changed then.
pub(super) fn change(
    folder: &Path,
    known: OperatorOverrides,
    change: impl FnOnce(&mut OperatorOverrides),
) -> Result<OperatorOverrides, OverrideError> {
    // The lock ends with this scope.
    let _lock = acquire_lock(folder)?;
    let before = match read(folder) {
        Ok(overrides) => overrides,
        Err(_) => read_copy(folder).unwrap_or(known),
    };
    let mut overrides = before.clone();
    change(&mut overrides);
    let written = write_copy(folder, &overrides).and_then(|()| write(folder, &overrides));
    if let Err(source) = written {
        // What was not confirmed must not come into force by the copy either.
        let _ = write_copy(folder, &before);
        return Err(source.into());
    }
    Ok(overrides)
}

fn write(folder: &Path, overrides: &OperatorOverrides) -> io::Result<()> {
    atomic_file::replace_durably(folder, OVERRIDES_FILE, &serde_json::to_vec(overrides)?)
}

fn write_copy(folder: &Path, overrides: &OperatorOverrides) -> io::Result<()> {
    let content = serde_json::to_string(overrides)?;
    let copy = StoredCopy { crc32: crc32fast::hash(content.as_bytes()), content };
    atomic_file::replace_durably(folder, COPY_FILE, &serde_json::to_vec(&copy)?)
}

fn acquire_lock(folder: &Path) -> Result<File, OverrideError> {
    let path = folder.join(LOCK_FILE);
    let lock = File::create(&path)?;
    let deadline = Instant::now() + LOCK_TIMEOUT;
    loop {
        match lock.try_lock() {
            Ok(()) => return Ok(lock),
            Err(TryLockError::Error(error)) if error.kind() != io::ErrorKind::Interrupted => {
                return Err(error.into());
            }
            Err(_) if Instant::now() >= deadline => return Err(OverrideError::Locked { path }),
            Err(_) => sleep(LOCK_RETRY_PAUSE),
        }
    }
}
