//! Bodies of answers to callers.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc::Receiver;

/// A body that is there, or one that comes in pieces and may break.
#[derive(Debug)]
pub enum Answer {
    /// The whole body.
    Whole(Full<Bytes>),
    /// Pieces; an error breaks the connection, so that the answer does not
    /// look complete.
    Pieces(Receiver<io::Result<Bytes>>),
}

impl Answer {
    /// A whole body.
    pub fn whole(bytes: Bytes) -> Answer {
        Answer::Whole(Full::new(bytes))
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Answer::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map(|it| it.map(|it| it.map_err(|never: Infallible| match never {}))),
            Answer::Pieces(pieces) => {
                pieces.poll_recv(cx).map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Answer::Whole(body) => body.is_end_stream(),
            Answer::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Whole(body) => body.size_hint(),
            Answer::Pieces(_) => SizeHint::default(),
        }
    }
}
