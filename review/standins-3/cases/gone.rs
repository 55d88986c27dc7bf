//! Consumers leave streams while the system takes them up at another runner.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::Verdict;
use super::put_config;
use super::send;
use crate::daemon::Daemons;
use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::runner;
use crate::runner::Runner;
use crate::store::Store;

/// Number of streams whose consumers wait, and of those whose consumers leave early.
const PATIENT: usize = 48;
const HASTY: usize = 6;
/// Number of events of a stream, and the pause between two.
const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(100);
/// Time after the first requests at which one of the four runners crashes, and for how long.
const CRASH_AT: Duration = Duration::from_millis(1_000);
const CRASH_TIME: Duration = Duration::from_millis(4_500);
/// Time for which a stream that is taken up waits for a slot at the next runner.
const QUEUE_TIME: Duration = Duration::from_millis(6_000);
/// Gap after which a consumer abandons a stream: four times the objective of its route, eight times
/// its pause or two seconds, whichever is longest.
const PATIENCE: Duration = Duration::from_millis(4_000);
/// Time after which the other consumers leave.
const HASTE: Duration = Duration::from_millis(700);
/// Time after a consumer's leaving within which runners stop.
const STOP_TIME: Duration = Duration::from_millis(500);

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
    let consumers: Vec<_> = (0..PATIENT + HASTY)
        .map(|number| {
            let (to, record) = (daemons.all[number % daemons.all.len()].callers, record.clone());
            let haste = (number >= PATIENT).then_some(HASTE);
            thread::spawn(move || consume(to, &format!("s{number}"), haste, &record))
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
    thread::sleep(QUEUE_TIME);
    judge(&record, folder)
}

/// Streams events. A stream that is taken up waits for a slot first.
fn serve(runner: &Runner, connection: &mut Connection, head: &Head, record: &Record) -> bool {
    let (id, first) = (head.id().to_owned(), runner::last_event(head) + 1);
    record.add(&runner.id, "arrives", &id, &format!("from event {first}"));
    let is_whole = (first == 1 || runner.work(connection, QUEUE_TIME))
        && runner::begin_stream(connection, head)
        && (first..=EVENTS).all(|number| {
            runner::chunk(connection, &format!("id: {number}\ndata: t\n\n"))
                && runner.work(connection, PAUSE)
        });
    let cause = if runner.is_down() { "it has crashed" } else { "its channel was closed" };
    let (event, detail) = if is_whole { ("ends", "") } else { ("stops", cause) };
    record.add(&runner.id, event, &id, detail);
    is_whole && runner::chunk(connection, "")
}

/// Reads a stream until its end or a gap that is too long, or for a time.
fn consume(to: SocketAddr, id: &str, haste: Option<Duration>, record: &Record) {
    record.add("consumer", "sends", id, &to.to_string());
    let Some(mut connection) = send(to, "POST", &format!("/stream/{id}"), id, "") else { return };
    let _ = connection.stream.set_read_timeout(Some(PATIENCE));
    let Ok(head) = connection.head() else { return };
    record.add("consumer", "gets", id, &head.start);
    let begun_at = Instant::now();
    loop {
        match connection.chunk() {
            Ok(chunk) if chunk.is_empty() => return record.add("consumer", "has all", id, ""),
            Ok(_) if haste.is_some_and(|it| begun_at.elapsed() >= it) => break,
            Ok(_) => {}
            Err(error) if http::is_timeout(&error) => break,
            Err(error) => return record.add("consumer", "is cut", id, &error.to_string()),
        }
    }
    drop(connection);
    record.add("consumer", "leaves", id, "");
}

/// GONE: half a second after the consumers have left, runners are still at work on more than a
/// quarter of the streams that would have lasted so long.
fn judge(record: &Record, folder: &Path) -> Verdict {
    let lines = record.lines();
    let count = |event: &str| lines.iter().filter(|it| it.event == event).count();
    let mut late = 0;
    for leaving in lines.iter().filter(|it| it.event == "leaves") {
        let of_stream: Vec<_> = lines.iter().filter(|it| it.request == leaving.request).collect();
        let mut arrivals = of_stream.iter().filter(|it| it.event == "arrives");
        let is_late = arrivals.any(|arrival| {
            let is_end = |it: &str| it == "stops" || it == "ends";
            let end = of_stream.iter().find(|it| it.by == arrival.by && is_end(&it.event));
            end.is_none_or(|it| it.at > leaving.at + STOP_TIME)
        });
        late += usize::from(is_late);
    }
    let (begun, left) = (count("gets"), count("leaves"));
    let conclusion = format!(
        "{begun} streams begun; consumers left {left}; on {late} of these a runner was still at \
         work {} ms later",
        STOP_TIME.as_millis()
    );
    println!("{conclusion}");
    record.write(folder, &[conclusion]);
    match () {
        () if begun < PATIENT + HASTY || left < HASTY => Verdict::NotRun,
        () if late * 4 > left => Verdict::Broken,
        () => Verdict::Held,
    }
}
