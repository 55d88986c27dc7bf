//! Runs one stream: sends this daemon's frames and receives the peer's.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;
use h2::client::ResponseFuture;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use membership::protocol::Protocol;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use crate::connection::Connections;
use crate::connection::Ready;
use crate::traffic;
use crate::transport::Event;
use crate::transport::Sink;
use crate::transport::StreamId;
use crate::watch::OpenStream;
use crate::wire;
use crate::wire::Frame;

/// Header in which the acceptor of a stream states the messages that it understands.
const PROTOCOL_HEADER: &str = "lentilhook-protocol";

static NEXT_INCOMING: AtomicU64 = AtomicU64::new(1);

/// A stream opened by a peer.
pub struct Incoming {
    /// Identifier of the stream; always odd.
    pub stream: StreamId,
    /// Sender of frames to the peer; dropping it ends this side of the stream.
    pub frames: UnboundedSender<Frame>,
}

/// Opens a stream to a peer and runs it until both sides end or it fails.
pub async fn outgoing(
    connections: Connections,
    peer: SocketAddr,
    stream: StreamId,
    frames: UnboundedReceiver<Frame>,
    sink: Sink,
) {
    let opened = open(&connections, peer).await;
    let Opened { response, out, open_stream } = match opened {
        Ok(opened) => opened,
        Err(detail) => {
            sink(Event::Failed { stream, sent: false, detail });
            return;
        }
    };
    // Frames are sent before the response arrives, since the peer responds to the first frame.
    let body = async {
        let response = response.await.map_err(|it| it.to_string())?;
        sink(Event::Accepted { stream, protocol: stated_protocol(&response) });
        Ok(response.into_body())
    };
    if let Err(detail) = pump(stream, out, body, frames, &sink, &open_stream).await {
        connections.remove(peer);
        sink(Event::Failed { stream, sent: true, detail });
    }
}

/// Runs a stream opened by a peer until both sides end or it fails.
pub async fn incoming(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    sink: Sink,
    incoming: UnboundedSender<Incoming>,
    open_stream: OpenStream,
) {
    let stream = StreamId(NEXT_INCOMING.fetch_add(2, Ordering::Relaxed));
    let (sender, frames) = unbounded_channel();
    let _ = incoming.send(Incoming { stream, frames: sender });
    let mut response = Response::new(());
    response.headers_mut().insert(PROTOCOL_HEADER, Protocol::PRESENT.number().into());
    let result = match respond.send_response(response, false) {
        Ok(out) => {
            let body = async { Ok(request.into_body()) };
            pump(stream, out, body, frames, &sink, &open_stream).await
        }
        Err(error) => Err(error.to_string()),
    };
    if let Err(detail) = result {
        sink(Event::Failed { stream, sent: true, detail });
    }
}

/// A stream that this daemon opened.
struct Opened {
    response: ResponseFuture,
    out: SendStream<Bytes>,
    open_stream: OpenStream,
}

async fn open(connections: &Connections, peer: SocketAddr) -> Result<Opened, String> {
    let Ready { mut sender, stream } = connections.get(peer).await?;
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{peer}/"))
        .body(())
        .map_err(|it| it.to_string())?;
    let (response, out) = sender.send_request(request, false).map_err(|it| {
        connections.remove(peer);
        it.to_string()
    })?;
    Ok(Opened { response, out, open_stream: stream })
}

/// Returns the messages that the peer understands. Earlier builds state no version.
fn stated_protocol(response: &Response<RecvStream>) -> Protocol {
    let value = response.headers().get(PROTOCOL_HEADER);
    let number = value.and_then(|it| it.to_str().ok()?.parse().ok());
    number.map_or(Protocol::Unstated, Protocol::from_number)
}

/// Sends and receives frames until both sides of the stream have ended.
async fn pump(
    stream: StreamId,
    out: SendStream<Bytes>,
    body: impl Future<Output = Result<RecvStream, String>>,
    frames: UnboundedReceiver<Frame>,
    sink: &Sink,
    open_stream: &OpenStream,
) -> Result<(), String> {
    let sending = send_all(out, frames, open_stream);
    let receiving = receive_all(stream, body, sink, open_stream);
    tokio::try_join!(sending, receiving)?;
    Ok(())
}

async fn send_all(
    mut out: SendStream<Bytes>,
    mut frames: UnboundedReceiver<Frame>,
    open_stream: &OpenStream,
) -> Result<(), String> {
    while let Some(frame) = frames.recv().await {
        if frame.is_one_way() {
            open_stream.set_one_way();
        }
        let bytes = wire::encode(&frame).map_err(|it| it.to_string())?;
        traffic::count_sent(&frame, bytes.len());
        out.send_data(bytes, false).map_err(|it| it.to_string())?;
        open_stream.record_sent();
    }
    out.send_data(Bytes::new(), true).map_err(|it| it.to_string())
}

async fn receive_all(
    stream: StreamId,
    body: impl Future<Output = Result<RecvStream, String>>,
    sink: &Sink,
    open_stream: &OpenStream,
) -> Result<(), String> {
    let mut body = body.await?;
    let mut buffer = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.map_err(|it| it.to_string())?;
        let _ = body.flow_control().release_capacity(data.len());
        buffer.extend_from_slice(&data);
        loop {
            match wire::decode(&mut buffer) {
                Ok(Some(frame)) => {
                    if frame.is_one_way() {
                        open_stream.set_one_way();
                    }
                    sink(Event::Frame { stream, frame });
                }
                Ok(None) => break,
                Err(error @ wire::Error::UnknownMessage { .. }) => {
                    sink(Event::Skipped { stream, detail: error.to_string() });
                }
                Err(error) => return Err(error.to_string()),
            }
        }
    }
    sink(Event::Finished { stream });
    Ok(())
}
