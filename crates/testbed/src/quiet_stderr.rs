//! Discards standard error for a time.

use std::fs::File;
use std::io;
use std::os::fd::OwnedFd;

/// While this lives, what the process writes to standard error is discarded: thousands of balancers that lose their
/// discovery would all say the same at once. Dropped, it restores standard error.
pub struct QuietStderr {
    saved: OwnedFd,
}

impl QuietStderr {
    /// Discards standard error from now on.
    ///
    /// # Errors
    /// No descriptor is left.
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
