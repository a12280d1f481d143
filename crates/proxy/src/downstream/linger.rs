//! The end of a connection whose client may still be sending.

use std::io;
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::timeout;

use crate::sockets::Socket;

/// How long what a client still sends after its last answer is read and dropped.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Most of it that is read, in bytes.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Closes a connection, after an error answer where there is one. Reads on for a while: a socket that is closed with
/// something unread in it is reset, and the client may lose its answer.
pub async fn close_lingering(socket: Socket, error: Option<StatusCode>) {
    // A client that is gone needs no answer.
    let _ = timeout(LINGER_TIME, answer_and_drain(socket, error)).await;
}

async fn answer_and_drain(socket: Socket, error: Option<StatusCode>) -> io::Result<()> {
    if let Some(status) = error {
        socket.write_all(error_response(status).as_bytes()).await?;
    }
    socket.shut_down()?;
    let mut chunk = [0; 4096];
    let mut drained = 0;
    while drained < MAX_LINGER_BYTES {
        match socket.read(&mut chunk).await? {
            0 => break,
            read => drained += read,
        }
    }
    Ok(())
}

/// The whole answer to a request that hyper has not seen.
fn error_response(status: StatusCode) -> String {
    format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

#[cfg(test)]
mod tests;
