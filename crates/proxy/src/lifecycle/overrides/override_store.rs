//! The operator overrides in memory, and the file that all processes of a balancer share them in.

use std::cell::{Cell, Ref, RefCell};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use tokio::task::spawn_blocking;

use crate::lifecycle::overrides::OperatorOverrides;
use crate::lifecycle::overrides::file_version::FileVersion;
use crate::lifecycle::overrides::override_file::{self, OVERRIDES_FILE, OverrideError};
use crate::log::log_line;

/// The overrides and, if there is a folder for it, the file that they are kept in.
#[derive(Default)]
pub struct OverrideStore {
    folder: Option<PathBuf>,
    overrides: RefCell<OperatorOverrides>,
    /// The content of the file that was read or written last.
    file_version: Cell<Option<FileVersion>>,
    /// The content that could not be read and was logged.
    unreadable_version: Cell<Option<FileVersion>>,
    version: Cell<u64>,
}

impl OverrideStore {
    /// Reads the overrides that `folder` holds, or where the file is not whole those last confirmed, from the second
    /// copy. Without a folder the overrides are kept in memory only.
    pub fn open(folder: Option<&Path>) -> OverrideStore {
        let store = OverrideStore { folder: folder.map(Path::to_owned), ..OverrideStore::default() };
        store.refresh();
        store
    }

    /// A number that grows each time the overrides change.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// The overrides as last read or changed.
    pub fn current(&self) -> Ref<'_, OperatorOverrides> {
        self.overrides.borrow()
    }

    /// Reads the file again if another process has replaced it; otherwise this costs one system call. One that cannot be
    /// read is logged once, and read again at each call until it can be: its order may have been confirmed.
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
                log_line!("overrides: file {} ignored: {error}", path.display());
                if let Some(overrides) = override_file::read_copy(folder) {
                    log_line!("overrides: those last confirmed hold, from the second copy");
                    self.set(overrides);
                }
            }
            Err(_) => {}
        }
    }

    /// Changes the overrides. They hold for all processes of this balancer once this returns, and are stored.
    ///
    /// # Errors
    /// See [`OverrideError`]. The overrides have not changed then.
    pub async fn change(
        &self,
        change: impl FnOnce(&mut OperatorOverrides) + Send + 'static,
    ) -> Result<(), OverrideError> {
        let mut known = self.current().clone();
        let Some(folder) = self.folder.clone() else {
            change(&mut known);
            self.set(known);
            return Ok(());
        };
        // The files may be slow and the lock held: clients are served meanwhile.
        let written = spawn_blocking(move || override_file::change(&folder, known, change)).await;
        let overrides = written.map_err(io::Error::from)??;
        self.set(overrides);
        // Another process may have changed them since.
        self.refresh();
        Ok(())
    }

    fn set(&self, overrides: OperatorOverrides) {
        if *self.current() == overrides {
            return;
        }
        self.overrides.replace(overrides);
        self.version.set(self.version.get() + 1);
    }
}
