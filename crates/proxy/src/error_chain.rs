//! The text of an error together with its sources, on one line.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// Displays an error and each of its sources, separated by colons: the form in which operators read it.
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
