//! A connection to an upstream: the socket that hyper reads and writes, and the handle for sending requests on it.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::task::{AbortHandle, spawn_local};

use crate::sockets::Socket;
use crate::upstream::request_body_stream::OutgoingBody;

/// Maximum size in bytes of each of hyper's buffers of one connection. It limits the connection's memory and the length
/// of a message head: a longer head is a protocol error.
pub const MAX_HTTP_BUFFER_BYTES: usize = 16 * 1024;

/// Counts one open connection until its socket is closed.
pub struct ConnectionSlot {
    open_connections: Rc<Cell<usize>>,
}

impl ConnectionSlot {
    /// Increments the count of open connections. Dropping the slot decrements it.
    pub fn acquire(open_connections: &Rc<Cell<usize>>) -> ConnectionSlot {
        open_connections.set(open_connections.get() + 1);
        ConnectionSlot { open_connections: open_connections.clone() }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_connections.set(self.open_connections.get() - 1);
    }
}

/// A check that is called immediately before the first byte of a request is written. If it returns false, the connection
/// fails without writing the request.
pub type FirstByteCheck = Box<dyn FnOnce() -> bool>;

/// The socket that hyper's connection owns. Counts the written bytes, runs the check before a first byte, and shares
/// the stream so that [`UpstreamConnection::is_reusable`] can query the kernel.
struct InstrumentedSocket {
    stream: Rc<RefCell<Socket>>,
    /// Bytes written since the connection was opened.
    bytes_written: Rc<Cell<u64>>,
    /// The check to run before the next write; `None` after it has run.
    first_byte_check: Rc<Cell<Option<FirstByteCheck>>>,
    /// Whether a first-byte check has failed. Nothing more is written then.
    write_closed: Cell<bool>,
    _slot: ConnectionSlot,
}

impl InstrumentedSocket {
    /// Runs the first-byte check if one is set.
    ///
    /// # Errors
    ///
    /// `ConnectionAborted` if this or an earlier check failed.
    fn check_before_write(&self) -> io::Result<()> {
        if self.first_byte_check.take().is_some_and(|may_write| !may_write()) {
            self.write_closed.set(true);
        }
        if self.write_closed.get() { Err(io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }

    fn count_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.bytes_written.set(self.bytes_written.get() + *bytes as u64);
        }
    }
}

impl Read for InstrumentedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        hyper::rt::Read::poll_read(Pin::new(&mut *self.stream.borrow_mut()), context, buffer)
    }
}

impl Write for InstrumentedSocket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &[u8]) -> Poll<io::Result<usize>> {
        self.check_before_write()?;
        let result = self.stream.borrow().poll_write(context, buffer);
        self.count_written(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_before_write()?;
        let result = self.stream.borrow().poll_write_vectored(context, buffers);
        self.count_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}

/// A connection to an upstream. Dropping it closes the socket.
pub struct UpstreamConnection {
    /// Hyper's handle for sending requests.
    pub sender: SendRequest<OutgoingBody>,
    /// The task that reads and writes the socket.
    driver: AbortHandle,
    /// The socket, which the driver owns; dropped once the driver has ended.
    stream: Weak<RefCell<Socket>>,
    /// Bytes written since the connection was opened.
    bytes_written: Rc<Cell<u64>>,
    first_byte_check: Rc<Cell<Option<FirstByteCheck>>>,
    address: SocketAddr,
}

impl UpstreamConnection {
    /// Starts HTTP/1.1 on a connected socket. The slot is dropped together with the socket.
    ///
    /// # Errors
    ///
    /// The error of hyper's handshake.
    pub async fn handshake(
        stream: Socket,
        address: SocketAddr,
        slot: ConnectionSlot,
    ) -> Result<UpstreamConnection, hyper::Error> {
        let stream = Rc::new(RefCell::new(stream));
        let bytes_written = Rc::new(Cell::new(0));
        let first_byte_check = Rc::new(Cell::new(None));
        let socket = InstrumentedSocket {
            stream: stream.clone(),
            bytes_written: bytes_written.clone(),
            first_byte_check: first_byte_check.clone(),
            write_closed: Cell::new(false),
            _slot: slot,
        };
        // The task that owns the socket holds the only strong reference, so the stream is closed when that task ends.
        let stream = Rc::downgrade(&stream);
        let (sender, connection) =
            http1::Builder::new().max_buf_size(MAX_HTTP_BUFFER_BYTES).handshake(socket).await?;
        let driver = spawn_local(async move {
            // The attempt whose request is on this connection receives the same error from hyper and reports it.
            let _ = connection.await;
        });
        Ok(UpstreamConnection {
            sender,
            driver: driver.abort_handle(),
            stream,
            bytes_written,
            first_byte_check,
            address,
        })
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle of the task that reads and writes the socket. Aborting it closes the connection.
    pub fn driver(&self) -> &AbortHandle {
        &self.driver
    }

    /// Returns the counter of the bytes written on this connection. Later writes update it.
    pub fn bytes_written(&self) -> &Rc<Cell<u64>> {
        &self.bytes_written
    }

    /// Sets the check that is called once, before the next byte is written.
    pub fn set_first_byte_check(&self, check: FirstByteCheck) {
        self.first_byte_check.set(Some(check));
    }

    /// Returns whether this idle connection can carry another request: the upstream has neither closed it nor sent
    /// unexpected bytes. Queries the kernel, since the runtime may not have polled the socket recently. On a closed
    /// connection, a request would fail with a connection reset.
    pub fn is_reusable(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        let peeked = stream.borrow().peek_now();
        !self.sender.is_closed() && peeked.is_none()
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
