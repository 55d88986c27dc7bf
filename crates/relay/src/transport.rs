//! Socket of a connection to an endpoint or another daemon, which tells whether a response that
//! ends with its connection is complete.
//!
//! A response may come before the request was written. If the connection breaks meanwhile, the
//! error is reported to whoever uses the socket next: once a write has got it, a read sees an orderly
//! end.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// How far the current request on a connection was written.
#[derive(Clone, Debug)]
pub struct Upload(Rc<State>);

#[derive(Debug)]
struct State {
    stage: Cell<Stage>,
    /// Whether the HTTP library has taken all of the request's body.
    is_taken: Cell<bool>,
    /// The reader, while it waits for the end of the request.
    reader: RefCell<Option<Waker>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The HTTP library has not written anything of the request.
    Queued,
    /// It has written a part.
    Begun,
    /// The socket has taken the whole request, or there is none.
    Written,
    /// Writing has failed.
    Failed(ErrorKind),
}

impl Upload {
    /// Begins a request and returns its body.
    pub fn begin(&self, body: Full<Bytes>) -> RequestBody {
        if !self.has_failed() {
            self.0.stage.set(Stage::Queued);
            self.0.is_taken.set(body.is_end_stream());
        }
        RequestBody { body, upload: self.clone() }
    }

    /// Whether no part of a request is left to be written.
    pub fn is_written(&self) -> bool {
        self.0.stage.get() == Stage::Written
    }

    fn has_failed(&self) -> bool {
        matches!(self.0.stage.get(), Stage::Failed(_))
    }

    fn record_write(&self) {
        if self.0.stage.get() == Stage::Queued {
            self.0.stage.set(Stage::Begun);
        }
    }

    fn record_flush(&self) {
        if self.0.stage.get() == Stage::Begun && self.0.is_taken.get() {
            self.end(Stage::Written);
        }
    }

    fn end(&self, stage: Stage) {
        self.0.stage.set(stage);
        if let Some(reader) = self.0.reader.borrow_mut().take() {
            reader.wake();
        }
    }

    /// Returns whether the connection has ended in order, once that is known: the end of a
    /// response counts only if the request was written before.
    fn poll_end(&self, cx: &Context<'_>) -> Poll<io::Result<()>> {
        match self.0.stage.get() {
            Stage::Queued | Stage::Written => Poll::Ready(Ok(())),
            Stage::Failed(kind) => Poll::Ready(Err(kind.into())),
            Stage::Begun => {
                *self.0.reader.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Default for Upload {
    fn default() -> Upload {
        Upload(Rc::new(State {
            stage: Cell::new(Stage::Written),
            is_taken: Cell::new(true),
            reader: RefCell::default(),
        }))
    }
}

/// Body of a request.
#[derive(Debug)]
pub struct RequestBody {
    body: Full<Bytes>,
    upload: Upload,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if self.body.is_end_stream() {
            self.upload.0.is_taken.set(true);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A socket whose writes don't fail, so that a response that was received before is still read. Its
/// end is an error then.
#[derive(Debug)]
pub struct Transport {
    stream: TcpStream,
    upload: Upload,
}

impl Transport {
    /// Wraps a stream on which no request was begun.
    pub fn new(stream: TcpStream, upload: Upload) -> Transport {
        Transport { stream, upload }
    }

    /// Returns the result of a write to the HTTP library. If the connection has failed, the
    /// `discarded` bytes count as written.
    fn settle(
        &self,
        written: Poll<io::Result<usize>>,
        discarded: usize,
    ) -> Poll<io::Result<usize>> {
        match ready!(written) {
            Ok(count) => {
                self.upload.record_write();
                Poll::Ready(Ok(count))
            }
            Err(error) => {
                self.upload.end(Stage::Failed(error.kind()));
                Poll::Ready(Ok(discarded))
            }
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before || buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        self.upload.poll_end(cx)
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.upload.has_failed() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.settle(written, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let size = slices.iter().map(|it| it.len()).sum();
        if self.upload.has_failed() {
            return Poll::Ready(Ok(size));
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.settle(written, size)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once the socket has taken all bytes that it has buffered.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.upload.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
