//! The state that a process saves for the one that replaces it.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use zincstand_policy::{LearnedState, ServerId};

use crate::lifecycle::atomic_file;
use crate::log::log_line;

/// The file of the saved state. It keeps its old name for processes of older versions.
pub(super) const SAVED_STATE_FILE: &str = "sloeline-learned.json";

/// What the policy has learned, and the names that its ids stand for: another process gives out other ids.
#[derive(Serialize, Deserialize)]
pub struct SavedState {
    pub(crate) learned: LearnedState,
    pub(crate) zones: HashMap<u32, String>,
    pub(crate) servers: HashMap<ServerId, String>,
}

impl SavedState {
    /// Replaces the saved state in `folder`.
    ///
    /// # Errors
    /// The file cannot be written; the state saved before is kept then.
    pub fn save(&self, folder: &Path) -> io::Result<()> {
        let content = serde_json::to_vec(self)?;
        atomic_file::replace(folder, SAVED_STATE_FILE, &content)?;
        Ok(())
    }

    /// The state that another process saved in `folder`; `None` if there is none or it cannot be read, which is
    /// logged.
    pub fn load(folder: &Path) -> Option<SavedState> {
        let path = folder.join(SAVED_STATE_FILE);
        let content = fs::read(&path).ok()?;
        match serde_json::from_slice(&content) {
            Ok(saved) => Some(saved),
            Err(error) => {
                log_line!("hot restart: saved state {} ignored: {error}", path.display());
                None
            }
        }
    }
}
