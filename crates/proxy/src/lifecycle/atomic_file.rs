//! Files that are replaced as a whole.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Replaces the file `name` in `folder`. A reader meets either the old content or the new, never a part: the content
/// is written to a second file, which is then renamed.
///
/// # Errors
/// The file cannot be created, written or renamed; the old content holds then.
pub(super) fn replace(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let temporary = temporary_path(folder, name);
    File::create(&temporary)?.write_all(content)?;
    fs::rename(&temporary, folder.join(name))
}

/// As [`replace`]; once this returns, the new content also outlives a failure of the machine. It may wait for the disk.
///
/// # Errors
/// As [`replace`], or the content cannot be synced.
pub(super) fn replace_durably(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let temporary = temporary_path(folder, name);
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    File::open(folder)?.sync_all()
}

/// The file that is renamed. Each process has its own: two may write at the same moment.
fn temporary_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.{}.new", std::process::id()))
}
