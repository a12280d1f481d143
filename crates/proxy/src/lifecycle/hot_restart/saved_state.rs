//! The learned state that a process saves for its successor.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};
use zincstand_policy::{LearnedState, ServerId};

use crate::lifecycle::atomic_file;
use crate::log::log_line;

/// File name of the saved state. Processes of older versions use the same name.
pub(super) const SAVED_STATE_FILE: &str = "sloeline-learned.json";

/// The state that the policy has learned, with the names of its zones and servers. Ids differ between processes, so the
/// successor translates them by name.
#[derive(Serialize, Deserialize)]
pub struct SavedState {
    /// The learned state, with the ids of the process that saved it.
    pub(crate) learned: LearnedState,
    /// The names of the zones by id.
    pub(crate) zones: HashMap<u32, String>,
    /// The names of the servers by id.
    pub(crate) servers: HashMap<ServerId, String>,
}

impl SavedState {
    /// Replaces the saved state in `folder`.
    ///
    /// # Errors
    /// The file cannot be written. The state saved before stays in place.
    pub fn save(&self, folder: &Path) -> io::Result<()> {
        let content = serde_json::to_vec(self)?;
        atomic_file::replace(folder, SAVED_STATE_FILE, &content)?;
        Ok(())
    }

    /// Returns the state that another process saved in `folder`, or `None` if there is none. State that cannot be parsed is
    /// logged and ignored.
    pub fn load(folder: &Path) -> Option<SavedState> {
        let path = folder.join(SAVED_STATE_FILE);
        let content = fs::read(&path).ok()?;
        match serde_json::from_slice(&content) {
            Ok(saved) => Some(saved),
            Err(error) => {
                let path = path.display();
                log_line!("hot restart: saved state {path} ignored: {error}");
                None
            }
        }
    }
}
