//! The ways in which a client disconnects.

use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use super::process::lock_process_start;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
pub enum Disconnect {
    /// The client closes its connection.
    Close,
    /// The client shuts down its sending direction.
    HalfClose,
    /// The client resets its connection.
    Reset,
}

impl Disconnect {
    /// All variants, in the order of their declaration.
    pub const ALL: [Disconnect; 3] = [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];
}

/// Disconnects a client. After a half-close, returns its connection, whose receiving direction stays open until it is
/// dropped.
pub fn disconnect(client: TcpStream, how: Disconnect) -> Option<TcpStream> {
    let _lock = lock_process_start();
    match how {
        Disconnect::Close => {
            drop(client);
            None
        }
        Disconnect::HalfClose => {
            client.shutdown(Shutdown::Write).expect("the client is connected");
            Some(client)
        }
        Disconnect::Reset => {
            let socket = socket2::SockRef::from(&client);
            socket.set_linger(Some(Duration::ZERO)).expect("the option is set");
            drop(client);
            None
        }
    }
}
