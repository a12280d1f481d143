//! The signals that the process handles.
//!
//! A handler only sets a flag, which a task looks at. The runtime's own handlers write to a socket whose reader panics
//! where its call is interrupted, which would end the process at the very signal.

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

/// Time between two looks for a signal; far below all times that follow one.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The handlers of all signals that the process handles.
pub struct Signals {
    /// SIGHUP: read the configuration again.
    pub reload: ReloadSignal,
    /// SIGTERM and SIGINT: stop.
    pub stop: StopSignals,
}

/// A signal that sets a flag when it is delivered.
struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    /// Waits until the signal was delivered since this last returned.
    async fn raised(&self) {
        while !self.0.swap(false, Ordering::Relaxed) {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// The handler of SIGHUP.
pub struct ReloadSignal(SignalFlag);

/// The handlers of SIGTERM and SIGINT, which set one flag.
pub struct StopSignals(SignalFlag);

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The operating system refuses a handler.
    pub fn install() -> Result<Signals, StartError> {
        let reload = install_handlers(&[("SIGHUP", SIGHUP)])?;
        let stop = install_handlers(&[("SIGTERM", SIGTERM), ("SIGINT", SIGINT)])?;
        Ok(Signals { reload: ReloadSignal(reload), stop: StopSignals(stop) })
    }
}

fn install_handlers(signals: &[(&'static str, i32)]) -> Result<SignalFlag, StartError> {
    let flag = Arc::new(AtomicBool::new(false));
    for &(name, number) in signals {
        signal_hook::flag::register(number, flag.clone())
            .map_err(|source| StartError::Signal { signal: name, source })?;
    }
    Ok(SignalFlag(flag))
}

impl ReloadSignal {
    /// Spawns the task that reads the configuration again at each SIGHUP.
    pub fn spawn_task(self, reload: Reload) {
        spawn_local(async move {
            self.0.raised().await;
            loop {
                // A later signal starts over: the file may have been replaced once more.
                tokio::select! {
                    () = self.0.raised() => {}
                    () = reload.run() => self.0.raised().await,
                }
            }
        });
    }
}

impl StopSignals {
    /// Spawns the task that begins the graceful shutdown at the first SIGTERM or SIGINT.
    pub fn spawn_task(self, lifecycle: Rc<Lifecycle>) {
        spawn_local(async move {
            self.0.raised().await;
            lifecycle.request_shutdown();
        });
    }
}
