//! HTTP/1.1 messages for the stand-ins: just enough of the protocol page.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;

/// Reads messages from a connection and keeps what follows them.
pub struct Reader {
    stream: TcpStream,
    buffered: VecDeque<u8>,
}

/// A message head: its first line, and its headers with names in lower case.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffered: VecDeque::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 65536];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(read) => {
                    self.buffered.extend(&chunk[..read]);
                    return Ok(());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        loop {
            match self.buffered.pop_front() {
                Some(b'\n') => break,
                Some(byte) => line.push(byte),
                None => self.fill()?,
            }
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        String::from_utf8(line).map_err(|_| ErrorKind::InvalidData.into())
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let first_line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Head { first_line, headers });
            }
            let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    fn bytes(&mut self, mut count: usize, body: &mut Vec<u8>) -> io::Result<()> {
        while count > 0 {
            if self.buffered.is_empty() {
                self.fill()?;
            }
            let taken = count.min(self.buffered.len());
            body.extend(self.buffered.drain(..taken));
            count -= taken;
        }
        Ok(())
    }

    /// Reads the body that the head announces. A head without length or chunks has no body.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.is_chunked() {
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
                self.bytes(size, &mut body)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                self.line()?;
            }
        }
        let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.bytes(length, &mut body)?;
        Ok(body)
    }
}
