//! What operators have set by hand. It holds for every process of this balancer and over its replacement, so it
//! is kept in one file that all of them look at.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use zincstand_policy::Micros;

const FILE: &str = "sloeline-orders.json";
const LOCK: &str = "sloeline-orders.lock";
/// A return is forgotten after this: whatever came back is warm by then.
const RETURNS_KEPT: Micros = 3_600_000_000;

/// The orders in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorOverrides {
    /// Upstreams that are out, by the names that discovery gives them.
    #[serde(rename = "out")]
    pub excluded: BTreeSet<String>,
    /// When those that were out came back, in Unix time.
    #[serde(rename = "back")]
    pub included_at: BTreeMap<String, Micros>,
    /// Clients are sent away.
    pub evacuated: bool,
}

impl OperatorOverrides {
    /// Takes an upstream out; nothing new if it is.
    pub fn exclude(&mut self, name: &str) {
        self.excluded.insert(name.to_owned());
    }

    /// Ends that; it counts as started now, since operators restart it meanwhile. Nothing new if it was not out.
    pub fn include(&mut self, name: &str, now: Micros) {
        if self.excluded.remove(name) {
            self.included_at.retain(|_, at| now.saturating_sub(*at) < RETURNS_KEPT);
            self.included_at.insert(name.to_owned(), now);
        }
    }
}

/// Tells one version of the file from the next: each is a file of its own.
type Stamp = (u64, i64, i64, u64);

/// The orders and the file that they are kept in, if there is a folder for it.
#[derive(Default)]
pub struct OverrideStore {
    folder: Option<PathBuf>,
    orders: RefCell<OperatorOverrides>,
    stamp: Cell<Option<Stamp>>,
    version: Cell<u64>,
}

impl OverrideStore {
    /// The orders that the folder holds. One that cannot be read holds none: serving goes first.
    pub fn open(folder: Option<&Path>) -> OverrideStore {
        let store = OverrideStore { folder: folder.map(Path::to_owned), ..OverrideStore::default() };
        store.refresh();
        store
    }

    /// Another number each time the orders have changed.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    fn take(&self, orders: OperatorOverrides) {
        if self.orders.replace(orders.clone()) != orders {
            self.version.set(self.version.get() + 1);
        }
    }

    /// The orders as last looked at.
    pub fn current(&self) -> Ref<'_, OperatorOverrides> {
        self.orders.borrow()
    }

    /// Looks at the file, which another process may have replaced. Costs one call to the system while it has not.
    /// What cannot be read is logged once and passed over.
    pub fn refresh(&self) {
        let Some(folder) = &self.folder else { return };
        let path = folder.join(FILE);
        let stamp = fs::metadata(&path).ok().map(|found| stamp(&found));
        if stamp.is_none() || stamp == self.stamp.get() {
            return;
        }
        self.stamp.set(stamp);
        match fs::read(&path).and_then(|text| Ok(serde_json::from_slice(&text)?)) {
            Ok(orders) => self.take(orders),
            Err(e) => eprintln!("orders: {} is passed over: {e}", path.display()),
        }
    }

    /// Changes the orders, for all processes once this returns.
    pub fn change(&self, change: impl FnOnce(&mut OperatorOverrides)) -> io::Result<()> {
        let Some(folder) = &self.folder else {
            let mut orders = self.current().clone();
            change(&mut orders);
            self.take(orders);
            return Ok(());
        };
        // Guards against another process that changes them at the same moment.
        let lock = File::create(folder.join(LOCK))?;
        lock.lock()?;
        self.refresh();
        let mut orders = self.current().clone();
        change(&mut orders);
        let file = replace(folder, FILE, &serde_json::to_vec(&orders)?)?;
        self.stamp.set(Some(stamp(&file.metadata()?)));
        self.take(orders);
        Ok(())
    }
}

/// Writes a file whole or not at all: a reader never meets a part of it.
pub fn replace(folder: &Path, name: &str, text: &[u8]) -> io::Result<File> {
    let written = folder.join(format!("{name}.new"));
    let mut file = File::create(&written)?;
    file.write_all(text)?;
    fs::rename(&written, folder.join(name))?;
    Ok(file)
}

fn stamp(found: &fs::Metadata) -> Stamp {
    (found.ino(), found.mtime(), found.mtime_nsec(), found.size())
}

/// The folder for what outlives a process, if there is one.
pub fn folder(variable: impl Fn(&str) -> Option<String>) -> Result<Option<PathBuf>, String> {
    let Some(path) = variable("TMPDIR").filter(|path| !path.is_empty()).map(PathBuf::from) else {
        return Ok(None);
    };
    match fs::metadata(&path) {
        Ok(found) if found.is_dir() => Ok(Some(path)),
        Ok(_) => Err(format!("TMPDIR {}: {}", path.display(), io::Error::from(ErrorKind::NotADirectory))),
        Err(e) => Err(format!("TMPDIR {}: {e}", path.display())),
    }
}

#[cfg(test)]
mod tests;
