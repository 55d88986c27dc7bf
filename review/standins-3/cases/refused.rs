//! Runners begin to work on requests that may run once, and fail some of them with status 503.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
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

/// Number of consumers, and of the orders that each places one after the other.
const CONSUMERS: usize = 6;
const ORDERS: usize = 10;
/// Number of times that a consumer sends an order again where it may.
const RETRIES: usize = 1;
/// Time that a runner works on a request.
const WORK: Duration = Duration::from_millis(60);
/// Runners that fail a part of their requests: half of them. One in so many fails.
const FAILING: [&str; 2] = ["i-0", "i-1"];
const FAILS_ONE_IN: usize = 3;

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let record = Record::new();
    let store = Store::start();
    put_config(&store);
    let counts: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    for index in 0..4 {
        let (record, counts) = (record.clone(), counts.clone());
        let handler = move |runner: &Runner, connection: &mut Connection, head: &Head| {
            let count = *counts
                .lock()
                .unwrap()
                .entry(runner.id.clone())
                .and_modify(|it| *it += 1)
                .or_insert(1);
            let fails = has_trouble
                && FAILING.contains(&runner.id.as_str())
                && count.is_multiple_of(FAILS_ONE_IN);
            serve(runner, connection, head, &record, fails)
        };
        Runner::start(&format!("i-{index}"), 64, &store, Arc::new(handler));
    }
    let Some(daemons) = Daemons::start(3, &store) else { return Verdict::NotRun };
    let addresses: Vec<SocketAddr> = daemons.all.iter().map(|it| it.callers).collect();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (addresses, record) = (addresses.clone(), record.clone());
            thread::spawn(move || {
                for order in 0..ORDERS {
                    place(&addresses, number, &format!("o{number}-{order}"), &record);
                }
            })
        })
        .collect();
    for consumer in consumers {
        let _ = consumer.join();
    }
    judge(&record, folder)
}

/// Works on a request, and answers that it was done or that it failed.
fn serve(
    runner: &Runner,
    connection: &mut Connection,
    head: &Head,
    record: &Record,
    fails: bool,
) -> bool {
    let order = head.target().rsplit('/').next().unwrap_or_default();
    record.add(&runner.id, "runs", head.id(), &format!("order {order}"));
    thread::sleep(WORK);
    let (status, body) = match fails {
        true => ("503 Service Unavailable", "the ledger did not answer in time"),
        false => ("200 OK", "done"),
    };
    record.add(&runner.id, "answers", head.id(), status);
    runner::answer(connection, head, status, "", body)
}

/// Places an order. A status that promises that it has not run lets the consumer send it again, on
/// a new channel and with a new id.
fn place(addresses: &[SocketAddr], number: usize, order: &str, record: &Record) {
    for attempt in 0..=RETRIES {
        let id = format!("{order}-{attempt}");
        let to = addresses[(number + attempt) % addresses.len()];
        record.add("consumer", "sends", &id, &format!("order {order}"));
        let Some(mut connection) = send(to, "POST", &format!("/once/{order}"), &id, "") else {
            return;
        };
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(12)));
        let Ok(head) = connection.head() else { return };
        record.add("consumer", "gets", &id, &head.start);
        if !is_promise(head.status()) {
            return;
        }
    }
}

/// Whether an answer with this status promises that the request has not run and never will.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// REFUSED: a request that isn't idempotent is answered 429 or 503 (or 408, 421) and has run.
fn judge(record: &Record, folder: &Path) -> Verdict {
    let lines = record.lines();
    let runs = lines.iter().filter(|it| it.event == "runs");
    let mut by_order: HashMap<&str, usize> = HashMap::new();
    for run in runs.clone() {
        *by_order.entry(run.detail.as_str()).or_default() += 1;
    }
    let refused = lines.iter().filter(|it| {
        let status = it.detail.split(' ').nth(1).and_then(|it| it.parse().ok());
        it.event == "gets" && it.by == "consumer" && status.is_some_and(is_promise)
    });
    let false_promises =
        refused.filter(|it| runs.clone().any(|run| run.request == it.request)).count();
    let answered = lines.iter().filter(|it| it.event == "gets").count();
    let twice = by_order.values().filter(|it| **it > 1).count();
    let conclusion = format!(
        "{answered} answers; {false_promises} promised that a request had not run that had; \
         {twice} orders of {} ran twice",
        by_order.len()
    );
    println!("{conclusion}");
    record.write(folder, &[conclusion]);
    match () {
        () if answered < CONSUMERS * ORDERS => Verdict::NotRun,
        () if false_promises > 0 => Verdict::Broken,
        () => Verdict::Held,
    }
}
