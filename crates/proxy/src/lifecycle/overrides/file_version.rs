//! Detects that a file was replaced.

use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;

/// Identifies one version of a file that is replaced but never changed in place. Each replacement is a new file, so its
/// inode or its modification time differs from those of the version before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FileVersion {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    size: u64,
}

impl From<&Metadata> for FileVersion {
    fn from(metadata: &Metadata) -> FileVersion {
        FileVersion {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            size: metadata.size(),
        }
    }
}
