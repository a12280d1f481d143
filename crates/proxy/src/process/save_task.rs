//! The task that saves what the policy has learned for the process that replaces this one.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::dispatch::Dispatcher;
use crate::lifecycle::Lifecycle;
use crate::log::log_line;
use crate::process::transport::SocketTransport;

/// Time between two saves. A process may be killed without notice, and its successor restores only state that is a
/// few seconds old at the most.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// What is saved, and where.
pub struct SaveTask {
    /// The balancer's name, for the log.
    pub name: Rc<str>,
    /// The folder of the saved state.
    pub folder: PathBuf,
    /// Owns the learned state.
    pub dispatcher: Rc<Dispatcher<SocketTransport>>,
    /// Ends the task when it begins to stop.
    pub lifecycle: Rc<Lifecycle>,
}

impl SaveTask {
    /// Spawns the task.
    pub fn spawn(self) {
        spawn_local(self.run());
    }

    /// Saves until the process begins to stop; from then on its successor has the newer state.
    async fn run(self) {
        while self.lifecycle.accepts_connections() {
            if let Err(error) = self.dispatcher.saved_state().save(&self.folder) {
                let name = &self.name;
                log_line!("zincstand-proxy {name}: hot restart: the learned state cannot be saved: {error}");
            }
            sleep(SAVE_INTERVAL).await;
        }
    }
}
