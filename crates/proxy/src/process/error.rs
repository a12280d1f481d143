//! Errors at the start of a process.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use zincstand_policy as policy;
use zincstand_settings::SettingsError;

use crate::config::ConfigError;
use crate::lifecycle::hot_restart::{InheritedListenerError, ProcessRegistrationError};
use crate::lifecycle::state_folder::StateFolderError;

/// The process cannot start. The text of an error does not include its sources; [`ErrorChain`](crate::ErrorChain) displays
/// both.
#[derive(Debug, Error)]
pub enum StartError {
    /// `EDGE_FD` does not name a listening socket.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The asynchronous runtime cannot be created.
    #[error("the asynchronous runtime cannot be created")]
    Runtime(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("the handler of {signal} cannot be installed")]
    Signal {
        /// The name of the signal.
        signal: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The configuration is rejected.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings in the configuration are rejected.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy rejects the settings.
    #[error(transparent)]
    Policy(#[from] policy::SettingsError),
    /// `TMPDIR` does not name a usable folder.
    #[error(transparent)]
    StateFolder(#[from] StateFolderError),
    /// The process cannot register itself with the other processes of this balancer.
    #[error(transparent)]
    ProcessRegistration(#[from] ProcessRegistrationError),
    /// The inherited listener cannot be used by the asynchronous runtime.
    #[error("EDGE_FD: the asynchronous runtime cannot use the inherited listening socket")]
    UnusableListener(#[source] io::Error),
    /// An address cannot be listened on.
    #[error(
        "{variable} {address}: cannot listen on this address; set an address of this machine with a free port"
    )]
    Listen {
        /// The environment variable of the address.
        variable: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system does not return the address of a listener.
    #[error("the address of the listening socket cannot be read")]
    LocalAddress(#[source] io::Error),
}
