//! Ends of connections while a request is being written.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use relay::transport::Transport;
use relay::transport::Upload;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Time in which what one end has sent reaches the other.
const DELIVERY_TIME: Duration = Duration::from_millis(50);
const PART: &[u8] = b"a part of a response";

/// Guards against a reset that a write gets to know, after which a read sees an orderly end.
#[tokio::test]
async fn a_reset_that_a_write_has_noticed_is_no_end_of_a_response() {
    let Pair { mut transport, mut peer, upload } = connect().await;
    let _body = upload.begin(body());
    transport.write_all(b"head").await.unwrap();

    peer.write_all(PART).await.unwrap();
    sleep(DELIVERY_TIME).await;
    reset(peer);
    sleep(DELIVERY_TIME).await;
    transport.write_all(b"more").await.unwrap();
    transport.write_all(b"and more").await.unwrap();
    transport.flush().await.unwrap();
    let (received, result) = read_to_end(&mut transport).await;

    assert_eq!(received, PART, "what came before is read");
    assert!(result.is_err(), "the response looks whole");
    assert!(!upload.is_written());
}

/// Guards against a part of a response whose connection is closed for writing before it is reset.
#[tokio::test]
async fn an_end_counts_once_the_request_was_written() {
    let check = async |is_reset: bool| {
        let Pair { mut transport, mut peer, upload } = connect().await;
        let body = upload.begin(body());
        transport.write_all(b"head").await.unwrap();
        peer.write_all(PART).await.unwrap();
        peer.shutdown().await.unwrap();
        let mut received = [0; PART.len()];
        transport.read_exact(&mut received).await.unwrap();

        let early = timeout(DELIVERY_TIME, transport.read_u8()).await;
        if is_reset {
            reset(peer);
            sleep(DELIVERY_TIME).await;
        }
        body.collect().await.unwrap();
        transport.write_all(b"rest").await.unwrap();
        transport.flush().await.unwrap();
        let (_, result) = read_to_end(&mut transport).await;

        assert!(early.is_err(), "the response ended before its request");
        assert_eq!(result.is_err(), is_reset);
        assert_eq!(upload.is_written(), !is_reset);
    };

    check(false).await;
    check(true).await;
}

#[tokio::test]
async fn a_connection_without_a_request_ends_at_once() {
    let check = async |begins: bool| {
        let Pair { mut transport, peer, upload } = connect().await;
        let _body = begins.then(|| upload.begin(body()));

        drop(peer);
        let (received, result) = read_to_end(&mut transport).await;

        assert_eq!((received.len(), result), (0, Ok(())));
    };

    check(false).await;
    // Nothing of the request was written, so that it can go out on another connection.
    check(true).await;
}

#[tokio::test]
async fn a_request_without_a_body_is_written_with_its_head() {
    let Pair { mut transport, peer: _peer, upload } = connect().await;
    let _body = upload.begin(Full::default());
    transport.flush().await.unwrap();
    let before = upload.is_written();

    transport.write_all(b"head").await.unwrap();
    transport.flush().await.unwrap();

    assert!(!before && upload.is_written());
}

struct Pair {
    transport: Transport,
    peer: TcpStream,
    upload: Upload,
}

async fn connect() -> Pair {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (peer, _) = listener.accept().await.unwrap();
    let upload = Upload::default();
    Pair { transport: Transport::new(stream, upload.clone()), peer, upload }
}

fn body() -> Full<Bytes> {
    Full::from("body")
}

fn reset(peer: TcpStream) {
    SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Returns what is received until the end, and the error with which it ends.
async fn read_to_end(transport: &mut Transport) -> (Vec<u8>, Result<(), ErrorKind>) {
    let mut received = Vec::new();
    let ended = timeout(Duration::from_secs(2), transport.read_to_end(&mut received)).await;
    let result = ended.expect("the connection has an end").map(drop).map_err(|it| it.kind());
    (received, result)
}
