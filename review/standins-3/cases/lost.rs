//! Runners begin to answer before they read a long body, and read on some seconds later.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::Verdict;
use super::put_config;
use super::send;
use crate::daemon::Daemons;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::runner;
use crate::runner::Runner;
use crate::store::Store;

/// Number of streams.
const STREAMS: usize = 24;
/// Size of a request; the configuration allows 4 MiB.
const BODY_BYTES: usize = 512 * 1_024;
/// Number of events of a stream, and the pause between two.
const EVENTS: u64 = 16;
const PAUSE: Duration = Duration::from_millis(300);
/// Runners that read late: half of them.
const LATE: [&str; 2] = ["i-0", "i-1"];
/// Event after which such a runner reads the body that it has left.
const LAST_BEFORE_BODY: u64 = 14;
/// Time after the first streams at which one of the three daemons gets SIGTERM.
const TERM_AT: Duration = Duration::from_millis(500);
/// Number of channels of calm machines that may be closed without an answer.
const TOLERATED: usize = 3;

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let record = Record::new();
    let store = Store::start();
    put_config(&store);
    for index in 0..4 {
        let record = record.clone();
        let handler = move |runner: &Runner, connection: &mut Connection, head: &Head| {
            serve(runner, connection, head, &record, has_trouble)
        };
        Runner::start(&format!("i-{index}"), 64, &store, Arc::new(handler));
    }
    let Some(daemons) = Daemons::start(3, &store) else { return Verdict::NotRun };
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let daemon = number % daemons.all.len();
            let (to, record) = (daemons.all[daemon].callers, record.clone());
            thread::spawn(move || consume(daemon, to, &format!("s{number}"), &record))
        })
        .collect();
    thread::sleep(TERM_AT);
    record.add("daemon-0", "gets SIGTERM", "", "");
    daemons.all[0].terminate();
    for consumer in consumers {
        let _ = consumer.join();
    }
    judge(&record, folder)
}

/// Streams events. A runner that reads late does so before it has read the whole request.
fn serve(
    runner: &Runner,
    connection: &mut Connection,
    head: &Head,
    record: &Record,
    has_trouble: bool,
) -> bool {
    if head.target().starts_with("/safe/") {
        return runner::answer(connection, head, "200 OK", "", "ok");
    }
    let id = head.id();
    let is_late = has_trouble && LATE.contains(&runner.id.as_str());
    record.add(&runner.id, "arrives", id, "");
    let read = |connection: &mut Connection| {
        let read = connection.body(head).map(|it| it.len());
        record.add(&runner.id, "reads the body", id, &format!("{read:?}"));
        read.is_ok_and(|it| it == BODY_BYTES)
    };
    if !is_late && !read(connection) || !runner::begin_stream(connection, head) {
        return false;
    }
    for number in 1..=EVENTS {
        if !runner::chunk(connection, &format!("id: {number}\ndata: t\n\n")) {
            record.add(&runner.id, "stops", id, "its channel was closed");
            return false;
        }
        thread::sleep(PAUSE);
        if is_late && number == LAST_BEFORE_BODY && !read(connection) {
            return false;
        }
    }
    record.add(&runner.id, "ends", id, "");
    runner::chunk(connection, "")
}

/// Sends a short request and, on the same channel, a long one whose answer is a stream.
fn consume(daemon: usize, to: SocketAddr, id: &str, record: &Record) {
    let by = format!("daemon-{daemon}");
    let Some(mut connection) = send(to, "GET", &format!("/safe/{id}"), &format!("{id}-a"), "")
    else {
        return;
    };
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(12)));
    let Ok(head) = connection.head() else { return };
    if connection.body(&head).is_err() {
        return;
    }
    let head = format!(
        "POST /draft/{id} HTTP/1.1\r\nHost: office.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 12000\r\nAuthorization: Token key-1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let body = vec![b'b'; BODY_BYTES];
    let stream = &mut connection.stream;
    if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_err() {
        return;
    }
    record.add(&by, "has all of", id, &format!("{BODY_BYTES} bytes on a kept channel"));
    let Ok(head) = connection.head() else { return record.add(&by, "cuts", id, "no answer") };
    record.add(&by, "answers", id, &head.start);
    for events in 0.. {
        match connection.chunk() {
            Ok(chunk) if chunk.is_empty() => {
                return record.add(&by, "completes", id, &format!("{events} events"));
            }
            Ok(_) => {}
            Err(_) => return record.add(&by, "cuts", id, &format!("after {events} events")),
        }
    }
}

/// LOST: channels end without a complete answer once the request has been passed on to a runner
/// that is sound: of a machine after its SIGTERM, or more than three kept channels of others.
fn judge(record: &Record, folder: &Path) -> Verdict {
    let lines = record.lines();
    let cut = |is_stopping: bool| {
        let cuts = lines.iter().filter(|it| it.event == "cuts");
        cuts.filter(|it| (it.by == "daemon-0") == is_stopping).count()
    };
    let sent = lines.iter().filter(|it| it.event == "has all of").count();
    let (planned, kept) = (cut(true), cut(false));
    let conclusion = format!(
        "{sent} streams; {planned} were cut at the machine that got SIGTERM, {kept} at the others"
    );
    println!("{conclusion}");
    record.write(folder, &[conclusion]);
    match () {
        () if sent < STREAMS => Verdict::NotRun,
        () if planned > 0 || kept > TOLERATED => Verdict::Broken,
        () => Verdict::Held,
    }
}
