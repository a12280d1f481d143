//! The operator overrides in memory, synchronised with the file that all processes of a balancer share.

use std::cell::{Cell, Ref, RefCell};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use tokio::task::spawn_blocking;

use crate::lifecycle::overrides::OperatorOverrides;
use crate::lifecycle::overrides::file_version::FileVersion;
use crate::lifecycle::overrides::override_file::{self, OVERRIDES_FILE, OverrideError};
use crate::log::log_line;

/// The operator overrides of this process and, if there is a folder for them, the files in which they are stored.
#[derive(Default)]
pub struct OverrideStore {
    /// The folder of the files, or `None` if the overrides are not stored in files.
    folder: Option<PathBuf>,
    /// Replaced only in `set`, so readers must end their borrow before they call a method that changes the overrides.
    overrides: RefCell<OperatorOverrides>,
    /// The version of the file that was read last, or `None` if no file was read.
    file_version: Cell<Option<FileVersion>>,
    /// The version of the file that was last logged as unreadable, or `None` if there was none.
    unreadable_version: Cell<Option<FileVersion>>,
    /// Number of changes of the overrides in memory.
    version: Cell<u64>,
}

impl OverrideStore {
    /// Reads the overrides in `folder`. If the file cannot be read, the last confirmed overrides are read from the backup
    /// copy. If `folder` is `None`, the overrides are not stored in files.
    pub fn open(folder: Option<&Path>) -> OverrideStore {
        let store = OverrideStore { folder: folder.map(Path::to_owned), ..OverrideStore::default() };
        store.refresh();
        store
    }

    /// Returns a number that grows each time the overrides change.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Returns the overrides as last read or changed.
    pub fn current(&self) -> Ref<'_, OperatorOverrides> {
        self.overrides.borrow()
    }

    /// Reads the file again if another process has replaced it; otherwise the call costs one system call. A file that
    /// cannot be read is logged once and read again at each call, because the override in it may have been confirmed to an
    /// operator.
    pub fn refresh(&self) {
        let Some(folder) = &self.folder else { return };
        let path = folder.join(OVERRIDES_FILE);
        let Ok(metadata) = fs::metadata(&path) else { return };
        let file_version = Some(FileVersion::from(&metadata));
        if file_version == self.file_version.get() {
            return;
        }
        match override_file::read(folder) {
            Ok(overrides) => {
                self.file_version.set(file_version);
                self.set(overrides);
            }
            Err(error) if self.unreadable_version.replace(file_version) != file_version => {
                let path = path.display();
                log_line!("overrides: file {path} ignored: {error}");
                if let Some(overrides) = override_file::read_backup(folder) {
                    log_line!("overrides: using the last confirmed overrides from the backup copy");
                    self.set(overrides);
                }
            }
            Err(_) => {}
        }
    }

    /// Changes the overrides. Once this returns, the change is stored and in effect in this process, and each
    /// other process of the balancer applies it when it next reads the overrides.
    ///
    /// # Errors
    /// See [`OverrideError`]. The overrides are then unchanged.
    pub async fn change(
        &self,
        change: impl FnOnce(&mut OperatorOverrides) + Send + 'static,
    ) -> Result<(), OverrideError> {
        let mut overrides = self.current().clone();
        let Some(folder) = self.folder.clone() else {
            change(&mut overrides);
            self.set(overrides);
            return Ok(());
        };
        // The disk may be slow and another process may hold the lock, so the files are written on a blocking thread while
        // this thread serves clients.
        let written = spawn_blocking(move || override_file::change(&folder, overrides, change)).await;
        let overrides = written.map_err(io::Error::from)??;
        self.set(overrides);
        // Another process may have replaced the file since the lock was released.
        self.refresh();
        Ok(())
    }

    /// Replaces the overrides in memory if they differ.
    fn set(&self, overrides: OperatorOverrides) {
        if *self.current() == overrides {
            return;
        }
        self.overrides.replace(overrides);
        self.version.set(self.version.get() + 1);
    }
}
