//! Real balancers that run as child processes, each with its own configuration.

mod settings;
mod usage;

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tempfile::NamedTempFile;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::{Instant, sleep, timeout, timeout_at};

pub use settings::Settings;
pub use usage::{Usage, UsageError};

/// Time limit of each step of a start: listening, becoming ready, and responding to a readiness check.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for balancers to exit after SIGTERM, after which they are killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Environment variables that a balancer must not inherit, since they would change its configuration.
const REMOVED_VARIABLES: [&str; 6] =
    ["EDGE_FD", "EDGE_MANAGEMENT", "EDGE_LISTEN", "EDGE_NAME", "EDGE_DISCOVERY", "TMPDIR"];

/// An error of starting or controlling a balancer.
#[derive(Debug, thiserror::Error)]
pub enum BalancerError {
    /// The program cannot be started.
    #[error("cannot start {}: check that the file exists and is executable", program.display())]
    Start {
        /// The path of the program.
        program: PathBuf,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The configuration file cannot be written.
    #[error("the balancer's configuration file cannot be written")]
    Config(#[source] io::Error),
    /// The log cannot be read.
    #[error("the balancer's log cannot be read")]
    Log(#[source] io::Error),
    /// The process exited before it listened.
    #[error("the balancer exited before it listened; its log: {log}")]
    Exited {
        /// The log up to the exit of the process.
        log: String,
    },
    /// The log line that reports listening contains no valid address.
    #[error("the balancer's log line that reports listening contains no valid address: {line}")]
    NoAddress {
        /// The line of the log.
        line: String,
    },
    /// The process did not listen within the time limit.
    #[error("the balancer did not listen within {START_TIMEOUT:?}: run fewer processes at once")]
    NotListening,
    /// The process did not become ready within the time limit.
    #[error("the balancer did not become ready within {START_TIMEOUT:?}: check that its discovery responds")]
    NotReady,
    /// A signal cannot be sent to the process.
    #[error("the balancer cannot be sent {signal:?}: it may have exited")]
    Signal {
        /// The signal.
        signal: Signal,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The process cannot be killed.
    #[error("the balancer cannot be killed")]
    Kill(#[source] io::Error),
}

/// A running balancer. Dropping it kills the process.
pub struct Balancer {
    /// The address that clients connect to.
    pub address: SocketAddr,
    child: Child,
    process_id: u32,
    config_file: NamedTempFile,
    /// The task that reads and discards the log, so that the process is never blocked by a full pipe.
    _log: tokio::task::JoinHandle<()>,
}

impl Balancer {
    /// Starts the program and waits until it is ready.
    ///
    /// # Errors
    ///
    /// A [`BalancerError`] if the program does not start or is not ready within the time limit.
    pub async fn start(program: &Path, settings: &Settings) -> Result<Balancer, BalancerError> {
        let config_file = write_config(settings).map_err(BalancerError::Config)?;
        let mut child = spawn(program, config_file.path())?;
        let exited = || BalancerError::Exited { log: String::new() };
        let process_id = child.id().ok_or_else(exited)?;
        let mut log = BufReader::new(child.stderr.take().ok_or_else(exited)?).lines();
        let address = timeout(START_TIMEOUT, read_address(&mut log)).await;
        let address = address.map_err(|_| BalancerError::NotListening)??;
        let log = tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        let balancer = Balancer { address, child, process_id, config_file, _log: log };
        balancer.wait_until_ready().await?;
        Ok(balancer)
    }

    async fn wait_until_ready(&self) -> Result<(), BalancerError> {
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() > deadline {
                return Err(BalancerError::NotReady);
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether the balancer reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let check = async {
            let mut stream = TcpStream::connect(self.address).await?;
            stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n").await?;
            let mut status = [0; 12];
            stream.read_exact(&mut status).await?;
            io::Result::Ok(status == *b"HTTP/1.1 200")
        };
        matches!(timeout(START_TIMEOUT, check).await, Ok(Ok(true)))
    }

    /// Returns the resources that the process has used so far.
    ///
    /// # Errors
    ///
    /// A [`UsageError`] if the process has exited.
    pub fn usage(&self) -> Result<Usage, UsageError> {
        Usage::of(self.process_id)
    }

    /// Returns the process id.
    pub fn process_id(&self) -> u32 {
        self.process_id
    }

    /// Returns the path of the configuration file.
    pub fn config_path(&self) -> PathBuf {
        self.config_file.path().to_owned()
    }

    /// Replaces the configuration and makes the balancer reload it.
    ///
    /// # Errors
    ///
    /// [`BalancerError::Config`] if the file cannot be written, [`BalancerError::Signal`] if the process has exited.
    pub fn reload(&self, settings: &Settings) -> Result<(), BalancerError> {
        std::fs::write(self.config_file.path(), settings.config().to_string())
            .map_err(BalancerError::Config)?;
        self.signal(Signal::HUP)
    }

    fn signal(&self, signal: Signal) -> Result<(), BalancerError> {
        // The child has an id only until its exit status is read, so the kernel cannot have reused the id.
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let sent = id.ok_or(rustix::io::Errno::SRCH).and_then(|id| kill_process(id, signal));
        sent.map_err(|error| BalancerError::Signal { signal, source: error.into() })
    }
}

/// Sends SIGTERM to all balancers at the same time, and kills those that do not exit within the time limit.
///
/// # Errors
///
/// [`BalancerError::Signal`] if a balancer had already exited, [`BalancerError::Kill`] if one cannot be killed.
pub async fn stop(balancers: impl IntoIterator<Item = Balancer>) -> Result<(), BalancerError> {
    let mut balancers: Vec<Balancer> = balancers.into_iter().collect();
    for balancer in &balancers {
        balancer.signal(Signal::TERM)?;
    }
    let deadline = Instant::now() + STOP_TIMEOUT;
    for balancer in &mut balancers {
        if timeout_at(deadline, balancer.child.wait()).await.is_err() {
            balancer.child.kill().await.map_err(BalancerError::Kill)?;
        }
    }
    Ok(())
}

fn write_config(settings: &Settings) -> io::Result<NamedTempFile> {
    let mut file = NamedTempFile::with_prefix("zincstand-testbed-")?;
    file.write_all(settings.config().to_string().as_bytes())?;
    Ok(file)
}

fn spawn(program: &Path, config_path: &Path) -> Result<Child, BalancerError> {
    let mut command = Command::new(program);
    for name in REMOVED_VARIABLES {
        command.env_remove(name);
    }
    command
        .env("EDGE_CONFIG", config_path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    command.spawn().map_err(|source| BalancerError::Start { program: program.to_owned(), source })
}

/// Reads the log up to the line that contains the address on which the balancer listens.
///
/// # Errors
///
/// A [`BalancerError`] if the log ends before that line or the address is invalid.
async fn read_address(log: &mut Lines<BufReader<ChildStderr>>) -> Result<SocketAddr, BalancerError> {
    let mut earlier_lines = String::new();
    while let Some(line) = log.next_line().await.map_err(BalancerError::Log)? {
        if let Some((_, address)) = line.split_once(" listens on ") {
            return address.parse().map_err(|_| BalancerError::NoAddress { line: line.clone() });
        }
        earlier_lines += &line;
    }
    Err(BalancerError::Exited { log: earlier_lines })
}
