//! Authentication of peers by a shared secret that is never sent.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;

use job::reply::Reply;
use job::reply::Usage;
use peer::transport::Command;
use peer::transport::Event;
use peer::transport::StreamId;
use peer::transport::Transport;
use peer::wire::Frame;

const SECRET: &str = "the secret of all daemons";
const TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn only_peers_with_the_secret_are_accepted() {
    let (acceptor, received) = start(SECRET);

    for secret in ["another secret", ""] {
        let (opener, events) = start(secret);
        open(&opener, acceptor.address);

        let reply = events.recv_timeout(TIMEOUT);

        assert!(matches!(reply, Ok(Event::Failed { .. })), "{secret:?}: {reply:?}");
        assert!(received.try_recv().is_err(), "a frame of a peer with {secret:?} was accepted");
    }
    let (opener, _events) = start(SECRET);
    open(&opener, acceptor.address);
    assert!(received.recv_timeout(TIMEOUT).is_ok());

    fn open(opener: &Transport, peer: std::net::SocketAddr) {
        let stream = StreamId(2);
        opener.command(Command::Open { stream, peer, frame: frame() });
        opener.command(Command::Finish { stream });
    }
}

#[test]
fn the_secret_is_not_sent_and_a_proof_cannot_be_replayed() {
    let (acceptor, received) = start(SECRET);
    let (opener, _events) = start(SECRET);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();

    let peer = listener.local_addr().unwrap();
    opener.command(Command::Open { stream: StreamId(2), peer, frame: frame() });
    let (mut socket, _) = listener.accept().unwrap();
    socket.write_all(&[7; 32]).unwrap();
    let mut proof = [0; 64];
    socket.read_exact(&mut proof).unwrap();
    let mut second_connection = TcpStream::connect(acceptor.address).unwrap();
    second_connection.set_read_timeout(Some(TIMEOUT)).unwrap();
    second_connection.write_all(&proof).unwrap();
    let mut reply = Vec::new();
    let _ = second_connection.read_to_end(&mut reply);

    let secret = SECRET.as_bytes();
    assert!(!proof.windows(secret.len()).any(|it| it == secret));
    assert_eq!(reply.len(), 32, "only the nonce comes back");
    assert!(received.try_recv().is_err());
}

fn start(secret: &str) -> (Transport, Receiver<Event>) {
    let (events, received) = channel();
    let sink = move |event: Event| {
        let _ = events.send(event);
    };
    (Transport::start("127.0.0.1:0", secret, Arc::new(sink)).unwrap(), received)
}

fn frame() -> Frame {
    Frame::Reply(Reply::Finished(Usage::default()))
}
