//! A stand-in for discovery: the complete list and the watch of the protocol, for many watchers on one thread, with
//! counts of what it is asked and what it writes.
//!
//! Its processor time is its own: it shows what the protocol makes any discovery do, not what a product needs.

mod entry;
mod request;
mod server;
mod traffic;
mod versions;

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tokio::runtime::Runtime;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

use server::{Command, Server};

pub use entry::{Entry, Lifecycle};
pub use traffic::{Acknowledgement, Counters, TRAFFIC_BUCKET, Traffic, thread_processor_time};
pub use versions::KEPT_VERSIONS;

/// Why the stand-in cannot do what it was asked.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// Its address cannot be listened on.
    #[error("the stand-in discovery cannot listen on {address}: another process may use the port")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        #[source]
        source: io::Error,
    },
    /// Its thread cannot be started.
    #[error("the stand-in discovery has no thread or descriptors: start fewer at once")]
    Start(#[source] io::Error),
    /// Its thread has ended, which it does by a fault alone.
    #[error("the stand-in discovery has ended: standard error has its panic")]
    Ended,
}

/// How discovery behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It responds.
    Up,
    /// Its process is gone: connections are closed and new ones refused.
    Down,
    /// It reads and does not respond, until its mode is another one.
    Silent,
    /// The responses on some connections start late.
    Slow {
        /// One connection in this many is slow; 1 for every connection.
        one_in: u64,
        /// How late.
        delay: Duration,
    },
}

/// A version of the list and when discovery had it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionChange {
    /// The version.
    pub version: u64,
    /// When discovery had it, or did what it was asked.
    pub at: Instant,
}

/// Discovery on a thread of its own. It ends when dropped.
pub struct Discovery {
    address: SocketAddr,
    commands: Option<UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Listens on a free port of 127.0.0.1, with an empty list of version 1.
    ///
    /// # Errors
    /// There is no port, thread or descriptor left.
    pub fn start() -> Result<Discovery, DiscoveryError> {
        Discovery::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Listens on an address, with an empty list of version 1.
    ///
    /// # Errors
    /// The address is in use, or there is no thread or descriptor left.
    pub fn start_at(address: SocketAddr) -> Result<Discovery, DiscoveryError> {
        let (commands, receiver) = unbounded_channel();
        let (started, listening) = mpsc::channel();
        // The runtime is made on its own thread: the caller may be within another one.
        let run = move || match Started::new(address) {
            Ok(server) => {
                let _ = started.send(Ok(server.address));
                server.run(receiver);
            }
            Err(error) => {
                let _ = started.send(Err(error));
            }
        };
        let thread = std::thread::Builder::new().name("discovery".to_owned()).spawn(run);
        let thread = thread.map_err(DiscoveryError::Start)?;
        let address = listening.recv().map_err(|_| DiscoveryError::Ended)??;
        Ok(Discovery { address, commands: Some(commands), thread: Some(thread) })
    }

    /// Where it listens, also while it is down.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a command and waits for its reply.
    fn execute<R>(&self, command: impl FnOnce(mpsc::Sender<R>) -> Command) -> Result<R, DiscoveryError> {
        let (sender, reply) = mpsc::channel();
        let commands = self.commands.as_ref().ok_or(DiscoveryError::Ended)?;
        commands.send(command(sender)).map_err(|_| DiscoveryError::Ended)?;
        reply.recv().map_err(|_| DiscoveryError::Ended)
    }

    /// Replaces the list: a new version, of which all watchers are notified by a snapshot.
    ///
    /// # Errors
    /// Its thread has ended.
    pub fn replace(&self, entries: Vec<Entry>) -> Result<VersionChange, DiscoveryError> {
        self.execute(|reply| Command::Replace(entries, reply))
    }

    /// Changes entries: one new version, of which watchers are notified by a delta. A deleted entry leaves the list.
    ///
    /// # Errors
    /// Its thread has ended.
    pub fn change(&self, entries: Vec<Entry>) -> Result<VersionChange, DiscoveryError> {
        self.execute(|reply| Command::Change(entries, reply))
    }

    /// Changes how it behaves; the time in the result is that of the change of behavior.
    ///
    /// # Errors
    /// It was down and cannot listen again, or its thread has ended.
    pub fn set_mode(&self, mode: Mode) -> Result<VersionChange, DiscoveryError> {
        let change = self.execute(|reply| Command::SetMode(mode, reply))?;
        change.map_err(|source| DiscoveryError::Listen { address: self.address, source })
    }

    /// Closes every connection at once and goes on listening.
    ///
    /// # Errors
    /// Its thread has ended.
    pub fn close_connections(&self) -> Result<VersionChange, DiscoveryError> {
        self.execute(Command::CloseConnections)
    }

    /// What has been counted so far.
    ///
    /// # Errors
    /// Its thread has ended.
    pub fn counters(&self) -> Result<Counters, DiscoveryError> {
        self.execute(Command::Counters)
    }

    /// Which watchers have applied which version since this was last called.
    ///
    /// # Errors
    /// Its thread has ended.
    pub fn take_acknowledgements(&self) -> Result<Vec<Acknowledgement>, DiscoveryError> {
        self.execute(Command::TakeAcknowledgements)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        // The thread ends when nothing can send it commands any more.
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What the stand-in's thread owns before it serves.
struct Started {
    runtime: Runtime,
    listener: tokio::net::TcpListener,
    address: SocketAddr,
}

impl Started {
    fn new(address: SocketAddr) -> Result<Started, DiscoveryError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(DiscoveryError::Start)?;
        let listener = runtime.block_on(async { server::listen(address) });
        let listener = listener.map_err(|source| DiscoveryError::Listen { address, source })?;
        let address = listener.local_addr().map_err(|source| DiscoveryError::Listen { address, source })?;
        Ok(Started { runtime, listener, address })
    }

    /// Serves until the commands' sender is dropped.
    fn run(self, commands: UnboundedReceiver<Command>) {
        let serve = async { Server::start(self.address, self.listener).run(commands).await };
        LocalSet::new().block_on(&self.runtime, serve);
    }
}
