//! The composition root. It reads the configuration, opens the listeners, installs the signal handlers and starts the
//! tasks.

mod core;
mod error;
mod listeners;
mod memory_task;
mod reload;
mod resource_limits;
mod save_task;
mod shared_state_task;
mod signals;
mod startup;
mod state_files;
mod transport;

use tokio::task::LocalSet;

use crate::lifecycle::hot_restart::inherit_listener;
use crate::log;

pub use error::StartError;

/// Reads the environment, starts the balancer and serves until shutdown is complete.
///
/// # Errors
/// The configuration is rejected, or the process cannot open what it needs to serve.
pub fn start() -> Result<(), StartError> {
    // `inherit_listener` takes ownership of a descriptor by its number, so it has to be called before any file or socket is
    // opened.
    let inherited = environment_variable("EDGE_FD")
        .filter(|text| !text.is_empty())
        .map(|text| inherit_listener(&text))
        .transpose()?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    let result = LocalSet::new().block_on(&runtime, startup::run(inherited));
    log::flush();
    result
}

/// Returns the value of an environment variable, or `None` if it is not set or not valid UTF-8.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
