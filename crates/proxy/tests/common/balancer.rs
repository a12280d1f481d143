//! A running balancer.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::mpsc::Receiver;

use super::process::lock_process_start;
use super::{LONG, Message, Peer, closed, exchange, read, request};

/// A running balancer; killed when dropped.
pub struct Balancer {
    pub child: Child,
    pub address: SocketAddr,
    pub management: Option<SocketAddr>,
    pub log: Receiver<String>,
    pub file: PathBuf,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Balancer {
    /// Connects as a client.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("it listens");
        let _ = stream.set_read_timeout(Some(LONG));
        let _ = stream.set_nodelay(true);
        stream
    }

    /// Sends one request on a connection of its own and reads the response.
    pub fn ask(&self, request: &str) -> Message {
        exchange(&mut self.connect(), request)
    }

    /// Makes a call to the operators' address; returns its status.
    pub fn call(&self, method: &str, path: &str) -> u16 {
        let mut stream = self.connect_operator();
        let call = format!("{method} {path} HTTP/1.1\r\nHost: b\r\n\r\n");
        let said = exchange(&mut stream, &call);
        assert!(closed(&mut stream), "one call to a connection");
        said.status()
    }

    /// Connects to the operators' address.
    pub fn connect_operator(&self) -> TcpStream {
        let stream = TcpStream::connect(self.management.expect("an address")).expect("it listens");
        let _ = stream.set_read_timeout(Some(LONG));
        stream
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("a file");
        self.signal("-HUP");
    }

    /// Suspends the program while `meanwhile` runs: only the kernel handles what arrives in that time.
    pub fn frozen(&self, meanwhile: impl FnOnce()) {
        self.signal("-STOP");
        meanwhile();
        self.signal("-CONT");
    }

    /// Sends requests that the upstream leaves without a response; the connections of client and upstream for each.
    pub fn held(&self, upstream: &Peer, requests: usize) -> Vec<(TcpStream, TcpStream)> {
        let hold = |id| {
            let mut client = self.connect();
            client.write_all(request("pay", &format!("r-{id}"), "").as_bytes()).expect("it reads");
            let mut stream = upstream.accept();
            read(&mut stream).expect("an attempt");
            (client, stream)
        };
        (0..requests).map(hold).collect()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let mut kill = {
            let _lock = lock_process_start();
            Command::new("kill").args([name, &id]).spawn().expect("kill runs")
        };
        assert!(kill.wait().expect("it ends").success());
    }

    /// Waits for a line of the log that contains a text.
    pub fn logged(&self, text: &str) {
        while !self.log.recv_timeout(LONG).expect("a line").contains(text) {}
    }
}
