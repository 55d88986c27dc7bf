//! Messages between two daemons on loopback.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use front::event::Event;
use front::peers::Streams;
use membership::digest::Message;
use membership::digest::Report;
use membership::protocol::Protocol;
use peer::transport::StreamId;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;

const SECRET: &str = "secret of this test";
const TIMEOUT: Duration = Duration::from_secs(2);

#[test]
fn a_stream_that_is_older_than_its_daemon_is_replaced() {
    let (mut sender, ..) = start();
    let (_receiver, mut events, address) = start();
    let opened_at = Instant::now();
    sender.send(address, &pull(1), opened_at);
    assert_eq!(next_message(&mut events), Some(pull(1)));

    sender.remove_outdated(address, opened_at + Duration::from_secs(1));
    sender.send(address, &pull(2), opened_at + Duration::from_secs(2));

    assert_eq!(next_message(&mut events), Some(pull(2)));
}

#[test]
fn a_daemon_gets_only_messages_that_it_has_said_to_understand() {
    let (mut sender, mut own_events, _) = start();
    let (_receiver, mut events, address) = start();
    let now = Instant::now();

    sender.send(address, &usage(1), now);
    sender.send(address, &pull(1), now);
    let before_acceptance = next_message(&mut events);
    let (stream, protocol) = next_acceptance(&mut own_events);
    let accepted = sender.set_protocol(stream, protocol);
    sender.send(address, &usage(2), now);
    let after_acceptance = next_message(&mut events);

    assert_eq!(before_acceptance, Some(pull(1)));
    assert_eq!((accepted, protocol), (Some(address), Protocol::PRESENT));
    assert_eq!(after_acceptance, Some(usage(2)));
}

fn pull(config_version: u64) -> Message {
    let to = SocketAddr::from(([127, 0, 0, 1], 1));
    Message::Pull { to, config_version, roster_version: 0 }
}

/// Waits until a stream is accepted.
fn next_acceptance(events: &mut UnboundedReceiver<Event>) -> (StreamId, Protocol) {
    match events.blocking_recv() {
        Some(Event::PeerAccepted { stream, protocol }) => (stream, protocol),
        event => panic!("{event:?}"),
    }
}

fn usage(settled: u64) -> Message {
    let report = Report { windows: Vec::new(), settled, work_ms: Vec::new() };
    Message::Usage { daemon: "daemon".to_owned(), report }
}

fn start() -> (Streams, UnboundedReceiver<Event>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address of the listener");
    drop(listener);
    let (events, received) = unbounded_channel();
    let mut streams = Streams::new();
    streams.start(address, SECRET, events).expect("the port is free");
    (streams, received, address)
}

/// Waits for the next message that is handled at once.
fn next_message(events: &mut UnboundedReceiver<Event>) -> Option<Message> {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        match events.try_recv() {
            Ok(Event::Peer(message)) => return Some(*message),
            Ok(event) => panic!("{event:?}"),
            Err(_) => sleep(Duration::from_millis(5)),
        }
    }
    None
}
