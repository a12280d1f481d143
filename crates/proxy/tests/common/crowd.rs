//! Hundreds of clients that are connected at the same time and write their requests in parts.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use super::Balancer;

/// Maximum number of bytes of a response that a client keeps, enough for the status line.
const KEPT_RESPONSE_BYTES: usize = 64;

/// The clients of a crowd.
pub struct Crowd {
    members: Vec<CrowdMember>,
}

/// How the connections of a crowd have ended so far.
#[derive(Debug, Default, PartialEq)]
pub struct CrowdEnds {
    /// Clients that received the beginning of a response with status 200.
    pub served: usize,
    /// Clients that received the beginning of a response with another status.
    pub rejected: usize,
    /// Clients whose connection ended without any byte of a response.
    pub without_answer: usize,
    /// Clients that are still connected and have received nothing.
    pub waiting: usize,
}

/// One client of a crowd.
struct CrowdMember {
    stream: TcpStream,
    unwritten: VecDeque<Vec<u8>>,
    /// The beginning of the response.
    response: Vec<u8>,
    ended: bool,
}

impl Crowd {
    /// Connects clients, of which the one with number `n` writes the parts `parts_of(n)`.
    pub fn connect(balancer: &Balancer, size: usize, parts_of: impl Fn(usize) -> Vec<Vec<u8>>) -> Crowd {
        let member = |number| {
            let stream = balancer.connect();
            stream.set_nonblocking(true).expect("the mode is set");
            CrowdMember { stream, unwritten: parts_of(number).into(), response: Vec::new(), ended: false }
        };
        Crowd { members: (0..size).map(member).collect() }
    }

    /// Lets each client write as much of its next part as its socket accepts.
    pub fn write_round(&mut self) {
        for member in &mut self.members {
            member.write_next();
        }
    }

    /// Lets each client read the beginning of its response, and returns how the connections have ended.
    pub fn read_responses(&mut self) -> CrowdEnds {
        let mut ends = CrowdEnds::default();
        for member in &mut self.members {
            member.read_response();
            match member.response.strip_prefix(b"HTTP/1.1 ") {
                Some(status) if status.starts_with(b"200") => ends.served += 1,
                Some(_) => ends.rejected += 1,
                None if member.ended => ends.without_answer += 1,
                None => ends.waiting += 1,
            }
        }
        ends
    }
}

impl CrowdMember {
    fn write_next(&mut self) {
        let Some(mut part) = self.unwritten.pop_front() else { return };
        while let Ok(written @ 1..) = self.stream.write(&part) {
            part.drain(..written);
        }
        if !part.is_empty() {
            self.unwritten.push_front(part);
        }
    }

    fn read_response(&mut self) {
        let mut buffer = [0; KEPT_RESPONSE_BYTES];
        while !self.ended && self.response.len() < KEPT_RESPONSE_BYTES {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.ended = true,
                Ok(length) => self.response.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.ended = true,
            }
        }
    }
}
