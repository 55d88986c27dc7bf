//! The server against callers that are slow, many, greedy or gone.

mod caller;

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;

use web::answer::Responder;
use web::request::Request;
use web::server::Limits;
use web::server::Server;
use web::server::Task;

use crate::caller::Caller;

const BODY_BYTES: usize = 1000;
const CONNECTIONS: usize = 8;
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Far beyond every limit of the server, and an end for a test that fails.
const PATIENCE: Duration = Duration::from_secs(10);

#[test]
fn a_trickled_head_is_cut() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);

    let lasted = caller.trickle("GET / HTTP/1.1\r\nX-Slow: ", READ_TIMEOUT / 4, PATIENCE);

    assert!(lasted < PATIENCE, "a head may be sent for ever");
}

#[test]
fn a_trickled_body_is_cut() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);

    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n");
    let lasted = caller.trickle("", READ_TIMEOUT / 4, PATIENCE);

    assert!(lasted < PATIENCE, "a body may be sent for ever");
}

#[test]
fn idle_connections_do_not_keep_others_out() {
    let server = start(echo);
    let idle: Vec<Caller> = (0..CONNECTIONS * 3).map(|_| Caller::connect(&server)).collect();

    let refused = Caller::connect(&server).ask_once("first");
    let served = caller::wait_until(PATIENCE, || {
        Caller::connect(&server).ask_once("late").starts_with("HTTP/1.1 200")
    });

    assert!(refused.starts_with("HTTP/1.1 503"), "{refused:?}");
    assert!(refused.contains("not_run") && refused.to_lowercase().contains("retry-after"));
    assert!(served, "idle connections hold their places for ever");
    drop(idle);
}

#[test]
fn too_large_bodies_are_refused() {
    let server = start(echo);
    let large = "x".repeat(BODY_BYTES + 1);
    let length = large.len();

    check(&format!("Content-Length: {length}\r\n\r\n{large}"));
    check(&format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{large}\r\n0\r\n\r\n"));

    fn check(rest: &str) {
        let server = start(echo);
        let mut caller = Caller::connect(&server);
        caller.send(&format!("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{rest}"));
        let answer = caller.read_to_end();
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer:?}");
    }
    drop(server);
}

#[test]
fn a_too_large_head_is_refused() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);

    caller.try_send(&format!("GET / HTTP/1.1\r\nX-Large: {}\r\n\r\n", "x".repeat(1 << 20)));
    let answer = caller.read_to_end();

    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = start(echo);
    let mut caller = Caller::connect(&server);

    for body in ["one", "two", "six"] {
        caller.send(&format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n{body}"));
    }
    let answers: Vec<String> = (0..3).map(|_| caller.read_answer()).collect();

    assert_eq!(answers, ["one", "two", "six"]);
}

#[test]
fn a_caller_gone_in_the_midst_ends_the_stream() {
    let (server, ended) = start_streaming();
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.read_some();
    drop(caller);

    assert!(ended.recv_timeout(PATIENCE).is_ok(), "the stream goes on for nobody");
}

#[test]
fn a_stream_dropped_before_its_end_is_cut() {
    let server = start(|_, responder| {
        let mut stream = responder.stream(200, &[]).unwrap();
        stream.send(b"half").unwrap();
    });
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let answer = caller.read_to_end();

    assert!(answer.contains("half"), "{answer:?}");
    assert!(!answer.ends_with("0\r\n\r\n"), "a cut stream can be taken for a whole one");
}

#[test]
fn a_caller_gone_before_its_answer_is_noticed() {
    let (noticed, receiver) = channel();
    let server = start_tasks(move |mut responder| {
        let noticed = noticed.clone();
        Box::pin(async move {
            responder.gone().await;
            let _ = noticed.send(());
        })
    });
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let waits = caller::wait_until(PATIENCE, || server.open_requests() == 1);
    drop(caller);

    assert!(waits);
    assert!(receiver.recv_timeout(PATIENCE).is_ok(), "the request waits for nobody");
}

#[test]
fn a_caller_that_reads_nothing_is_left() {
    let (ended, receiver) = channel();
    let server = start_tasks(move |responder| {
        let ended = ended.clone();
        Box::pin(async move {
            let mut stream = responder.stream(200, &[]).unwrap();
            while stream.push(vec![0; 64 * 1024]).await.is_ok() {}
            let _ = ended.send(());
        })
    });
    let mut caller = Caller::connect(&server);

    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    let left = receiver.recv_timeout(PATIENCE).is_ok();
    let closed = caller::wait_until(PATIENCE, || server.open_requests() == 0);

    assert!(left, "the stream waits for ever");
    assert!(closed, "the connection stays for ever");
}

fn start_tasks(serve: impl Fn(Responder) -> Task + Send + Sync + 'static) -> Server {
    let handler = move |_: Request, responder: Responder| serve(responder);
    Server::start_tasks("127.0.0.1:0", limits(), Arc::new(handler)).unwrap()
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
        while stream.send(b"piece").is_ok() {
            std::thread::sleep(Duration::from_millis(1));
        }
        let _ = ended.send(());
    });
    (server, receiver)
}

fn echo(request: Request, responder: Responder) {
    let _ = responder.send_typed(200, "text/plain", &request.body);
}
