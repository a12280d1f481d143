//! Accepts connections, and continues after errors.

use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::sockets::is_out_of_resources;

/// Pause after the first failure caused by a lack of file descriptors or memory. The connection stays in the accept
/// queue.
const INITIAL_BACKOFF: Duration = Duration::from_millis(1);
/// Maximum pause. Each consecutive failure caused by a lack of resources doubles the pause, up to this value.
const MAX_BACKOFF: Duration = Duration::from_millis(20);
/// Number of consecutive transient failures after which accepting pauses, so that failing calls do not keep the thread
/// busy.
const TRANSIENT_FAILURES_PER_PAUSE: u32 = 16;

/// The kind of an error of `accept`, which decides how long to wait before the next call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AcceptFailure {
    /// The process or machine is out of file descriptors or memory, which usually lasts for a while.
    OutOfResources,
    /// A connection was reset in the accept queue, a signal interrupted the call, or the kernel reported a pending
    /// network error. The next call may succeed.
    Transient,
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> AcceptFailure {
        if is_out_of_resources(error) { AcceptFailure::OutOfResources } else { AcceptFailure::Transient }
    }
}

/// The backoff between calls of `accept` after consecutive failures, counted by kind.
#[derive(Default)]
struct AcceptBackoff {
    out_of_resources_failures: u32,
    transient_failures: u32,
}

impl AcceptBackoff {
    /// Waits after a failure. After a transient failure it only yields to other tasks, except that it pauses for
    /// [`MAX_BACKOFF`] after every [`TRANSIENT_FAILURES_PER_PAUSE`] consecutive ones.
    async fn wait(&mut self, failure: AcceptFailure) {
        match failure {
            AcceptFailure::OutOfResources => {
                let pause = INITIAL_BACKOFF * 2_u32.saturating_pow(self.out_of_resources_failures);
                self.out_of_resources_failures += 1;
                sleep(pause.min(MAX_BACKOFF)).await;
            }
            AcceptFailure::Transient => {
                self.transient_failures += 1;
                if self.transient_failures.is_multiple_of(TRANSIENT_FAILURES_PER_PAUSE) {
                    sleep(MAX_BACKOFF).await;
                } else {
                    yield_now().await;
                }
            }
        }
    }
}

/// Waits for the next connection. Errors of the listener are retried with backoff.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    let mut backoff = AcceptBackoff::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => backoff.wait(AcceptFailure::from(&error)).await,
        }
    }
}

/// Returns the next connection in the queue of a nonblocking listener that is about to be closed; `None` once the queue
/// is empty. Errors are retried with backoff any number of times, so the caller must set a time limit.
pub async fn accept_queued(listener: &std::net::TcpListener) -> Option<std::net::TcpStream> {
    let mut backoff = AcceptBackoff::default();
    loop {
        match listener.accept() {
            Ok((stream, _)) => return Some(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) => backoff.wait(AcceptFailure::from(&error)).await,
        }
    }
}
