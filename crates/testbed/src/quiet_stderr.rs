//! Temporarily discards what the process writes to standard error.

use std::fs::File;
use std::io;
use std::os::fd::OwnedFd;

/// Discards writes to standard error until it is dropped. Used while discovery is unavailable, when thousands of hollow
/// balancers in this process would all log this.
pub struct QuietStderr {
    /// A duplicate of the original standard error, which is restored when this is dropped.
    saved: OwnedFd,
}

impl QuietStderr {
    /// Starts to discard writes to standard error.
    ///
    /// # Errors
    ///
    /// The error of the operating system if no descriptor is left or `/dev/null` cannot be opened.
    pub fn begin() -> io::Result<QuietStderr> {
        let saved = rustix::io::dup(io::stderr())?;
        rustix::stdio::dup2_stderr(File::options().write(true).open("/dev/null")?)?;
        Ok(QuietStderr { saved })
    }
}

impl Drop for QuietStderr {
    fn drop(&mut self) {
        let _ = rustix::stdio::dup2_stderr(&self.saved);
    }
}
