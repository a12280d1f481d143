//! Atomic replacement of files.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Replaces the file `name` in `folder`. The content is written to a temporary file, which is then renamed, so that a
/// reader finds either the old or the new content, complete. The new content is not synced: a crash of the machine may lose
/// it.
///
/// # Errors
/// The file cannot be created, written or renamed. The old content stays in place.
pub(super) fn replace(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let temporary = temporary_path(folder, name);
    File::create(&temporary)?.write_all(content)?;
    fs::rename(&temporary, folder.join(name))
}

/// Replaces a file as [`replace`] does, and syncs it. Once this returns, the new content survives a crash of the machine.
/// The call may wait for the disk.
///
/// # Errors
/// The file cannot be created, written, synced or renamed.
pub(super) fn replace_durably(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let temporary = temporary_path(folder, name);
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    File::open(folder)?.sync_all()
}

/// Returns the path of the temporary file. It contains the process id, because two processes may write at the same time.
fn temporary_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.{}.new", std::process::id()))
}
