//! Bodies of responses to callers.

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

/// A response body: buffered, or streamed with the possibility of an error.
#[derive(Debug)]
pub enum Payload {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// Chunks of the body. An error aborts the connection, so that the caller
    /// doesn't mistake a partial response for a complete one.
    Streamed(Receiver<io::Result<Bytes>>),
}

impl Payload {
    /// Creates a buffered body.
    pub fn buffered(bytes: Bytes) -> Payload {
        Payload::Buffered(Full::new(bytes))
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
            Payload::Streamed(chunks) => {
                chunks.poll_recv(cx).map(|it| it.map(|it| it.map(Frame::data)))
            }
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
