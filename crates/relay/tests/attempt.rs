//! A single attempt at an endpoint on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use relay::admission::Confirmation;
use relay::admission::Message;
use relay::admission::Outcome;
use relay::admission::Plan;
use relay::admission::Target;
use relay::admission::Ticket;
use relay::attempt;
use relay::attempt::Call;
use relay::connection::Pool;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;

#[test]
fn nothing_is_sent_to_an_endpoint_that_left_while_the_connection_was_opened() {
    check(true, Ok(404), true);
    check(false, Err(Outcome::Unreachable), false);
}

/// Sends a request while the broker answers whether its endpoint still takes requests.
fn check(is_usable: bool, expected: Result<u16, Outcome>, is_sent: bool) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = target(listener.local_addr().unwrap());
        let endpoint = spawn_local(serve(listener));
        let (messages, received) = unbounded_channel();
        spawn_local(answer(received, is_usable));
        let ticket = Ticket::new(1, messages);

        let sent = attempt::send(&Pool::default(), &call(), &plan(), &target, &ticket, None).await;
        let outcome = sent.map(|it| it.status.as_u16());
        let received = endpoint.await.unwrap();

        assert_eq!(outcome, expected);
        assert_eq!(!received.is_empty(), is_sent);
    });
}

/// Accepts one connection and returns what it receives first.
async fn serve(listener: TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = vec![0; 4_096];
    let length = stream.read(&mut bytes).await.unwrap_or(0);
    bytes.truncate(length);
    let response = "HTTP/1.1 404 X\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n";
    let _ = stream.write_all(response.as_bytes()).await;
    bytes
}

async fn answer(mut messages: UnboundedReceiver<Message>, is_usable: bool) {
    while let Some(message) = messages.recv().await {
        if let Message::Confirm { reply, .. } = message {
            let confirmation = if is_usable { Confirmation::Sound } else { Confirmation::Unsound };
            reply.send(confirmation).unwrap();
        }
    }
}

fn target(address: SocketAddr) -> Target {
    Target {
        id: "i-0".to_owned(),
        address,
        is_bound: false,
        is_watchable: false,
        is_limited: false,
    }
}

fn plan() -> Plan {
    Plan {
        ticket: 1,
        timeout: Duration::from_secs(1),
        is_idempotent: true,
        is_stream: false,
        workspace: None,
        priority: None,
        strips_key: false,
    }
}

fn call() -> Call {
    Call {
        method: Method::GET,
        uri: "/".parse().unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        id: "r".to_owned(),
        deadline: Instant::now() + Duration::from_secs(1),
        tried: Vec::new(),
    }
}
