//! Errors that end the adapter. Each of them is one line on standard error.

use std::io;

use thiserror::Error;
use zincstand_policy as policy;
use zincstand_settings::SettingsError;

/// An error with the number of its input line, from 1.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("line {line}: cannot read standard input: {source}")]
    Read {
        /// Number of the line that was to be read.
        line: u64,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The line is not a message of the wire protocol.
    #[error("line {line}: invalid message: {source}")]
    Parse {
        /// Number of the line.
        line: u64,
        /// Error of the parser, with the key or the column.
        source: serde_json::Error,
    },
    /// The message cannot be processed.
    #[error("line {line}: {source}")]
    Message {
        /// Number of the line of the message.
        line: u64,
        /// Error of the message.
        source: MessageError,
    },
    /// The input ends before the `Commit` of a batch.
    #[error("line {line}: the input ends inside a batch, before its Commit")]
    IncompleteBatch {
        /// Number of the line after the last.
        line: u64,
    },
    /// Standard output cannot be written.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
}

/// An error in a well-formed message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// A batch begins before the last one has ended.
    #[error("BeginBatch inside a batch: the open batch must end with a Commit first")]
    NestedBatch,
    /// A message arrives between two batches.
    #[error("message outside a batch: a BeginBatch must come first")]
    OutsideBatch,
    /// The class of a request is not in the settings.
    #[error("JobIn.Lane: unknown class {0:?}: no entry of Setup.Categories has this name")]
    UnknownClass(String),
    /// The tenant of a request is not in the settings.
    #[error("JobIn.Owner: unknown tenant {0:?}: no entry of Setup.Realms has this name")]
    UnknownTenant(String),
    /// An endpoint list refers to an unknown table.
    #[error("Fleet.SetId: unknown table {0}: a Table with this SetId must come first")]
    UnknownTable(u64),
    /// The settings of a balancer are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy rejects the settings.
    #[error(transparent)]
    Policy(#[from] policy::SettingsError),
    /// An action cannot be encoded.
    #[error("cannot encode an action: {0}")]
    Encode(#[from] serde_json::Error),
}
