//! The signals that the process handles.

use std::rc::Rc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

use crate::lifecycle::Lifecycle;
use crate::process::error::StartError;
use crate::process::reload::Reload;

/// The handlers of all signals that the process handles.
pub struct Signals {
    /// SIGHUP: read the configuration again.
    pub reload: ReloadSignal,
    /// SIGTERM and SIGINT: stop.
    pub stop: StopSignals,
}

/// The handler of SIGHUP.
pub struct ReloadSignal(Signal);

/// The handlers of SIGTERM and SIGINT.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The operating system refuses a handler.
    pub fn install() -> Result<Signals, StartError> {
        let hangup = install_handler("SIGHUP", SignalKind::hangup())?;
        let terminate = install_handler("SIGTERM", SignalKind::terminate())?;
        let interrupt = install_handler("SIGINT", SignalKind::interrupt())?;
        Ok(Signals { reload: ReloadSignal(hangup), stop: StopSignals { terminate, interrupt } })
    }
}

fn install_handler(name: &'static str, kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(|source| StartError::Signal { signal: name, source })
}

impl ReloadSignal {
    /// Spawns the task that reads the configuration again at each SIGHUP.
    pub fn spawn_task(mut self, reload: Reload) {
        spawn_local(async move {
            let mut signal = self.0.recv().await;
            while signal.is_some() {
                // A later signal starts over: the file may have been replaced once more.
                signal = tokio::select! {
                    signal = self.0.recv() => signal,
                    () = reload.run() => self.0.recv().await,
                };
            }
        });
    }
}

impl StopSignals {
    /// Spawns the task that begins the graceful shutdown at the first SIGTERM or SIGINT.
    pub fn spawn_task(mut self, lifecycle: Rc<Lifecycle>) {
        spawn_local(async move {
            tokio::select! {
                _ = self.terminate.recv() => {}
                _ = self.interrupt.recv() => {}
            }
            lifecycle.request_shutdown();
        });
    }
}
