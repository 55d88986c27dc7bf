//! Bodies of answers as the HTTP library takes them.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc::Receiver;

use crate::server::Open;

/// Body of an answer. The request counts as open until it is dropped.
pub(crate) struct AnswerBody {
    content: Content,
    cut: bool,
    _open: Open,
}

/// Where the bytes come from.
pub(crate) enum Content {
    /// All there.
    Whole(Bytes),
    /// Piece by piece.
    Pieces(Receiver<Piece>),
}

/// A piece of a streamed answer.
pub(crate) enum Piece {
    /// Some bytes.
    Chunk(Bytes),
    /// The mark of a complete answer.
    End,
}

impl AnswerBody {
    pub(crate) fn new(content: Content, open: Open) -> AnswerBody {
        AnswerBody { content, cut: false, _open: open }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let body = &mut *self;
        match &mut body.content {
            Content::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Content::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Content::Pieces(pieces) => match pieces.poll_recv(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Piece::Chunk(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Poll::Ready(Some(Piece::End)) => Poll::Ready(None),
                // Dropped before its end: what is buffered goes out, then the
                // connection breaks, so that nobody takes the answer for whole.
                Poll::Ready(None) if !body.cut => {
                    body.cut = true;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into()))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Content::Pieces(_) => SizeHint::default(),
        }
    }
}
