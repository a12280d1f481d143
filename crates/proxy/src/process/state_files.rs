//! The files through which the processes of a balancer share state.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use crate::config::Config;
use crate::error_chain::ErrorChain;
use crate::lifecycle::hot_restart::{ProcessRegistration, ProcessRegistrationError};
use crate::lifecycle::overrides::OverrideStore;
use crate::lifecycle::state_folder;
use crate::log::log_line;
use crate::process::environment_variable;
use crate::process::error::StartError;

/// The folder for state that outlives this process, and the operator overrides in it.
pub struct StateFiles {
    /// The folder, or `None` if no state outlives the process.
    folder: Option<PathBuf>,
    /// The operator overrides.
    overrides: Rc<OverrideStore>,
    /// Whether other processes may accept from the same listener, so that a successor can start while this process
    /// is running.
    shares_listener: bool,
}

impl StateFiles {
    /// Opens the folder that `TMPDIR` names. If the listener is not shared and there is no admin API, there is no state to
    /// share, so the folder is not opened.
    ///
    /// # Errors
    /// `TMPDIR` does not name a usable folder.
    pub fn open(config: &Config, shares_listener: bool) -> Result<StateFiles, StartError> {
        let needs_folder = shares_listener || config.admin_address.is_some();
        let folder = if needs_folder { state_folder::from_environment(environment_variable)? } else { None };
        let overrides = Rc::new(OverrideStore::open(folder.as_deref()));
        Ok(StateFiles { folder, overrides, shares_listener })
    }

    /// Returns the operator overrides.
    pub fn overrides(&self) -> &Rc<OverrideStore> {
        &self.overrides
    }

    /// Returns whether there is a folder in which other processes may change shared state.
    pub fn is_shared(&self) -> bool {
        self.folder.is_some()
    }

    /// Returns whether other processes may accept from the same listener.
    pub fn shares_listener(&self) -> bool {
        self.shares_listener
    }

    /// Returns the folder through which this process and its successor exchange state, or `None` if a hot restart is not
    /// possible.
    pub fn hot_restart_folder(&self) -> Option<&Path> {
        self.folder.as_deref().filter(|_| self.shares_listener)
    }

    /// Registers this process with the other processes that share its listener. Returns `None` if it shares no listener, or
    /// if a lock file cannot be created, for instance on a full disk. The process then serves without counting others.
    ///
    /// # Errors
    /// Too many processes of this balancer are running.
    pub fn register_process(&self) -> Result<Option<ProcessRegistration>, StartError> {
        match self.hot_restart_folder().map(ProcessRegistration::register).transpose() {
            Err(error @ ProcessRegistrationError::LockFile { .. }) => {
                let error = ErrorChain(&error);
                log_line!("hot restart: other processes of this balancer are not seen: {error}");
                Ok(None)
            }
            registration => Ok(registration?),
        }
    }
}
