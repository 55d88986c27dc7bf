//! Tests how streamed bodies end.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use relay::body;
use relay::body::Payload;

#[tokio::test]
async fn a_body_that_is_finished_ends_in_order() {
    let (chunks, payload) = body::channel(4);
    chunks.send(Ok(Bytes::from_static(b"all"))).await.unwrap();

    chunks.finish();
    let received = payload.collect().await.unwrap();

    assert_eq!(received.to_bytes(), "all");
}

/// Guards against a task that ends without a word, for example by a panic.
#[tokio::test]
async fn a_body_whose_sender_is_dropped_fails() {
    let (chunks, mut payload) = body::channel(4);
    chunks.send(Ok(Bytes::from_static(b"half"))).await.unwrap();

    drop(chunks);

    assert_eq!(next(&mut payload).await.unwrap().unwrap(), "half");
    assert!(next(&mut payload).await.unwrap().is_err(), "the body looks complete");
}

async fn next(payload: &mut Payload) -> Option<io::Result<Bytes>> {
    let frame = poll_fn(|cx| Pin::new(&mut *payload).poll_frame(cx)).await?;
    Some(frame.map(|it| it.into_data().unwrap_or_default()))
}
