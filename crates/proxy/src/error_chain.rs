//! The text of an error and its sources on one line.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// Displays an error and each of its sources on one line, separated by colons. Used for errors whose own text does not
/// include their sources, such as [`StartError`](crate::StartError) and [`ConfigError`](crate::ConfigError).
pub struct ErrorChain<'a>(pub &'a dyn Error);

impl Display for ErrorChain<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(formatter, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}
