//! The ways in which a client disconnects.

use std::net::TcpStream;
use std::time::Duration;

use super::process::lock_process_start;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
pub enum Leaving {
    /// It closes its connection.
    Close,
    /// It closes the direction in which it sends.
    HalfClose,
    /// It resets its connection.
    Reset,
}

pub const LEAVINGS: [Leaving; 3] = [Leaving::Close, Leaving::HalfClose, Leaving::Reset];

/// Disconnects. What is returned for a half-close keeps the other direction open.
pub fn leave(client: TcpStream, how: Leaving) -> Option<TcpStream> {
    let _lock = lock_process_start();
    match how {
        Leaving::Close => {
            drop(client);
            None
        }
        Leaving::HalfClose => {
            client.shutdown(std::net::Shutdown::Write).expect("it is connected");
            Some(client)
        }
        Leaving::Reset => {
            socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("an option");
            drop(client);
            None
        }
    }
}
