//! A runner sends bytes without end within an event, and its streams are taken up at others.

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
const EVENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(50);
/// The runner that gets into trouble, and the event of its streams in which it does.
const TROUBLED: &str = "i-0";
const TROUBLED_EVENT: u64 = 10;
/// Size of the pieces in which bytes without end are sent, and the pause between two.
const PIECE_BYTES: usize = 64 * 1_024;
const PIECE_PAUSE: Duration = Duration::from_millis(10);
/// Time in which a runner reads a prompt. Then the request runs.
const PREFILL_TIME: Duration = Duration::from_millis(150);
/// Time for which a runner falls silent after the first token of a stream that it takes up.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Time for which the runner before may still work.
const OVERLAP: Duration = Duration::from_millis(400);

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
            let (to, record) = (daemons.all[number % daemons.all.len()].callers, record.clone());
            thread::spawn(move || consume(to, &format!("s{number}"), &record))
        })
        .collect();
    for consumer in consumers {
        let _ = consumer.join();
    }
    thread::sleep(Duration::from_secs(1));
    judge(&record, folder)
}

/// Streams events. One runner sends bytes without end in one of them, until its caller closes.
fn serve(
    runner: &Runner,
    connection: &mut Connection,
    head: &Head,
    record: &Record,
    has_trouble: bool,
) -> bool {
    let (id, first) = (head.id().to_owned(), runner::last_event(head) + 1);
    record.add(&runner.id, "arrives", &id, &format!("from event {first}"));
    let is_whole = run(runner, connection, head, record, has_trouble, first);
    let detail = if is_whole { "" } else { "its channel was closed" };
    record.add(&runner.id, if is_whole { "ends" } else { "stops" }, &id, detail);
    is_whole && runner::chunk(connection, "")
}

fn run(
    runner: &Runner,
    connection: &mut Connection,
    head: &Head,
    record: &Record,
    has_trouble: bool,
    first: u64,
) -> bool {
    if !runner.work(connection, PREFILL_TIME) {
        return false;
    }
    record.add(&runner.id, "first token", head.id(), "");
    if first > 1 && !runner.work(connection, SILENCE) || !runner::begin_stream(connection, head) {
        return false;
    }
    for number in first..=EVENTS {
        if has_trouble && runner.id == TROUBLED && number == TROUBLED_EVENT {
            record.add(&runner.id, "sends without end", head.id(), "");
            let piece = "x".repeat(PIECE_BYTES);
            while runner::chunk(connection, &piece) {
                thread::sleep(PIECE_PAUSE);
            }
            return false;
        }
        let is_sent = runner::chunk(connection, &format!("id: {number}\ndata: t\n\n"));
        if !is_sent || !runner.work(connection, PAUSE) {
            return false;
        }
    }
    true
}

/// Reads a whole stream.
fn consume(to: SocketAddr, id: &str, record: &Record) {
    record.add("consumer", "sends", id, &to.to_string());
    let Some(mut connection) = send(to, "POST", &format!("/stream/{id}"), id, "") else { return };
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(12)));
    let Ok(head) = connection.head() else { return record.add("consumer", "is cut", id, "") };
    record.add("consumer", "gets", id, &head.start);
    loop {
        match connection.chunk() {
            Ok(chunk) if chunk.is_empty() => return record.add("consumer", "has all", id, ""),
            Ok(_) => {}
            Err(error) => return record.add("consumer", "is cut", id, &error.to_string()),
        }
    }
}

/// TWICE: a request goes on at another runner while the runner before still works on it 400 ms
/// later.
fn judge(record: &Record, folder: &Path) -> Verdict {
    let lines = record.lines();
    let mut conclusions = Vec::new();
    let mut begun = 0;
    for sent in lines.iter().filter(|it| it.event == "sends") {
        let of_stream: Vec<_> = lines.iter().filter(|it| it.request == sent.request).collect();
        let runs: Vec<_> = of_stream.iter().filter(|it| it.event == "first token").collect();
        begun += usize::from(!runs.is_empty());
        for (former, later) in runs.iter().zip(runs.iter().skip(1)) {
            let is_end = |it: &str| it == "stops" || it == "ends";
            let end = of_stream.iter().find(|it| it.by == former.by && is_end(&it.event));
            let worked = end.map_or(Duration::MAX, |it| it.at.saturating_sub(later.at));
            if worked > OVERLAP {
                conclusions.push(format!(
                    "{}: {} still worked on it {:.0} ms after it had begun at {}",
                    sent.request,
                    former.by,
                    worked.as_secs_f64() * 1e3,
                    later.by,
                ));
            }
        }
    }
    let twice = conclusions.len();
    conclusions.push(format!("{begun} streams begun, {twice} at two runners at once"));
    conclusions.iter().for_each(|it| println!("{it}"));
    record.write(folder, &conclusions);
    match (begun, twice) {
        (0..STREAMS, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
