//! A connected TCP socket.

use std::future::poll_fn;
use std::io::{self, IoSlice, Read as _};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::sockets::tcp_info::peer_has_closed;

/// Maximum number of bytes that one call reads for hyper.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Maximum number of times that a call interrupted by a signal is repeated before the error is returned. The limit
/// prevents an endless loop on the thread that serves all connections.
const MAX_INTERRUPTIONS: u32 = 1000;

/// A connected TCP socket. It is taken to be empty or full only if the kernel returns `EWOULDBLOCK`. The runtime's own
/// read and write methods also infer that from a short read or write, and may then wait for an event that never comes.
pub struct Socket {
    stream: TcpStream,
}

impl Socket {
    /// Wraps a connected stream and sets `TCP_NODELAY`, so that written bytes are sent at once. Bytes that wait in the send
    /// buffer would be lost if the connection were reset when it is closed.
    pub fn new(stream: TcpStream) -> Socket {
        // The error is ignored: without the option the socket works, but sends small writes later.
        let _ = stream.set_nodelay(true);
        Socket { stream }
    }

    /// Becomes ready once the runtime expects that the socket can be read.
    pub fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.stream.poll_read_ready(cx).map(|_| ())
    }

    /// Reads into `buffer`. Becomes ready with the number of bytes, 0 at the end of input.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            if let Some(read) = unless_blocked(|| self.stream.try_read(buffer)) {
                return Poll::Ready(read);
            }
        }
    }

    /// Writes from `buffer`. Becomes ready with the number of bytes written.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn poll_write(&self, cx: &mut Context<'_>, buffer: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            if let Some(written) = unless_blocked(|| self.stream.try_write(buffer)) {
                return Poll::Ready(written);
            }
        }
    }

    /// Writes from several buffers. Becomes ready with the number of bytes written.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn poll_write_vectored(
        &self,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            if let Some(written) = unless_blocked(|| self.stream.try_write_vectored(buffers)) {
                return Poll::Ready(written);
            }
        }
    }

    /// Writes as much of `bytes` as the kernel accepts now. Errors are ignored: the peer then misses the rest.
    pub fn write_now(&self, bytes: &[u8]) {
        let _ = unless_blocked(|| SockRef::from(&self.stream).send(bytes));
    }

    /// Shuts down the sending direction. Succeeds if the connection has already ended.
    ///
    /// # Errors
    ///
    /// Any other error of the operating system.
    pub fn shut_down(&self) -> io::Result<()> {
        match SockRef::from(&self.stream).shutdown(Shutdown::Write) {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        }
    }

    /// Sets whether closing the socket resets the connection, also when the kernel closes it at the end of the process.
    /// The reset discards bytes that were not sent yet.
    pub fn set_reset_on_close(&self, reset: bool) {
        // After an error the connection is closed as any other.
        let _ = SockRef::from(&self.stream).set_linger(reset.then_some(Duration::ZERO));
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// The error of the operating system. A part of `bytes` may have been written.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = poll_fn(|cx| self.poll_write(cx, bytes)).await?;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Reads from the kernel into `buffer`, whether or not the runtime has polled the socket. Returns the number of
    /// bytes, 0 at the end of input, or `None` if there is nothing to read.
    pub fn read_now(&self, buffer: &mut [u8]) -> Option<io::Result<usize>> {
        unless_blocked(|| (&*SockRef::from(&self.stream)).read(buffer))
    }

    /// Peeks at the next byte in the kernel without reading it. Returns 1 if there is a byte, 0 at the end of input, or
    /// `None` if there is nothing to read.
    pub fn peek_now(&self) -> Option<io::Result<usize>> {
        peek(&self.stream)
    }

    /// Returns whether the kernel has bytes that were not read.
    pub fn has_unread_bytes(&self) -> bool {
        has_unread_bytes(&self.stream)
    }

    /// Becomes ready once the peer has closed its sending direction, whether or not its bytes were read. The socket counts as
    /// empty afterwards, although it may have unread bytes: the next read must be [`read_now`](Self::read_now).
    pub fn poll_peer_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        while self.stream.poll_read_ready(cx).is_ready() {
            if self.has_peer_closed() {
                return Poll::Ready(());
            }
            // Clears the readiness, so that the runtime waits for the next event.
            let cleared: io::Result<()> =
                self.stream.try_io(Interest::READABLE, || Err(io::ErrorKind::WouldBlock.into()));
            debug_assert!(cleared.is_err(), "the operation reports an empty socket");
        }
        Poll::Pending
    }

    /// Returns whether the peer has closed its sending direction or reset the connection. Unread bytes may precede the end.
    pub fn has_peer_closed(&self) -> bool {
        self.is_read_closed() || peer_has_closed(&self.stream)
    }

    /// Sets the size of the kernel's send buffer.
    pub fn set_send_buffer(&self, bytes: usize) {
        // The error is ignored: the socket then keeps its size.
        let _ = SockRef::from(&self.stream).set_send_buffer_size(bytes);
    }

    /// Returns whether the runtime has been notified of the end of input. Unread bytes may precede it.
    pub fn is_read_closed(&self) -> bool {
        let readiness = pin!(self.stream.ready(Interest::READABLE));
        let polled = readiness.poll(&mut Context::from_waker(Waker::noop()));
        matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

/// Returns whether the kernel has bytes of this socket that were not read.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    matches!(peek(stream), Some(Ok(1..)))
}

/// Peeks at the next byte; see [`Socket::peek_now`].
fn peek(stream: &TcpStream) -> Option<io::Result<usize>> {
    let mut byte = [MaybeUninit::uninit()];
    unless_blocked(|| SockRef::from(stream).peek(&mut byte))
}

/// Returns the result of a system call on a socket; `None` if the socket was empty or full. Repeats the call if it was
/// interrupted by a signal.
fn unless_blocked(mut call: impl FnMut() -> io::Result<usize>) -> Option<io::Result<usize>> {
    let mut interruptions = 0;
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) if error.kind() == io::ErrorKind::Interrupted && interruptions < MAX_INTERRUPTIONS => {
                interruptions += 1;
            }
            result => return Some(result),
        }
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let limit = buffer.remaining().min(READ_CHUNK_BYTES);
        let read = ready!(Socket::poll_read(&self, cx, &mut chunk[..limit]))?;
        buffer.put_slice(&chunk[..read]);
        Poll::Ready(Ok(()))
    }
}

impl Write for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &[u8]) -> Poll<io::Result<usize>> {
        Socket::poll_write(&self, cx, buffer)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Socket::poll_write_vectored(&self, cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shut_down())
    }
}
