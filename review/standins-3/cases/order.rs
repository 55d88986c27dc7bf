//! Streams whose answers state their length are taken up at other runners.

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
/// Number of events of a stream, and the pause between two.
const EVENTS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(100);
/// Time after the first requests at which one of the four runners crashes, and for how long.
const CRASH_AT: Duration = Duration::from_millis(1_000);
const CRASH_TIME: Duration = Duration::from_millis(4_500);

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let record = Record::new();
    let store = Store::start();
    put_config(&store);
    let runners: Vec<Runner> = (0..4)
        .map(|index| {
            let record = record.clone();
            let handler = move |runner: &Runner, connection: &mut Connection, head: &Head| {
                serve(runner, connection, head, &record)
            };
            Runner::start(&format!("i-{index}"), 64, &store, Arc::new(handler))
        })
        .collect();
    let Some(daemons) = Daemons::start(3, &store) else { return Verdict::NotRun };
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (to, record) = (daemons.all[number % daemons.all.len()].callers, record.clone());
            thread::spawn(move || consume(to, &format!("s{number}"), &record))
        })
        .collect();
    thread::sleep(CRASH_AT);
    if has_trouble {
        record.add(&runners[0].id, "crashes", "", "");
        runners[0].crash(CRASH_TIME);
        record.add(&runners[0].id, "is back", "", "");
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    judge(&record, folder)
}

/// Returns an event. Each runner finds words of its own, so that two runs differ in length.
fn event(runner: &Runner, number: u64) -> String {
    let words = match runner.id.as_str() {
        "i-0" => "a word",
        _ => "another word",
    };
    format!("id: {number}\ndata: {words}\n\n")
}

/// Streams events in an answer that states its length.
fn serve(runner: &Runner, connection: &mut Connection, head: &Head, record: &Record) -> bool {
    let (id, first) = (head.id().to_owned(), runner::last_event(head) + 1);
    record.add(&runner.id, "arrives", &id, &format!("from event {first}"));
    let events: Vec<String> = (first..=EVENTS).map(|it| event(runner, it)).collect();
    let size: usize = events.iter().map(String::len).sum();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 1.2.3\r\n\
         Content-Type: text/event-stream\r\nContent-Length: {size}\r\n\r\n"
    );
    let is_whole = connection.stream.write_all(answer.as_bytes()).is_ok()
        && events.iter().all(|it| {
            connection.stream.write_all(it.as_bytes()).is_ok() && runner.work(connection, PAUSE)
        });
    let cause = if runner.is_down() { "it has crashed" } else { "its channel was closed" };
    match is_whole {
        true => record.add(&runner.id, "ends", &id, &format!("sent events {first} to {EVENTS}")),
        false => record.add(&runner.id, "stops", &id, cause),
    }
    is_whole
}

/// Reads an answer to the end that its head states.
fn consume(to: SocketAddr, id: &str, record: &Record) {
    record.add("consumer", "sends", id, &to.to_string());
    let Some(mut connection) = send(to, "POST", &format!("/stream/{id}"), id, "") else { return };
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(12)));
    let Ok(head) = connection.head() else { return record.add("consumer", "is cut", id, "") };
    let length = head.field("content-length").unwrap_or("none");
    record.add("consumer", "gets", id, &format!("{}, length {length}", head.start));
    match connection.body(&head) {
        Ok(body) => {
            let text = String::from_utf8_lossy(&body).into_owned();
            let events = text.matches("\n\n").count() as u64;
            let is_whole = events == EVENTS && text.ends_with("\n\n");
            let name = if is_whole { "has all" } else { "has a part as all" };
            let end = &text[text.len().saturating_sub(20)..];
            record.add("consumer", name, id, &format!("{events} events, the end is {end:?}"));
        }
        Err(error) => record.add("consumer", "is cut", id, &error.to_string()),
    }
}

/// ORDER: a stream ends as complete before its last piece.
fn judge(record: &Record, folder: &Path) -> Verdict {
    let lines = record.lines();
    let count = |event: &str| lines.iter().filter(|it| it.event == event).count();
    let (whole, parts, cut) = (count("has all"), count("has a part as all"), count("is cut"));
    let conclusion = format!(
        "{whole} streams were whole, {parts} ended as complete before their last event, {cut} were \
         cut"
    );
    println!("{conclusion}");
    record.write(folder, &[conclusion]);
    match (count("gets"), parts) {
        (0..STREAMS, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
