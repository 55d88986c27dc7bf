//! Tests calls to plain services whose responses break off or have unusual statuses.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use endpoint::attempt::AttemptId;
use endpoint::attempt::Event;
use endpoint::attempt::Failure;
use endpoint::attempt::Request;
use endpoint::attempt::start;
use endpoint::plain;
use job::call::Idempotency;
use job::call::Plain;

/// Size of a body that a connection doesn't hold.
const LARGE_BYTES: usize = 8 << 20;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against statuses that belong to no class and are passed on as responses.
#[test]
fn a_status_without_a_class_is_no_response() {
    let check = |status: &str, expected: Option<u16>| {
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok");

        let event = call(response, 10);

        match expected {
            Some(expected) => assert!(
                matches!(&event, Event::Answered(it) if it.status == expected),
                "{status}: {event:?}"
            ),
            None => {
                assert!(matches!(event, Event::Failed(Failure::Broken(_))), "{status}: {event:?}")
            }
        }
    };

    check("200 OK", Some(200));
    check("404 X", Some(404));
    check("599 X", Some(599));
    check("000 None", None);
    check("600 X", None);
    check("999 X", None);
}

/// Guards against a part of a response that is taken for the whole one, as the connection ends
/// while the request is being written.
#[test]
fn a_response_that_breaks_off_in_an_upload_is_broken() {
    let response = "HTTP/1.1 200 OK\r\n\r\na part of".to_owned();

    let event = call(response, LARGE_BYTES);

    assert!(matches!(event, Event::Failed(Failure::Broken(_))), "{event:?}");
}

/// Calls a service that responds once it has read the head of the request, closes its connection for
/// writing, and drops it later.
fn call(response: String, body_bytes: usize) -> Event {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        // Further connections only ask whether the service listens.
        let mut stream = listener.accept().unwrap().0;
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::from("head");
        while !line.trim().is_empty() {
            line.clear();
            reader.read_line(&mut line).unwrap();
        }
        if body_bytes < LARGE_BYTES {
            reader.read_exact(&mut vec![0; body_bytes]).unwrap();
        }
        stream.write_all(response.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        thread::sleep(Duration::from_millis(50));
        drop((stream, reader));
        while listener.accept().is_ok() {}
    });
    let request = plain::Request {
        call: Plain {
            method: "POST".to_owned(),
            target: "/".to_owned(),
            media_type: String::new(),
            body: vec![b'x'; body_bytes],
            idempotency: Idempotency::NonIdempotent,
        },
        key: None,
        fence: None,
        fresh_connection: true,
        timeout: TIMEOUT,
    };
    let (events, received) = channel();
    let sink = Arc::new(move |_, event| events.send(event).unwrap());
    start(AttemptId(1), &address, Request::Plain(request), sink);
    received.recv_timeout(TIMEOUT * 2).unwrap()
}
