//! Accepts the connections of the stand-in servers.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Delay before accepting is retried after a failure, which usually is a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Waits for the next connection and sets `TCP_NODELAY` on it. A failure is retried after [`ACCEPT_RETRY_DELAY`].
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // The error is ignored: without the option the connection works, but small writes are sent later.
        let _ = stream.set_nodelay(true);
        return stream;
    }
}
