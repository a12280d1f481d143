//! Closes a connection whose client may still be sending.

use std::io;
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::timeout;

use crate::sockets::Socket;

/// Time limit for sending the error response and discarding the client's further input.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes of input that are discarded by one read.
const READ_CHUNK_BYTES: usize = 4096;
/// Maximum number of bytes of input that are discarded in total.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Sends an error response unless `error` is `None`, discards the client's input until it ends or a limit is reached, and
/// closes the connection. The kernel resets a connection that is closed with unread input, and the client might then lose
/// its response.
pub async fn close_lingering(socket: Socket, error: Option<StatusCode>) {
    // Errors and the time limit are ignored: the client has disconnected or does not read the response.
    let _ = timeout(LINGER_TIMEOUT, respond_and_discard_input(socket, error)).await;
}

async fn respond_and_discard_input(socket: Socket, error: Option<StatusCode>) -> io::Result<()> {
    if let Some(status) = error {
        socket.write_all(error_response(status).as_bytes()).await?;
    }
    socket.shut_down()?;
    let mut chunk = [0; READ_CHUNK_BYTES];
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_LINGER_BYTES {
        match socket.read(&mut chunk).await? {
            0 => break,
            read => discarded_bytes += read,
        }
    }
    Ok(())
}

/// Returns the complete response to a request that was not passed on to hyper.
fn error_response(status: StatusCode) -> String {
    format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

#[cfg(test)]
mod tests;
