//! Why the adapter stops; each error becomes one line on standard error.

use std::io;

use thiserror::Error;
use zincstand_policy as policy;
use zincstand_settings::SettingsError;

/// An error with the input line that it is about, counted from 1.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("line {line}: cannot be read: {source}")]
    Read {
        /// The line that was to be read.
        line: u64,
        /// The operating system's error.
        source: io::Error,
    },
    /// The line is no message of the wire.
    #[error("line {line}: {source}")]
    Parse {
        /// The line.
        line: u64,
        /// What is wrong, with the key or the column.
        source: serde_json::Error,
    },
    /// The message cannot be processed.
    #[error("line {line}: {source}")]
    Message {
        /// The line of the message.
        line: u64,
        /// What is wrong with it.
        source: MessageError,
    },
    /// The input ends before the `Commit` of a batch.
    #[error("line {line}: input ends inside a batch")]
    IncompleteBatch {
        /// The line after the last.
        line: u64,
    },
    /// Standard output cannot be written to.
    #[error("writing the reply: {0}")]
    Write(#[source] io::Error),
}

/// Why a well-formed message cannot be processed.
#[derive(Debug, Error)]
pub enum MessageError {
    /// `BeginBatch` without a `Commit` before it.
    #[error("a batch begins inside a batch")]
    NestedBatch,
    /// A message before the first `BeginBatch` or after a `Commit`.
    #[error("a message outside a batch")]
    OutsideBatch,
    /// The class of a request is not among the settings' classes.
    #[error("JobIn.Lane: unknown class {0:?}: no entry of Setup.Categories has this name")]
    UnknownClass(String),
    /// The tenant of a request is not among the settings' tenants.
    #[error("JobIn.Owner: unknown tenant {0:?}: no entry of Setup.Realms has this name")]
    UnknownTenant(String),
    /// An endpoint list refers to a table that was not received.
    #[error("Fleet.SetId: no table {0}: a Table with this SetId must come before")]
    UnknownTable(u64),
    /// The settings of a balancer are faulty.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy does not accept the settings.
    #[error(transparent)]
    Policy(#[from] policy::SettingsError),
    /// An action cannot be encoded.
    #[error("encoding an action: {0}")]
    Encode(#[from] serde_json::Error),
}
