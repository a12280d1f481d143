//! The folder for state that outlives a process: `TMPDIR`.

use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// `TMPDIR` does not name a folder that this process can use.
#[derive(Debug, thiserror::Error)]
#[error("TMPDIR {}: not a usable folder; name a writable folder, or unset TMPDIR", path.display())]
pub struct StateFolderError {
    path: PathBuf,
    source: io::Error,
}

/// Returns the folder that `TMPDIR` names, or `None` if the variable is empty or not set. `variable` returns the value of an
/// environment variable.
///
/// # Errors
/// The path does not exist, cannot be read or is not a folder.
pub fn from_environment(
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Option<PathBuf>, StateFolderError> {
    let Some(path) = variable("TMPDIR").filter(|path| !path.is_empty()) else {
        return Ok(None);
    };
    let path = PathBuf::from(path);
    match check_is_folder(&path) {
        Ok(()) => Ok(Some(path)),
        Err(source) => Err(StateFolderError { path, source }),
    }
}

fn check_is_folder(path: &Path) -> io::Result<()> {
    if fs::metadata(path)?.is_dir() { Ok(()) } else { Err(io::Error::from(ErrorKind::NotADirectory)) }
}
