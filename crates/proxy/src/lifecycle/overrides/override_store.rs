//! The operator overrides in memory, and the file that all processes of a balancer share them in.

use std::cell::{Cell, Ref, RefCell};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use crate::lifecycle::atomic_file;
use crate::lifecycle::overrides::OperatorOverrides;
use crate::lifecycle::overrides::file_version::FileVersion;
use crate::log::log_line;

/// The file of the overrides. It keeps its old name for processes of older versions.
pub(super) const OVERRIDES_FILE: &str = "sloeline-orders.json";
/// Locked by a process while it changes the overrides.
const LOCK_FILE: &str = "sloeline-orders.lock";

/// The overrides and, if there is a folder for it, the file that they are kept in.
#[derive(Default)]
pub struct OverrideStore {
    folder: Option<PathBuf>,
    overrides: RefCell<OperatorOverrides>,
    /// The content of the file that was read or written last.
    file_version: Cell<Option<FileVersion>>,
    version: Cell<u64>,
}

impl OverrideStore {
    /// Reads the overrides that `folder` holds. A file that cannot be read counts as one without overrides, since
    /// serving is more important. Without a folder the overrides are kept in memory only.
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

    /// Reads the file again if another process has replaced it; otherwise this costs one system call. A file that
    /// cannot be read is logged once and ignored.
    pub fn refresh(&self) {
        let Some(folder) = &self.folder else { return };
        let path = folder.join(OVERRIDES_FILE);
        let Ok(metadata) = fs::metadata(&path) else { return };
        let file_version = Some(FileVersion::from(&metadata));
        if file_version == self.file_version.get() {
            return;
        }
        self.file_version.set(file_version);
        match read(&path) {
            Ok(overrides) => self.set(overrides),
            Err(error) => log_line!("overrides: file {} ignored: {error}", path.display()),
        }
    }

    /// Changes the overrides. They hold for all processes of this balancer once this returns.
    ///
    /// # Errors
    /// The file or its lock cannot be opened or written. The overrides in memory have not changed then.
    pub fn change(&self, change: impl FnOnce(&mut OperatorOverrides)) -> io::Result<()> {
        let Some(folder) = &self.folder else {
            self.set(self.changed(change));
            return Ok(());
        };
        // Another process may change them at the same moment. The lock ends with this scope.
        let lock = File::create(folder.join(LOCK_FILE))?;
        lock.lock()?;
        self.refresh();
        let overrides = self.changed(change);
        let content = serde_json::to_vec(&overrides)?;
        let file = atomic_file::replace(folder, OVERRIDES_FILE, &content)?;
        let metadata = file.metadata()?;
        self.file_version.set(Some(FileVersion::from(&metadata)));
        self.set(overrides);
        Ok(())
    }

    /// The present overrides after `change`, which are not in force yet.
    fn changed(&self, change: impl FnOnce(&mut OperatorOverrides)) -> OperatorOverrides {
        let mut overrides = self.current().clone();
        change(&mut overrides);
        overrides
    }

    fn set(&self, overrides: OperatorOverrides) {
        if *self.current() == overrides {
            return;
        }
        self.overrides.replace(overrides);
        self.version.set(self.version.get() + 1);
    }
}

fn read(path: &Path) -> io::Result<OperatorOverrides> {
    let content = fs::read(path)?;
    Ok(serde_json::from_slice(&content)?)
}
