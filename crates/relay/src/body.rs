//! Bodies of responses to callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::error::SendError;

use crate::exchange::Progress;

/// Maximum number of bytes of a streamed body that wait for the caller, beside a first chunk.
const MAX_QUEUED_BYTES: u64 = 64 * 1_024;

/// A response body: buffered, or streamed with the possibility of an error.
#[derive(Debug)]
pub enum Payload {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// Chunks of the body. An error, or a sender that is dropped before the body is finished,
    /// aborts the connection, so that the caller doesn't mistake a partial response for a
    /// complete one.
    Streamed(Chunks),
}

impl Payload {
    /// Creates a buffered body.
    pub fn buffered(bytes: Bytes) -> Payload {
        Payload::Buffered(Full::new(bytes))
    }

    /// Whether the length of the body is unknown when its head is sent.
    pub(crate) fn is_streamed(&self) -> bool {
        matches!(self, Payload::Streamed(_))
    }

    /// Returns the number of bytes that are not taken yet, as far as they are known.
    fn remaining(&self) -> u64 {
        match self {
            Payload::Buffered(body) => body.size_hint().lower(),
            Payload::Streamed(chunks) => chunks.queued.get(),
        }
    }
}

/// Chunks of a streamed body that wait for the caller.
#[derive(Debug)]
pub struct Chunks {
    receiver: Receiver<io::Result<Bytes>>,
    /// Number of bytes that wait.
    queued: Rc<Cell<u64>>,
    /// Notified when a chunk was taken.
    taken: Rc<Notify>,
    is_finished: Rc<Cell<bool>>,
    /// Error that ends the body once the chunks before it are written.
    error: Option<io::Error>,
}

/// Sends the chunks of a streamed body.
#[derive(Debug)]
pub struct ChunkSender {
    sender: Sender<io::Result<Bytes>>,
    queued: Rc<Cell<u64>>,
    taken: Rc<Notify>,
    is_finished: Rc<Cell<bool>>,
}

/// Creates a streamed body of which at most `capacity` chunks wait for the caller, and no
/// second one beyond [`MAX_QUEUED_BYTES`].
pub fn channel(capacity: usize) -> (ChunkSender, Payload) {
    let (sender, receiver) = tokio::sync::mpsc::channel(capacity);
    let queued = Rc::<Cell<u64>>::default();
    let taken = Rc::<Notify>::default();
    let is_finished = Rc::<Cell<bool>>::default();
    let chunks = Chunks {
        receiver,
        queued: queued.clone(),
        taken: taken.clone(),
        is_finished: is_finished.clone(),
        error: None,
    };
    (ChunkSender { sender, queued, taken, is_finished }, Payload::Streamed(chunks))
}

impl Chunks {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match ready!(self.receiver.poll_recv(cx)) {
            Some(Ok(bytes)) => {
                self.queued.set(self.queued.get() - bytes.len() as u64);
                self.taken.notify_one();
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Some(Err(error)) => self.fail(cx, error),
            None if self.is_finished.get() => Poll::Ready(None),
            None => self.fail(cx, io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Ends the body with an error once the HTTP library has written the chunks before it.
    fn fail<T>(&mut self, cx: &mut Context<'_>, error: io::Error) -> Poll<T> {
        // The library discards what it has not written when a body fails. It writes when a
        // body has nothing to add.
        self.error = Some(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl ChunkSender {
    /// Sends a chunk, or an error that aborts the connection. Fails if the body was
    /// dropped.
    pub async fn send(&self, chunk: io::Result<Bytes>) -> Result<(), SendError<io::Result<Bytes>>> {
        let bytes = chunk.as_ref().map_or(0, Bytes::len) as u64;
        while bytes > 0 && self.queued.get() > 0 && self.queued.get() + bytes > MAX_QUEUED_BYTES {
            tokio::select! {
                () = self.sender.closed() => return Err(SendError(Ok(Bytes::new()))),
                () = self.taken.notified() => {}
            }
        }
        let permit = self.sender.reserve().await.map_err(|_| SendError(Ok(Bytes::new())))?;
        self.queued.set(self.queued.get() + bytes);
        permit.send(chunk);
        Ok(())
    }

    /// Marks the body as complete.
    pub fn finish(self) {
        self.is_finished.set(true);
    }

    /// Returns the number of bytes that wait for the caller.
    pub fn queued_bytes(&self) -> usize {
        self.queued.get() as usize
    }

    /// Waits until the body was dropped.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Payload::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map(|it| it.map(|it| it.map_err(|never: Infallible| match never {}))),
            Payload::Streamed(chunks) => chunks.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Buffered(body) => body.is_end_stream(),
            Payload::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Buffered(body) => body.size_hint(),
            Payload::Streamed(_) => SizeHint::default(),
        }
    }
}

/// A response body that records how much of it was taken.
#[derive(Debug)]
pub struct Tracked {
    payload: Payload,
    progress: Rc<Progress>,
}

impl Tracked {
    /// Tracks the body of the current response on a connection.
    pub fn new(payload: Payload, progress: Rc<Progress>) -> Tracked {
        Tracked { payload, progress }
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.payload).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.progress.record_taken(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.payload.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.payload.size_hint()
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.progress.end_body(self.payload.remaining());
    }
}
