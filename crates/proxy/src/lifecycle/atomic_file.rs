//! Files that are replaced as a whole.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Replaces the file `name` in `folder`. A reader meets either the old content or the new, never a part: the content
/// is written to a second file, which is then renamed.
///
/// # Errors
/// The file cannot be created, written or renamed; the old content holds then.
pub(super) fn replace(folder: &Path, name: &str, content: &[u8]) -> io::Result<File> {
    let temporary = folder.join(format!("{name}.new"));
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    fs::rename(&temporary, folder.join(name))?;
    Ok(file)
}
