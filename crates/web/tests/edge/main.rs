//! Tests the server with callers that are slow, too many, send too much or disconnect.

mod caller;
mod closing;

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;

use web::request::Request;
use web::response::Responder;
use web::server::Limits;
use web::server::Server;
use web::server::Task;

use crate::caller::Caller;

const BODY_BYTES: usize = 1000;
const CONNECTIONS: usize = 8;
/// Number of chunks of a finished stream, more than are buffered for a caller.
const STREAM_CHUNKS: usize = 200;
/// Number of finished streams.
const REPETITIONS: usize = 20;
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Far beyond every limit of the server, but ends a failing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn a_trickled_head_times_out() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);

    let duration = caller.trickle("GET / HTTP/1.1\r\nX-Slow: ", READ_TIMEOUT / 4, TEST_TIMEOUT);

    assert!(duration < TEST_TIMEOUT, "a head can be sent without a time limit");
}

#[test]
fn a_trickled_body_times_out() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);

    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n");
    let duration = caller.trickle("", READ_TIMEOUT / 4, TEST_TIMEOUT);

    assert!(duration < TEST_TIMEOUT, "a body can be sent without a time limit");
}

#[test]
fn idle_connections_do_not_block_others() {
    let server = start(echo);
    let idle: Vec<Caller> = (0..CONNECTIONS * 3).map(|_| Caller::connect(&server)).collect();

    let rejected = Caller::connect(&server).request_once("first");
    let served = caller::wait_until(TEST_TIMEOUT, || {
        Caller::connect(&server).request_once("late").starts_with("HTTP/1.1 200")
    });

    assert!(rejected.starts_with("HTTP/1.1 503"), "{rejected:?}");
    assert!(rejected.contains("not_run") && rejected.to_lowercase().contains("retry-after"));
    assert!(served, "idle connections are never closed");
    drop(idle);
}

#[test]
fn too_large_bodies_are_rejected() {
    let server = start(echo);
    let large = "x".repeat(BODY_BYTES + 1);
    let length = large.len();

    check(&format!("Content-Length: {length}\r\n\r\n{large}"));
    check(&format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{large}\r\n0\r\n\r\n"));

    fn check(rest: &str) {
        let server = start(echo);
        let mut caller = Caller::connect(&server);
        caller.send(&format!("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{rest}"));
        let response = caller.read_to_end();
        assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
    }
    drop(server);
}

#[test]
fn a_too_large_head_is_rejected() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);

    caller.try_send(&format!("GET / HTTP/1.1\r\nX-Large: {}\r\n\r\n", "x".repeat(1 << 20)));
    let response = caller.read_to_end();

    assert!(!response.starts_with("HTTP/1.1 200"), "{response:?}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);

    for body in ["one", "two", "six"] {
        caller.send(&format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n{body}"));
    }
    let responses: Vec<String> = (0..3).map(|_| caller.read_response()).collect();

    assert_eq!(responses, ["one", "two", "six"]);
}

#[test]
fn a_disconnect_during_a_stream_ends_the_stream() {
    let (server, ended) = start_streaming();
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.read_some();
    drop(caller);

    assert!(ended.recv_timeout(TEST_TIMEOUT).is_ok(), "the stream continues after the disconnect");
}

#[test]
fn a_stream_dropped_before_its_end_aborts_the_connection() {
    let server = start(|_, responder| {
        let mut stream = responder.stream(200, &[]).unwrap();
        stream.blocking_send(b"half").unwrap();
    });
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let response = caller.read_to_end();

    assert!(response.contains("half"), "{response:?}");
    assert!(!response.ends_with("0\r\n\r\n"), "a truncated stream looks complete");
}

/// Guards against an orderly end, which is all that marks the end of a stream before HTTP/1.1.
#[test]
fn a_stream_dropped_before_its_end_resets_a_connection_of_http_1_0() {
    let server = start(|_, responder| {
        let mut stream = responder.stream(200, &[]).unwrap();
        stream.blocking_send(b"half").unwrap();
    });
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
    let response = caller.read_to_orderly_end();

    assert_eq!(response, Err(ErrorKind::ConnectionReset));
}

#[test]
fn a_stream_to_its_end_closes_a_connection_of_http_1_0_in_order() {
    for _ in 0..REPETITIONS {
        // A server of its own, as earlier connections may still count as open.
        let server = start(|_, responder| {
            let mut stream = responder.stream(200, &[]).unwrap();
            for _ in 0..STREAM_CHUNKS {
                stream.blocking_send(b"part").unwrap();
            }
            stream.blocking_finish().unwrap();
        });
        let mut caller = Caller::connect(&server);
        caller.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");

        let response = caller.read_to_orderly_end().unwrap();

        assert_eq!(response.matches("part").count(), STREAM_CHUNKS, "{response:?}");
    }
}

#[test]
fn a_disconnect_before_the_response_is_detected() {
    let (detected, receiver) = channel();
    let server = start_async(move |mut responder| {
        let detected = detected.clone();
        Box::pin(async move {
            responder.closed().await;
            let _ = detected.send(());
        })
    });
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let is_open = caller::wait_until(TEST_TIMEOUT, || server.open_requests() == 1);
    drop(caller);

    assert!(is_open);
    assert!(receiver.recv_timeout(TEST_TIMEOUT).is_ok(), "the disconnect is not detected");
}

#[test]
fn a_caller_that_reads_nothing_is_disconnected() {
    let (ended, receiver) = channel();
    let server = start_async(move |responder| {
        let ended = ended.clone();
        Box::pin(async move {
            let mut stream = responder.stream(200, &[]).unwrap();
            while stream.send(vec![0; 64 * 1024]).await.is_ok() {}
            let _ = ended.send(());
        })
    });
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let timed_out = receiver.recv_timeout(TEST_TIMEOUT).is_ok();
    let closed = caller::wait_until(TEST_TIMEOUT, || server.open_requests() == 0);

    assert!(timed_out, "the stream never times out");
    assert!(closed, "the connection is never closed");
}

fn start_async(serve: impl Fn(Responder) -> Task + Send + Sync + 'static) -> Server {
    let handler = move |_: Request, responder: Responder| serve(responder);
    Server::start_async("127.0.0.1:0", limits(), Arc::new(handler)).unwrap()
}

fn start(serve: impl Fn(Request, Responder) + Send + Sync + 'static) -> Server {
    Server::start("127.0.0.1:0", limits(), Arc::new(serve)).unwrap()
}

fn limits() -> Limits {
    Limits {
        body_bytes: BODY_BYTES,
        open_requests: 100,
        connections: CONNECTIONS,
        read_timeout: READ_TIMEOUT,
        write_timeout: READ_TIMEOUT,
    }
}

fn start_streaming() -> (Server, Receiver<()>) {
    let (ended, receiver) = channel();
    let server = start(move |_, responder| {
        let mut stream = responder.stream(200, &[]).unwrap();
        while stream.blocking_send(b"chunk").is_ok() {
            std::thread::sleep(Duration::from_millis(1));
        }
        let _ = ended.send(());
    });
    (server, receiver)
}

fn echo(request: Request, responder: Responder) {
    let _ = responder.send_typed(200, "text/plain", &request.body);
}
