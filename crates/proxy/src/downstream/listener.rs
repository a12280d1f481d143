//! Accepts client connections, and stops accepting them at shutdown.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::downstream::client_stream::ClientStream;
use crate::downstream::connection_permits::{ConnectionPermit, PermitKind};
use crate::downstream::progress::ConnectionProgress;
use crate::downstream::server::{Server, UpstreamTransport};
use crate::downstream::shutdown::UNUSED_CONNECTION_GRACE;
use crate::lifecycle::Phase;
use crate::log::{limited_log_line, log_line};
use crate::sockets::{Socket, accept, accept_queued, has_unread_bytes, time_since_last_data};

/// Length of the listener's accept queue, in connections.
pub const BACKLOG: u32 = 1024;
/// If `accept` returns within this time, the connection counts as one that was already queued before the call.
const QUEUED_ACCEPT_THRESHOLD: Duration = Duration::from_millis(1);

/// Size of the kernel's send buffer of a client connection, in bytes. It takes a complete response of the protocol, also if
/// the client does not read it.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// The source of client connections.
pub struct Listener {
    /// The listening socket.
    pub socket: TcpListener,
    /// Whether the platform owns the socket. Another process then accepts the connections that arrive after this process
    /// has received a shutdown signal.
    pub shared: bool,
}

impl Listener {
    /// Returns the kind of the permit for a connection that was accepted just before the process stopped accepting, if
    /// no regular permit is free. A shared listener means that this process is being replaced. A replacement must not
    /// cause rejections, so the connection is served beyond the limit; otherwise its requests are rejected.
    fn permit_kind_over_limit(&self) -> PermitKind {
        if self.shared { PermitKind::Regular } else { PermitKind::Overflow }
    }
}

impl<T: UpstreamTransport> Server<T> {
    /// Accepts and serves connections until the process receives a shutdown signal, and for the
    /// [accepting time](crate::downstream::shutdown::ShutdownBudget::accepting_time) after it if no other process shares
    /// the listener. Returns when all client connections are closed.
    pub async fn serve(self: Rc<Self>, listener: Listener) {
        let shared = listener.shared;
        self.accept_connections(&listener).await;
        if shared {
            // Connections in the queue are left to the other process, which has the listener open too.
            drop(listener.socket);
        } else {
            self.close_listener(listener.socket).await;
        }
        let phase = if shared { Phase::HandingOver } else { Phase::ClosingListener };
        self.lifecycle.enter(phase);
        self.permits.all_released().await;
    }

    /// Accepts connections until accepting ends. Waits for a permit for each connection before it accepts the next.
    async fn accept_connections(self: &Rc<Self>, listener: &Listener) {
        let mut end_of_accepting =
            pin!(self.wait_for_end_of_accepting(self.lifecycle.subscribe(), listener.shared));
        let mut permit_wait_started_at = Instant::now();
        loop {
            let accept_started_at = Instant::now();
            let socket = tokio::select! {
                biased;
                () = &mut end_of_accepting => break,
                accepted = accept(&listener.socket) => accepted,
            };
            // A queued connection may have waited for as long as the previous one waited for its permit. That time
            // counts towards the deadline of its request.
            let was_queued = accept_started_at.elapsed() < QUEUED_ACCEPT_THRESHOLD;
            let accepted_at = if was_queued { permit_wait_started_at } else { Instant::now() };
            permit_wait_started_at = Instant::now();
            tokio::select! {
                permit = self.permits.acquire() => self.start_connection(socket, accepted_at, permit),
                // No other process can serve a connection that this process has accepted.
                () = &mut end_of_accepting => {
                    let permit = self.permits.acquire_or_exceed_limit(listener.permit_kind_over_limit());
                    self.start_connection(socket, accepted_at, permit);
                    break;
                }
            }
        }
    }

    /// Waits until connections are no longer accepted: at the shutdown signal if another process shares the listener,
    /// otherwise after the [accepting time](crate::downstream::shutdown::ShutdownBudget::accepting_time) that follows
    /// the signal.
    async fn wait_for_end_of_accepting(&self, mut phases: watch::Receiver<Phase>, shared: bool) {
        let _ = phases.wait_for(|phase| phase.is_shutting_down()).await;
        log_line!("zincstand-proxy: shutdown requested");
        if !shared {
            let requested_at = self.lifecycle.shutdown_requested_at().unwrap_or_else(Instant::now);
            sleep_until(requested_at + self.shutdown.accepting_time()).await;
        }
    }

    /// Closes a listener that no other process shares. Clients may already have sent requests on the connections in its
    /// accept queue, and the kernel resets these connections when the listener is closed, so they are served first.
    async fn close_listener(self: &Rc<Self>, socket: TcpListener) {
        let Ok(socket) = socket.into_std() else { return };
        // In this phase connections without a request are closed early, which frees permits for the queued connections.
        self.lifecycle.enter(Phase::ClosingListener);
        let requested_at = self.lifecycle.shutdown_requested_at().unwrap_or_else(Instant::now);
        let deadline = requested_at + self.shutdown.total() - UNUSED_CONNECTION_GRACE / 2;
        let _ = timeout_at(deadline, self.drain_accept_queue(&socket)).await;
    }

    /// Serves the connections in the listener's accept queue. If few permits are free, closes connections on which the
    /// client has sent nothing, since they would use up the file descriptors that upstream connections and discovery
    /// need.
    async fn drain_accept_queue(self: &Rc<Self>, listener: &std::net::TcpListener) {
        // The kernel queues at most `BACKLOG + 1` connections, so any further connection arrived after accepting ended.
        for _ in 0..=BACKLOG {
            let Some(socket) = accept_queued(listener).await else { return };
            let Ok(socket) = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket)) else {
                continue;
            };
            if self.permits.has_spare_capacity() || has_unread_bytes(&socket) {
                let accepted_at = Instant::now();
                let permit = self.permits.acquire_queued().await;
                self.start_connection(socket, accepted_at, permit);
            } else {
                limited_log_line!("connection: closed without input in the accept queue, in a shutdown");
            }
        }
    }

    /// Starts the task that serves a connection.
    fn start_connection(self: &Rc<Self>, socket: TcpStream, accepted_at: Instant, permit: ConnectionPermit) {
        let arrived_at = unread_input_arrived_at(&socket).unwrap_or(accepted_at);
        let socket = Socket::new(socket);
        socket.set_send_buffer(SEND_BUFFER_BYTES);
        let stream = ClientStream::new(socket, arrived_at, self.memory.clone());
        let progress = ConnectionProgress::new(self.evictable_connections.clone(), &stream);
        let task = spawn_local(self.clone().serve_connection(stream, permit, progress.clone()));
        progress.set_task(task.abort_handle());
    }
}

/// Returns when the newest unread byte of a connection arrived; `None` if there is none or the system does not tell.
fn unread_input_arrived_at(socket: &TcpStream) -> Option<Instant> {
    let last_data = time_since_last_data(socket).filter(|_| has_unread_bytes(socket))?;
    Instant::now().checked_sub(last_data)
}
