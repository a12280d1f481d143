//! Accepting connections, whatever errors come in between.

use std::io;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::sockets::is_out_of_resources;

/// The first pause after a connection could not be accepted for want of descriptors or memory; it stays in the queue.
const FIRST_PAUSE: Duration = Duration::from_millis(1);
/// The longest pause: each failure in a row doubles it.
const MAX_PAUSE: Duration = Duration::from_millis(20);
/// Passing failures in a row after which accepting pauses too: it must not keep the thread to itself.
const MAX_PASSING_FAILURES: u32 = 16;

/// What a failed accept means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AcceptFailure {
    /// Descriptors or memory are short, which lasts.
    OutOfResources,
    /// A connection that was reset in the queue, a signal, or an error of the network that the kernel passes on here:
    /// the next connection may be accepted at once.
    Passing,
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> AcceptFailure {
        if is_out_of_resources(error) { AcceptFailure::OutOfResources } else { AcceptFailure::Passing }
    }
}

/// What accepting waits for after each of several failures in a row.
#[derive(Default)]
struct AcceptBackoff {
    out_of_resources: u32,
    passing: u32,
}

impl AcceptBackoff {
    /// Waits after a failure, which for one that passes is no longer than other tasks need.
    async fn wait(&mut self, failure: AcceptFailure) {
        match failure {
            AcceptFailure::OutOfResources => {
                let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.out_of_resources);
                self.out_of_resources += 1;
                sleep(pause.min(MAX_PAUSE)).await;
            }
            AcceptFailure::Passing => {
                self.passing += 1;
                if self.passing.is_multiple_of(MAX_PASSING_FAILURES) {
                    sleep(MAX_PAUSE).await;
                } else {
                    yield_now().await;
                }
            }
        }
    }
}

/// The next connection.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    let mut backoff = AcceptBackoff::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => backoff.wait(AcceptFailure::from(&error)).await,
        }
    }
}

/// The next connection in the queue of a listener that is about to be closed; `None` once the queue is empty. The
/// caller has the limit of time: a failure ends nothing.
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
