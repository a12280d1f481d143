//! Closes a connection whose client may still be sending.

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::timeout;

use crate::downstream::connection_permits::ConnectionPermit;
use crate::sockets::Socket;

/// Time limit for sending the error response and discarding the client's further input.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes of input that are discarded by one read.
const READ_CHUNK_BYTES: usize = 4096;
/// Maximum number of bytes of input that are discarded in total.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Sends an error response unless `error` is `None`, discards the client's input until it ends or a limit is reached, and
/// closes the connection. The kernel resets a connection that is closed with unread input, and the client might then lose
/// its response. The permit is released after the socket is closed.
pub async fn close_lingering(socket: Socket, error: Option<StatusCode>, permit: ConnectionPermit) {
    // Errors and the time limit are ignored: the client has disconnected or does not read the response.
    let _ = timeout(LINGER_TIMEOUT, respond_and_discard_input(socket, error)).await;
    drop(permit);
}

async fn respond_and_discard_input(socket: Socket, error: Option<StatusCode>) -> io::Result<()> {
    if let Some(status) = error {
        socket.write_all(error_response(status).as_bytes()).await?;
    }
    socket.shut_down()?;
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_LINGER_BYTES {
        match poll_fn(|cx| poll_discard(&socket, cx)).await? {
            0 => break,
            discarded => discarded_bytes += discarded,
        }
    }
    Ok(())
}

/// Reads some input and drops it. The buffer lives during the call only, so that a waiting connection takes no memory for it.
fn poll_discard(socket: &Socket, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
    socket.poll_read(cx, &mut [0; READ_CHUNK_BYTES])
}

/// Returns the complete response to a request that was not passed on to hyper. A status that refuses the request has a body that
/// says why.
pub fn error_response(status: StatusCode) -> String {
    let body = if status == StatusCode::SERVICE_UNAVAILABLE { "no room" } else { "" };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
}

#[cfg(test)]
mod tests;
