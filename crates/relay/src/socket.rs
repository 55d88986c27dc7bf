//! Socket of a caller's connection, which records the progress of its exchanges.

use std::io;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::exchange::Progress;

/// Number of bytes that are discarded at a time.
const DISCARD_BYTES: usize = 4_096;

/// A caller's socket.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    progress: Rc<Progress>,
    /// Whether the kernel resets the connection when the socket is closed, also if the process
    /// is killed.
    is_reset_on_close: bool,
}

impl Socket {
    /// Wraps the stream of a caller's connection.
    pub fn new(stream: TcpStream, progress: Rc<Progress>) -> Socket {
        Socket { stream, progress, is_reset_on_close: false }
    }

    /// Makes the kernel reset the connection instead of closing it while the response would look
    /// complete otherwise.
    fn update_reset(&mut self) {
        let must_reset = self.progress.must_reset();
        if must_reset != self.is_reset_on_close {
            let linger = must_reset.then_some(Duration::ZERO);
            if SockRef::from(&self.stream).set_linger(linger).is_ok() {
                self.is_reset_on_close = must_reset;
            }
        }
    }

    /// Reads and discards bytes until the caller closes the connection.
    pub async fn discard(&self) {
        while self.stream.readable().await.is_ok() {
            let mut buffer = [0; DISCARD_BYTES];
            match self.stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before {
            self.progress.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_reset();
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.progress.record_written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_reset();
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices))?;
        self.progress.record_written(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once the socket has taken all bytes that it has buffered.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.progress.record_flush();
        self.update_reset();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.progress.must_reset() {
            // The connection is reset when it is dropped.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
