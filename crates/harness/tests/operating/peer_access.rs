//! A daemon rejects peers that don't know the shared secret.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;

use job::call::Body;
use job::call::Call;
use job::call::Chat;
use peer::transport::Command;
use peer::transport::Event;
use peer::transport::StreamId;
use peer::transport::Transport;
use peer::wire::Forward;
use peer::wire::Frame;

use crate::start;

#[test]
fn a_peer_without_the_secret_is_rejected() {
    let cluster = start(1);
    let address = &cluster.daemons[0].peers;

    let correct = is_answered(address, "peer secret of this run");
    let wrong = is_answered(address, "peer secret of this rum");
    let empty = is_answered(address, "");

    assert_eq!((correct, wrong, empty), (true, false, false));
}

/// Whether a daemon responds to a call that is forwarded with this secret.
fn is_answered(address: &str, secret: &str) -> bool {
    let (events, received) = channel();
    let sink = move |event: Event| {
        if !matches!(event, Event::Accepted { .. }) {
            let _ = events.send(event);
        }
    };
    let transport = Transport::start("127.0.0.1:0", secret, Arc::new(sink)).unwrap();
    let stream = StreamId(4);
    let frame = Frame::Forward(Box::new(Forward { call: call(), hops: 1 }));

    transport.command(Command::Open { stream, peer: address.parse().unwrap(), frame });
    matches!(received.recv_timeout(Duration::from_secs(10)).unwrap(), Event::Frame { .. })
}

fn call() -> Call {
    let chat = Chat {
        messages: "[{\"content\":\"hello\"}]".to_owned(),
        prompt: "hello".to_owned(),
        max_tokens: 2,
        from_index: 0,
    };
    Call {
        id: 1,
        workspace: "office".to_owned(),
        service: harness::cluster::MODEL_SERVICE.to_owned(),
        key: None,
        time_left_ms: 0,
        body: Body::Chat(chat),
    }
}
