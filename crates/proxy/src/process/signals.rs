//! The signals that the process handles.
//!
//! A handler only sets a flag, and a task checks the flags at regular intervals. The runtime's own signal handling is not
//! used: it reads from a socket and panics if a signal interrupts the read, which would end the process.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::lifecycle::Lifecycle;
use crate::process::error::StartError;
use crate::process::reload::Reload;

/// Time between two checks of a flag. It is far shorter than the times within which a signal has to take effect.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The handlers of all signals that the process handles.
pub struct Signals {
    /// SIGHUP, which reloads the configuration.
    pub reload: ReloadSignal,
    /// SIGTERM and SIGINT, which request shutdown.
    pub shutdown: ShutdownSignals,
}

/// A signal that sets a flag when it is delivered.
struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    /// Waits until the signal is delivered, or returns at once if it was delivered since the last call returned.
    async fn raised(&self) {
        while !self.0.swap(false, Ordering::Relaxed) {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// The handler of SIGHUP.
pub struct ReloadSignal(SignalFlag);

/// The handlers of SIGTERM and SIGINT, which both set the same flag.
pub struct ShutdownSignals(SignalFlag);

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The operating system rejects a handler.
    pub fn install() -> Result<Signals, StartError> {
        let reload = install_handlers(&[("SIGHUP", SIGHUP)])?;
        let shutdown = install_handlers(&[("SIGTERM", SIGTERM), ("SIGINT", SIGINT)])?;
        Ok(Signals { reload: ReloadSignal(reload), shutdown: ShutdownSignals(shutdown) })
    }
}

/// Installs handlers that all set the same flag, and returns the flag.
fn install_handlers(signals: &[(&'static str, i32)]) -> Result<SignalFlag, StartError> {
    let flag = Arc::new(AtomicBool::new(false));
    for &(name, number) in signals {
        signal_hook::flag::register(number, flag.clone())
            .map_err(|source| StartError::Signal { signal: name, source })?;
    }
    Ok(SignalFlag(flag))
}

impl ReloadSignal {
    /// Spawns the task that reloads the configuration at each SIGHUP.
    pub fn spawn_task(self, reload: Reload) {
        spawn_local(async move {
            self.0.raised().await;
            loop {
                // A signal during a reload restarts it, because the file may have been replaced once more.
                tokio::select! {
                    () = self.0.raised() => {}
                    () = reload.run() => self.0.raised().await,
                }
            }
        });
    }
}

impl ShutdownSignals {
    /// Spawns the task that requests graceful shutdown at the first SIGTERM or SIGINT.
    pub fn spawn_task(self, lifecycle: Rc<Lifecycle>) {
        spawn_local(async move {
            self.0.raised().await;
            lifecycle.request_shutdown();
        });
    }
}
