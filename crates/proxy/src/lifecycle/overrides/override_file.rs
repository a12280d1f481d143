//! The file of the operator overrides, which all processes of a balancer share, and its backup copy. Writing may wait for
//! the disk, so [`change`] has to run on a blocking thread.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::lifecycle::atomic_file;
use crate::lifecycle::overrides::OperatorOverrides;

/// File name of the overrides. Processes of older versions, which may run at the same time as this one, use the same name.
pub(super) const OVERRIDES_FILE: &str = "sloeline-orders.json";
/// File name of the backup copy, which has a checksum and is used if the overrides file cannot be read. Older versions do
/// not write it.
pub(super) const BACKUP_FILE: &str = "sloeline-orders.copy.json";
/// File that a process locks while it changes the overrides.
const LOCK_FILE: &str = "sloeline-orders.lock";
/// How long a change waits for the lock. An admin request has to be answered within 1 s.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two attempts to lock the file.
const LOCK_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// The overrides cannot be changed. The text is part of the admin API's response.
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

/// The backup copy in the form in which it is stored.
#[derive(Serialize, Deserialize)]
struct StoredBackup {
    /// Checksum of `content`.
    crc32: u32,
    /// The text of the overrides file.
    content: String,
}

/// Reads the overrides file.
///
/// # Errors
/// The file cannot be read or parsed.
pub(super) fn read(folder: &Path) -> io::Result<OperatorOverrides> {
    let content = fs::read(folder.join(OVERRIDES_FILE))?;
    Ok(serde_json::from_slice(&content)?)
}

/// Reads the backup copy. Returns `None` if it cannot be read or its checksum is wrong.
pub(super) fn read_backup(folder: &Path) -> Option<OperatorOverrides> {
    let stored: StoredBackup = serde_json::from_slice(&fs::read(folder.join(BACKUP_FILE)).ok()?).ok()?;
    let is_intact = crc32fast::hash(stored.content.as_bytes()) == stored.crc32;
    is_intact.then(|| serde_json::from_str(&stored.content).ok()).flatten()
}

/// Changes the overrides in both files and returns them. `fallback` is used if neither file can be read. Once this returns,
/// the change survives a crash of the process or the machine.
///
/// # Errors
/// Another process holds the lock for too long, or a file cannot be written. The overrides are then unchanged.
pub(super) fn change(
    folder: &Path,
    fallback: OperatorOverrides,
    change: impl FnOnce(&mut OperatorOverrides),
) -> Result<OperatorOverrides, OverrideError> {
    // Dropping the file at the end of this scope releases the lock.
    let _lock = acquire_lock(folder)?;
    let before = match read(folder) {
        Ok(overrides) => overrides,
        Err(_) => read_backup(folder).unwrap_or(fallback),
    };
    let mut overrides = before.clone();
    change(&mut overrides);
    // Other processes apply the change as soon as the overrides file is replaced, so the backup copy is written first.
    let written = write_backup(folder, &overrides).and_then(|()| write(folder, &overrides));
    if let Err(source) = written {
        // The operator gets an error, so a process that reads the backup copy later must not apply the change.
        let _ = write_backup(folder, &before);
        return Err(source.into());
    }
    Ok(overrides)
}

fn write(folder: &Path, overrides: &OperatorOverrides) -> io::Result<()> {
    atomic_file::replace_durably(folder, OVERRIDES_FILE, &serde_json::to_vec(overrides)?)
}

fn write_backup(folder: &Path, overrides: &OperatorOverrides) -> io::Result<()> {
    let content = serde_json::to_string(overrides)?;
    let backup = StoredBackup { crc32: crc32fast::hash(content.as_bytes()), content };
    atomic_file::replace_durably(folder, BACKUP_FILE, &serde_json::to_vec(&backup)?)
}

/// Locks the lock file. The lock is released when the returned file is closed.
///
/// # Errors
/// Another process holds the lock for [`LOCK_TIMEOUT`], or the file cannot be created or locked.
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
