//! A stand-in for discovery. It implements the requests of the protocol, for the complete list and for watches. One
//! thread serves all watchers, and counts requests and responses.
//!
//! The processor time of this thread shows the work that the protocol requires. A production discovery service does
//! more work.

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
pub use versions::RETAINED_VERSIONS;

/// An error of the stand-in.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The address cannot be listened on.
    #[error("the stand-in discovery cannot listen on {address}: another process may use the port")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The thread or its runtime cannot be started.
    #[error(
        "the thread of the stand-in discovery cannot be started: start fewer at once, or raise `ulimit -n`"
    )]
    Start(#[source] io::Error),
    /// The thread has ended, which happens only after a panic.
    #[error("the thread of the stand-in discovery has ended: see its panic message on standard error")]
    Ended,
}

/// The behavior of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Discovery responds immediately.
    Up,
    /// Discovery closes all connections and does not listen, as if its process had exited.
    Down,
    /// Discovery reads requests, but does not respond until the mode changes.
    Silent,
    /// Discovery delays the responses on some connections.
    Slow {
        /// One connection in this many is slow; 1 means every connection.
        one_in: u64,
        /// The delay of a response.
        delay: Duration,
    },
}

/// A version of the list, and when it became the current one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionChange {
    /// The version.
    pub version: u64,
    /// When the list got this version; after a command that leaves the list unchanged, when the command was executed.
    pub at: Instant,
}

/// Discovery that runs on a separate thread. Dropping it ends the thread.
pub struct Discovery {
    address: SocketAddr,
    commands: Option<UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Listens on a free port of 127.0.0.1, with an empty list of version 1.
    ///
    /// # Errors
    ///
    /// A [`DiscoveryError`] if no port, thread or descriptor is left.
    pub fn start() -> Result<Discovery, DiscoveryError> {
        Discovery::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Listens on an address, with an empty list of version 1.
    ///
    /// # Errors
    ///
    /// A [`DiscoveryError`] if the address is in use, or no thread or descriptor is left.
    pub fn start_at(address: SocketAddr) -> Result<Discovery, DiscoveryError> {
        let (commands, receiver) = unbounded_channel();
        let (bound_sender, bound_receiver) = mpsc::channel();
        // The runtime is created on the new thread, since the caller may run within another runtime.
        let run_server = move || match BoundServer::bind(address) {
            Ok(server) => {
                let _ = bound_sender.send(Ok(server.address));
                server.run(receiver);
            }
            Err(error) => {
                let _ = bound_sender.send(Err(error));
            }
        };
        let thread = std::thread::Builder::new().name("discovery".to_owned()).spawn(run_server);
        let thread = thread.map_err(DiscoveryError::Start)?;
        let address = bound_receiver.recv().map_err(|_| DiscoveryError::Ended)??;
        Ok(Discovery { address, commands: Some(commands), thread: Some(thread) })
    }

    /// Returns the address, which does not change while discovery is down.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a command to the thread and waits for the reply.
    fn execute<R>(&self, command: impl FnOnce(mpsc::Sender<R>) -> Command) -> Result<R, DiscoveryError> {
        let (sender, reply) = mpsc::channel();
        let commands = self.commands.as_ref().ok_or(DiscoveryError::Ended)?;
        commands.send(command(sender)).map_err(|_| DiscoveryError::Ended)?;
        reply.recv().map_err(|_| DiscoveryError::Ended)
    }

    /// Replaces the list in a new version, and notifies all watchers by a snapshot.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError::Ended`] if the thread has ended.
    pub fn replace(&self, entries: Vec<Entry>) -> Result<VersionChange, DiscoveryError> {
        self.execute(|reply| Command::Replace(entries, reply))
    }

    /// Changes entries in one new version, and notifies watchers by a delta. Deleted entries are removed from the list.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError::Ended`] if the thread has ended.
    pub fn change(&self, entries: Vec<Entry>) -> Result<VersionChange, DiscoveryError> {
        self.execute(|reply| Command::Change(entries, reply))
    }

    /// Changes the mode. The result contains the time of the change.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError::Listen`] if discovery was down and cannot listen again, [`DiscoveryError::Ended`] if the
    /// thread has ended.
    pub fn set_mode(&self, mode: Mode) -> Result<VersionChange, DiscoveryError> {
        let change = self.execute(|reply| Command::SetMode(mode, reply))?;
        change.map_err(|source| DiscoveryError::Listen { address: self.address, source })
    }

    /// Closes all connections, and continues to listen.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError::Ended`] if the thread has ended.
    pub fn close_connections(&self) -> Result<VersionChange, DiscoveryError> {
        self.execute(Command::CloseConnections)
    }

    /// Returns the counts so far.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError::Ended`] if the thread has ended.
    pub fn counters(&self) -> Result<Counters, DiscoveryError> {
        self.execute(Command::Counters)
    }

    /// Returns the acknowledgements since the previous call: which watcher has applied which version.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError::Ended`] if the thread has ended.
    pub fn take_acknowledgements(&self) -> Result<Vec<Acknowledgement>, DiscoveryError> {
        self.execute(Command::TakeAcknowledgements)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        // Dropping the sender of commands ends the thread.
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The runtime and the listener of the stand-in's thread, which does not serve yet.
struct BoundServer {
    runtime: Runtime,
    listener: tokio::net::TcpListener,
    address: SocketAddr,
}

impl BoundServer {
    /// Listens on an address.
    fn bind(address: SocketAddr) -> Result<BoundServer, DiscoveryError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(DiscoveryError::Start)?;
        let listener = runtime.block_on(async { server::listen(address) });
        let listener = listener.map_err(|source| DiscoveryError::Listen { address, source })?;
        let address = listener.local_addr().map_err(|source| DiscoveryError::Listen { address, source })?;
        Ok(BoundServer { runtime, listener, address })
    }

    /// Serves until the sender of commands is dropped.
    fn run(self, commands: UnboundedReceiver<Command>) {
        let serve = async { Server::start(self.address, self.listener).run(commands).await };
        LocalSet::new().block_on(&self.runtime, serve);
    }
}
