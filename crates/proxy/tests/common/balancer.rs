//! A running balancer process.

use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use super::process::lock_process_start;
use super::{EVENT_TIMEOUT, Message, Peer, RequestInFlight, exchange, peer_closed, request};

/// Time after the start of a graceful shutdown by which the listener is due to close. The balancer closes it after 0.37
/// of the 3.5 s that a shutdown may take.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(1400);

/// A running balancer process; killed when dropped.
pub struct Balancer {
    /// The process.
    pub process: Child,
    /// Address on which it accepts clients.
    pub address: SocketAddr,
    /// Address of the admin API; `None` if it is not enabled.
    pub admin_address: Option<SocketAddr>,
    /// Log lines that the test has not read yet. There are none if the log was redirected.
    pub log: Receiver<String>,
    /// The configuration file that it reads at its start and after SIGHUP.
    pub config_path: PathBuf,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

impl Balancer {
    /// Connects as a client.
    pub fn connect(&self) -> TcpStream {
        connect_to(self.address)
    }

    /// Connects to the admin API.
    ///
    /// # Panics
    /// The admin API is not enabled.
    pub fn connect_admin(&self) -> TcpStream {
        connect_to(self.admin_address.expect("the admin API is enabled"))
    }

    /// Sends one request on a new connection and returns the response.
    pub fn send(&self, request: &str) -> Message {
        exchange(&mut self.connect(), request)
    }

    /// Sends a request for each number, one after the other and each on a new connection. Asserts that each succeeds.
    #[track_caller]
    pub fn serve_requests(&self, numbers: Range<u32>) {
        for number in numbers {
            let response = self.send(&request("pay", &format!("r-{number}"), ""));
            let body = String::from_utf8_lossy(&response.body);
            assert_eq!(response.status(), 200, "r-{number}: {body}");
        }
    }

    /// Sends `count` requests, each on a new connection, and waits until the upstream has received each. The upstream
    /// has not responded to any of them.
    pub fn start_requests(&self, upstream: &Peer, count: usize) -> Vec<RequestInFlight> {
        let start = |number| {
            let text = request("pay", &format!("r-{number}"), "");
            RequestInFlight::start(self.connect(), upstream, &text)
        };
        (0..count).map(start).collect()
    }

    /// Sends an admin request on a new connection and returns the status of the response.
    pub fn admin_status(&self, method: &str, path: &str) -> u16 {
        let mut stream = self.connect_admin();
        let response = exchange(&mut stream, &format!("{method} {path} HTTP/1.1\r\nHost: b\r\n\r\n"));
        assert!(peer_closed(&mut stream), "the admin API takes one request per connection");
        response.status()
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Starts a graceful shutdown, waits until the process has noticed it, and returns the time.
    pub fn start_shutdown(&self) -> Instant {
        self.terminate();
        self.wait_for_log("shutdown requested");
        Instant::now()
    }

    /// Runs `action` while the process is suspended, and resumes the process when its listener is due to close.
    pub fn while_suspended_until_listener_closes(&self, shutdown: Instant, action: impl FnOnce()) {
        self.while_suspended(|| {
            action();
            std::thread::sleep(LISTENER_CLOSE_DELAY.saturating_sub(shutdown.elapsed()));
        });
    }

    /// Waits until the listener is closed.
    pub fn wait_for_closed_listener(&self) {
        while TcpStream::connect(self.address).is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Asserts that the process exits with success, and waits for it.
    #[track_caller]
    pub fn assert_exits_cleanly(&mut self) {
        assert!(self.process.wait().expect("the exit status is read").success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("the configuration is written");
        self.signal("-HUP");
    }

    /// Runs `action` while the process is suspended. Until it resumes, only the kernel handles its connections.
    pub fn while_suspended(&self, action: impl FnOnce()) {
        self.signal("-STOP");
        action();
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let mut kill = {
            let _lock = lock_process_start();
            Command::new("kill").args([name, &id]).spawn().expect("kill starts")
        };
        assert!(kill.wait().expect("the exit status of kill is read").success());
    }

    /// Waits for a log line that contains `text`. Other lines do not extend the time limit.
    pub fn wait_for_log(&self, text: &str) {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(time_left);
            if line.unwrap_or_else(|_| panic!("no log line contains \"{text}\"")).contains(text) {
                return;
            }
        }
    }

    /// Returns the number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).map_or(0, Iterator::count)
    }

    /// Returns the resident memory of the process in kB.
    pub fn resident_memory_kb(&self) -> usize {
        self.memory_kb("VmRSS:")
    }

    /// Returns the peak of the resident memory of the process in kB.
    pub fn peak_memory_kb(&self) -> usize {
        self.memory_kb("VmHWM:")
    }

    fn memory_kb(&self, field: &str) -> usize {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).expect("the status of the process is read");
        let value =
            status.lines().find_map(|line| line.strip_prefix(field)).expect("the status has the field");
        value.trim().trim_end_matches(" kB").parse().expect("the value is a number of kB")
    }
}

fn connect_to(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the balancer listens");
    let _ = stream.set_read_timeout(Some(EVENT_TIMEOUT));
    let _ = stream.set_nodelay(true);
    stream
}
