//! One connection to an upstream: the socket under hyper, and the handle by which requests are sent on it.

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

/// Bytes that hyper may buffer of what it reads or writes on one connection. It bounds the memory of a connection
/// and the head of a message: one that does not end within it is a protocol error.
pub const MAX_BUFFERED_BYTES: usize = 16 * 1024;

/// A share of the connections that may be open at once; released when the connection's socket is closed.
pub struct ConnectionSlot {
    open_connections: Rc<Cell<usize>>,
}

impl ConnectionSlot {
    /// Counts one more connection as open until the slot is dropped.
    pub fn take(open_connections: &Rc<Cell<usize>>) -> ConnectionSlot {
        open_connections.set(open_connections.get() + 1);
        ConnectionSlot { open_connections: open_connections.clone() }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_connections.set(self.open_connections.get() - 1);
    }
}

/// Called immediately before the first byte of a request is written; returns whether it may still be written. If
/// not, the connection ends with nothing written.
pub type FirstByteCheck = Box<dyn FnOnce() -> bool>;

/// The socket as hyper's connection owns it. It can be examined from outside, and it counts what is written.
struct WatchedSocket {
    stream: Rc<RefCell<Socket>>,
    written: Rc<Cell<u64>>,
    first_byte_check: Rc<Cell<Option<FirstByteCheck>>>,
    /// The check has forbidden the request: nothing more is written.
    write_closed: Cell<bool>,
    _slot: ConnectionSlot,
}

impl WatchedSocket {
    fn check_before_write(&self) -> io::Result<()> {
        if self.first_byte_check.take().is_some_and(|may_be_written| !may_be_written()) {
            self.write_closed.set(true);
        }
        if self.write_closed.get() { Err(io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }

    fn count_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.written.set(self.written.get() + *bytes as u64);
        }
    }
}

impl Read for WatchedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        hyper::rt::Read::poll_read(Pin::new(&mut *self.stream.borrow_mut()), context, buffer)
    }
}

impl Write for WatchedSocket {
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

/// A connection to an upstream; closed when dropped.
pub struct UpstreamConnection {
    /// Takes the next request.
    pub sender: SendRequest<OutgoingBody>,
    driver: AbortHandle,
    stream: Weak<RefCell<Socket>>,
    written: Rc<Cell<u64>>,
    first_byte_check: Rc<Cell<Option<FirstByteCheck>>>,
    address: SocketAddr,
}

impl UpstreamConnection {
    /// Starts HTTP/1.1 on a connected socket. The slot is released when the socket is closed.
    ///
    /// # Errors
    ///
    /// Hyper's, if it does not take the socket.
    pub async fn handshake(
        stream: Socket,
        address: SocketAddr,
        slot: ConnectionSlot,
    ) -> Result<UpstreamConnection, hyper::Error> {
        let stream = Rc::new(RefCell::new(stream));
        let written = Rc::new(Cell::new(0));
        let first_byte_check = Rc::new(Cell::new(None));
        let socket = WatchedSocket {
            stream: stream.clone(),
            written: written.clone(),
            first_byte_check: first_byte_check.clone(),
            write_closed: Cell::new(false),
            _slot: slot,
        };
        // Only the socket keeps the stream open: it is closed with the task that owns it.
        let stream = Rc::downgrade(&stream);
        let (sender, connection) =
            http1::Builder::new().max_buf_size(MAX_BUFFERED_BYTES).handshake(socket).await?;
        let driver = spawn_local(async move {
            // An error of the connection is an error of the request on it, and is reported there.
            let _ = connection.await;
        });
        Ok(UpstreamConnection {
            sender,
            driver: driver.abort_handle(),
            stream,
            written,
            first_byte_check,
            address,
        })
    }

    /// The address that it is connected to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Aborts the task that reads and writes the socket, which closes the connection.
    pub fn driver(&self) -> &AbortHandle {
        &self.driver
    }

    /// The number of bytes written on this connection so far; it goes on counting.
    pub fn written(&self) -> &Rc<Cell<u64>> {
        &self.written
    }

    /// Sets the check that is called before the next byte is written.
    pub fn set_first_byte_check(&self, check: FirstByteCheck) {
        self.first_byte_check.set(Some(check));
    }

    /// Whether a request may be sent on this idle connection: the upstream has neither closed it nor sent anything.
    /// The kernel is asked, since the runtime may not have polled the socket lately and a request on a closed
    /// connection would end as a reset.
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
