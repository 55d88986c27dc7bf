//! Response bodies in the form that `hyper` expects.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc::Receiver;

use crate::ending::Ending;
use crate::server::OpenRequest;

/// A response body. The request counts as open until the body and its chunks are dropped.
pub(crate) struct ResponseBody {
    content: Content,
    truncated: bool,
    ending: Arc<Ending>,
    open: Arc<OpenRequest>,
}

/// A chunk of a body, which `hyper` drops once it is written to the socket.
pub(crate) struct Chunk {
    bytes: Bytes,
    open: Arc<OpenRequest>,
}

/// Source of the bytes of a response body.
pub(crate) enum Content {
    /// The complete body.
    Full(Bytes),
    /// Parts received while the body is sent.
    Stream(Receiver<Part>),
}

/// A part of a streamed response.
pub(crate) enum Part {
    /// A chunk of the body.
    Chunk(Bytes),
    /// Marks the response as complete.
    End,
}

impl ResponseBody {
    pub(crate) fn new(content: Content, ending: Arc<Ending>, open: OpenRequest) -> ResponseBody {
        ResponseBody { content, truncated: false, ending, open: Arc::new(open) }
    }

    fn frame(&self, bytes: Bytes) -> Frame<Chunk> {
        self.open.add_unsent(bytes.len());
        Frame::data(Chunk { bytes, open: Arc::clone(&self.open) })
    }
}

impl Body for ResponseBody {
    type Data = Chunk;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Chunk>>>> {
        let body = &mut *self;
        match &mut body.content {
            Content::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Content::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready(Some(Ok(body.frame(bytes))))
            }
            Content::Stream(parts) => match parts.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Part::Chunk(bytes))) => Poll::Ready(Some(Ok(body.frame(bytes)))),
                Poll::Ready(Some(Part::End)) => {
                    body.ending.finish();
                    Poll::Ready(None)
                }
                // The stream was dropped before its end. Flush the buffered bytes first, then
                // abort the connection so that the caller can't treat the response as complete.
                Poll::Ready(None) if !body.truncated => {
                    body.truncated = true;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into()))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Full(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

impl Buf for Chunk {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        self.open.remove_unsent(count);
    }
}

impl Drop for Chunk {
    fn drop(&mut self) {
        self.open.remove_unsent(self.bytes.remaining());
    }
}
