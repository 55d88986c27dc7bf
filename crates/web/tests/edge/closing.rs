//! Tests that closed connections lose neither responses nor requests.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use web::request::Request;
use web::response::Responder;
use web::server::Limits;
use web::server::Server;
use web::server::Task;

use crate::CONNECTIONS;
use crate::TEST_TIMEOUT;
use crate::caller;
use crate::caller::Caller;
use crate::echo;
use crate::limits;
use crate::start;

/// More than the sockets of both sides hold.
const LARGE_BYTES: usize = 8 << 20;
/// Time for which the blocking handler keeps the server from accepting and reading.
const BLOCKED: Duration = Duration::from_millis(300);
const REQUEST: &str = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none";

#[test]
fn a_rejection_reaches_a_caller_that_is_still_sending() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);
    let body = "x".repeat(LARGE_BYTES);

    caller.send(&format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {LARGE_BYTES}\r\n\r\n"));
    caller.try_send(&body);
    let response = caller.read_to_end();

    assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
}

#[test]
fn a_rejected_connection_delivers_the_rejection_after_a_late_request() {
    let server = start(echo);
    let open: Vec<Caller> = (0..CONNECTIONS).map(|_| Caller::connect(&server)).collect();
    let mut caller = Caller::connect(&server);

    thread::sleep(Duration::from_millis(50));
    caller.try_send(REQUEST);
    let response = caller.read_to_end();

    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    drop(open);
}

#[test]
fn a_connection_that_waits_to_be_accepted_at_the_stop_gets_an_answer() {
    let server = start_blocking();
    let mut blocking = Caller::connect(&server);
    blocking.send(REQUEST);
    thread::sleep(BLOCKED / 3);
    let mut waiting = Caller::connect(&server);
    waiting.send(REQUEST);

    server.stop();
    let closed_at_once = server.is_closed();
    let response = waiting.read_to_end();

    assert!(!closed_at_once);
    assert!(response.starts_with("HTTP/1.1"), "{response:?}");
    assert!(blocking.read_to_end().starts_with("HTTP/1.1 200"));
}

#[test]
fn a_request_received_on_an_idle_connection_at_the_stop_gets_an_answer() {
    let server = start_blocking();
    let mut kept = Caller::connect(&server);
    kept.send(REQUEST);
    assert_eq!(kept.read_response(), "one");
    let mut blocking = Caller::connect(&server);
    blocking.send(REQUEST);
    thread::sleep(BLOCKED / 3);
    kept.send(REQUEST);

    server.stop();
    let response = kept.read_to_end();

    assert!(response.starts_with("HTTP/1.1"), "{response:?}");
    let is_served = response.starts_with("HTTP/1.1 200");
    assert!(is_served || response.contains("not_run"), "{response:?}");
}

#[test]
fn a_connection_is_open_until_its_caller_has_received_the_response() {
    let server = start(|_, responder| {
        let _ = responder.send_typed(200, "text/plain", &vec![b'x'; LARGE_BYTES]);
    });
    let mut caller = Caller::connect(&server);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(caller::wait_until(TEST_TIMEOUT, || server.progress().unsent_bytes > 0));

    server.stop();
    thread::sleep(Duration::from_millis(100));
    let progress = server.progress();
    let response = caller.read_to_end();
    drop(caller);

    assert!(progress.connections == 1 && progress.requests == 1, "{progress:?}");
    assert!(response.len() > LARGE_BYTES, "{} bytes arrived", response.len());
    let closed = caller::wait_until(TEST_TIMEOUT, || server.is_closed());
    assert!(closed, "{:?}", server.progress());
    assert_eq!(server.progress().unsent_bytes, 0);
}

#[test]
fn responses_announce_that_their_connections_are_closed() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);
    caller.send(REQUEST);
    assert_eq!(caller.read_response(), "one");

    server.close_connections();
    caller.send(REQUEST);
    let response = caller.read_to_end();

    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.to_lowercase().contains("connection: close"), "{response:?}");
}

#[test]
fn a_caller_that_never_reads_does_not_keep_its_connection_open() {
    let server = start(|_, responder| {
        let _ = responder.send_typed(200, "text/plain", &vec![b'x'; LARGE_BYTES]);
    });
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    let is_open = caller::wait_until(TEST_TIMEOUT, || server.progress().connections == 1);
    let closed = caller::wait_until(TEST_TIMEOUT, || server.progress().connections == 0);

    assert!(is_open && closed, "{:?}", server.progress());
    drop(caller);
}

/// Starts a server whose handler blocks the server's thread, and so delays everything else.
fn start_blocking() -> Server {
    let handler = |request: Request, responder: Responder| -> Task {
        Box::pin(async move {
            thread::sleep(BLOCKED);
            echo(request, responder);
        })
    };
    let limits = Limits { write_timeout: TEST_TIMEOUT, ..limits() };
    Server::start_async("127.0.0.1:0", limits, Arc::new(handler)).unwrap()
}
