//! Connections between daemons that nobody uses.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use peer::transport::Command;
use peer::transport::Event;
use peer::transport::StreamId;
use peer::transport::Transport;
use peer::wire::Frame;

const SECRET: &str = "secret of this test";
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Longer than a connection without streams is kept.
const CLOSED_LIMIT: Duration = Duration::from_secs(40);

#[test]
fn an_idle_connection_is_closed_and_another_one_opened_when_needed() {
    let (client, replies) = start();
    let (server, requests) = start();
    let before = sockets();

    exchange(&client, &replies, &server, &requests, StreamId(4));
    let connected = sockets();
    wait_until(CLOSED_LIMIT, || sockets() == before);
    exchange(&client, &replies, &server, &requests, StreamId(8));

    assert_eq!(connected, before + 2, "both ends of one connection");
    assert_eq!(sockets(), before + 2, "a new connection");
}

/// Sends a frame one way and its answer the other way.
fn exchange(
    client: &Transport,
    replies: &Receiver<Event>,
    server: &Transport,
    requests: &Receiver<Event>,
    stream: StreamId,
) {
    let peer: SocketAddr = server.address;
    client.command(Command::Open { stream, peer, frame: Frame::HandoverTaken });
    let Ok(Event::Frame { stream: incoming, .. }) = requests.recv_timeout(ANSWER_LIMIT) else {
        panic!("no request came");
    };
    server.command(Command::Send { stream: incoming, frame: Frame::HandoverTaken });
    server.command(Command::Finish { stream: incoming });
    let reply = replies.recv_timeout(ANSWER_LIMIT);
    assert!(matches!(reply, Ok(Event::Frame { .. })), "{reply:?}");
    client.command(Command::Finish { stream });
    let ends = [replies.recv_timeout(ANSWER_LIMIT), requests.recv_timeout(ANSWER_LIMIT)];
    assert!(ends.iter().all(|it| matches!(it, Ok(Event::Finished { .. }))), "{ends:?}");
}

fn start() -> (Transport, Receiver<Event>) {
    let (events, received) = channel();
    let sink = Arc::new(move |event: Event| {
        let _ = events.send(event);
    });
    let transport = Transport::start("127.0.0.1:0", SECRET, sink).expect("a free port");
    (transport, received)
}

/// Sockets of this process.
fn sockets() -> usize {
    let entries = fs::read_dir("/proc/self/fd").expect("the descriptors of this process");
    let targets = entries.flatten().filter_map(|it| fs::read_link(it.path()).ok());
    targets.filter(|it| it.to_string_lossy().starts_with("socket:")).count()
}

fn wait_until(limit: Duration, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain");
        thread::sleep(Duration::from_millis(50));
    }
}
