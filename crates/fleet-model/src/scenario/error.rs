//! Why a scenario cannot be read, written or run.

use std::fmt;

use zincstand_policy::SettingsError;

/// Why a scenario cannot be read, written or run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioError {
    /// The file is not TOML, or a key is unknown, missing or of the wrong type.
    #[error("{location}{message}")]
    Syntax {
        /// Line of the error.
        location: Location,
        /// The parser's message: the text that it found and the text that it expected.
        message: String,
    },
    /// A value is out of range or contradicts another one.
    #[error("{location}`{key}`: {problem}")]
    InvalidValue {
        /// Line of the value, if the scenario was read from a file.
        location: Location,
        /// The path of the key, such as `load.rate` or `tier[0].cores`.
        key: String,
        /// The reason why the value is invalid, or the valid values.
        problem: &'static str,
    },
    /// A kind contains a part that is not in the catalog.
    #[error("unknown part {part:?} in a kind of scenario; join some of these parts with `+`: {known}")]
    UnknownPart {
        /// The unknown part, as the caller wrote it.
        part: String,
        /// Names of all parts, joined by commas.
        known: String,
    },
    /// The scenario cannot be written as TOML.
    #[error(transparent)]
    Unwritable(#[from] toml::ser::Error),
    /// The policy rejects the settings that are derived from the scenario.
    #[error(transparent)]
    RejectedByPolicy(#[from] SettingsError),
}

/// A line of a scenario file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Number of the line, from 1. `None` if the scenario was not read from a file.
    pub line: Option<usize>,
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(formatter, "line {line}: "),
            None => Ok(()),
        }
    }
}

impl Location {
    /// Returns the line that contains the byte at `offset` of `text`.
    pub(super) fn of_offset(text: &str, offset: usize) -> Location {
        let line_breaks = text.as_bytes().iter().take(offset).filter(|byte| **byte == b'\n').count();
        Location { line: Some(line_breaks + 1) }
    }
}

impl ScenarioError {
    /// Converts an error of the TOML parser, with its line in `text`.
    pub(super) fn from_syntax(text: &str, error: &toml::de::Error) -> ScenarioError {
        let location = error.span().map(|span| Location::of_offset(text, span.start)).unwrap_or_default();
        ScenarioError::Syntax { location, message: error.message().to_owned() }
    }
}
