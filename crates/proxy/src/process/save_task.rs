//! The task that saves the learned state for the successor of this process.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::lifecycle::Lifecycle;
use crate::log::log_line;
use crate::process::core::Core;

/// Time between two saves. A process may be killed without notice, and its successor restores only state that is at most
/// a few seconds old, so the saved state must always be much newer than that.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// Saves the learned state at regular intervals.
pub struct SaveTask {
    /// The folder of the saved state.
    pub folder: PathBuf,
    /// The core, whose dispatcher owns the learned state.
    pub core: Rc<Core>,
    /// The lifecycle of the process. The task ends once shutdown is requested.
    pub lifecycle: Rc<Lifecycle>,
}

impl SaveTask {
    /// Spawns the task.
    pub fn spawn(self) {
        spawn_local(self.run());
    }

    /// Saves until shutdown is requested. From then on the successor saves its newer state to the same file, and this
    /// process must not overwrite it.
    async fn run(self) {
        while !self.lifecycle.is_shutting_down() {
            if let Err(error) = self.core.dispatcher.saved_state().save(&self.folder) {
                log_line!("hot restart: learned state not saved: {error}");
            }
            sleep(SAVE_INTERVAL).await;
        }
    }
}
