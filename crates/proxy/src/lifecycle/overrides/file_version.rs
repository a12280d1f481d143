//! Tells one content of a file that is only ever replaced from the next.

use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;

/// The identity of a file's content. Each replacement is a file of its own, so the inode or the time differs.
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
