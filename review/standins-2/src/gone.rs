//! GONE: runners crash under streams that may be resumed, and consumers leave while the daemons
//! take their streams up at other runners.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::deployment::config;
use crate::deployment::wait_until;
use crate::http;
use crate::record::Record;
use crate::runner::Run;
use crate::runner::Speed;

/// Bound of the site files.
const CONTACT_MS: u64 = 3_000;
/// The rule's time, and a margin for the way of the close.
const LEFT_MS: u64 = 500;
const MARGIN_MS: u64 = 300;
const CONSUMERS: usize = 60;
/// Consumers that leave: half of them have streams at runners that crash.
const LEAVING: usize = 12;
const RUNNERS: usize = 12;
const CRASHING: usize = 2;

const DRAFT: Route<'static> = Route {
    name: "r-draft",
    prefix: "/draft/",
    kind: "stream",
    service: "llm",
    timeout_ms: 12_000,
    attempts: 2,
    resumable: true,
};

/// A consumer with a stream.
struct Consumer {
    id: String,
    leaves: AtomicBool,
    /// When it closed its channel before the end of its stream; 0 if it didn't.
    left_at: AtomicU64,
    events: AtomicU64,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let speed = Speed {
        work: Duration::from_millis(30),
        first_event: Duration::from_millis(200),
        gap: Duration::from_millis(200),
        events: 45,
    };
    let text = config(10, &[DRAFT], &[("acme", &["key-a"])]);
    let Some(deployment) = Deployment::start(record, None, &text, &[("llm", RUNNERS, speed)], 3)
    else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_millis(CONTACT_MS + 500));
    let consumers: Vec<Arc<Consumer>> = (0..CONSUMERS)
        .map(|number| {
            Arc::new(Consumer {
                id: format!("stream-{number}"),
                leaves: AtomicBool::new(false),
                left_at: AtomicU64::new(0),
                events: AtomicU64::new(0),
            })
        })
        .collect();
    let errors: Arc<Mutex<Vec<String>>> = Arc::default();
    for (number, consumer) in consumers.iter().enumerate() {
        let address = deployment.daemons[number % deployment.daemons.len()].front();
        let (record, consumer, errors) = (record.clone(), consumer.clone(), errors.clone());
        thread::spawn(move || {
            if let Err(error) = consume(&record, &consumer, address) {
                record.line(format!("consumer: {} ends: {error}", consumer.id));
                errors.lock().unwrap().push(error.to_string());
            }
        });
    }
    let has_begun = || consumers.iter().all(|it| it.events.load(Ordering::SeqCst) >= 3);
    if !wait_until(Duration::from_secs(8), has_begun) {
        record.line("not all streams have begun");
        return Verdict::NotRun;
    }
    // The runners with the most streams.
    let mut order: Vec<usize> = (0..RUNNERS).collect();
    order.sort_by_key(|it| std::cmp::Reverse(deployment.runners[*it].runs().len()));
    let (crashing, others) = order.split_at(CRASHING);
    let at = |runners: &[usize]| -> Vec<String> {
        let runs = runners.iter().flat_map(|it| deployment.runners[*it].runs());
        runs.map(|it| it.request).collect()
    };
    let (broken, whole) = (at(crashing), at(others));
    if broken.len() < LEAVING / 2 {
        record.line("too few streams at the runners that crash");
        return Verdict::NotRun;
    }
    let chosen: Vec<&String> =
        broken[..LEAVING / 2].iter().chain(&whole[..LEAVING / 2]).collect();
    let leaving: Vec<&Arc<Consumer>> =
        consumers.iter().filter(|it| chosen.contains(&&it.id)).collect();
    for runner in others {
        // The prompts of many requests are read before the first event of a further one.
        let first_event = Duration::from_millis(2_500);
        deployment.runners[*runner].set_speed(Speed { first_event, ..speed });
    }
    if has_trouble {
        crashing.iter().for_each(|it| deployment.runners[*it].crash());
    }
    thread::sleep(Duration::from_millis(400));
    for consumer in &leaving {
        consumer.leaves.store(true, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_secs(5));
    let runs: Vec<Run> = deployment.runners.iter().flat_map(|it| it.runs()).collect();
    let mut worked_on = 0;
    let mut left = 0;
    for consumer in &leaving {
        let left_at = consumer.left_at.load(Ordering::SeqCst);
        if left_at == 0 {
            continue;
        }
        left += 1;
        let late = left_at + LEFT_MS + MARGIN_MS;
        let own = runs.iter().filter(|it| it.request == consumer.id);
        let latest = own.map(|it| it.ended.unwrap_or(u64::MAX)).max().unwrap_or(0);
        if latest > late {
            worked_on += 1;
            record.line(format!(
                "{}: the consumer left at {:.3} s, a runner worked on it until {:.3} s",
                consumer.id,
                left_at as f64 / 1e3,
                latest.min(99_999) as f64 / 1e3
            ));
        }
    }
    record.line(format!("streams that were left: {left}; worked on over half a second later: {worked_on}"));
    match (left >= LEAVING / 2, worked_on * 4 > left) {
        (false, _) => Verdict::NotRun,
        (true, true) => Verdict::Broken,
        (true, false) => Verdict::Held,
    }
}

/// Reads a stream until its end, or until the consumer leaves.
fn consume(record: &Record, consumer: &Consumer, address: SocketAddr) -> std::io::Result<()> {
    let mut reader = http::connect(address, Duration::from_millis(50))?;
    let body = "prompt";
    let head = client::head("POST", "/draft/text", &consumer.id, "key-a", 12_000, body);
    reader.get_mut().write_all((head + body).as_bytes())?;
    record.line(format!("consumer: {} sent to {address}", consumer.id));
    let mut received = String::new();
    let mut buffer = [0; 4_096];
    loop {
        if consumer.leaves.load(Ordering::SeqCst) {
            // Closes the channel.
            drop(reader);
            consumer.left_at.store(record.now(), Ordering::SeqCst);
            record.line(format!(
                "consumer: {} leaves after {} events",
                consumer.id,
                consumer.events.load(Ordering::SeqCst)
            ));
            return Ok(());
        }
        let length = match std::io::Read::read(&mut reader, &mut buffer) {
            Ok(0) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => length,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        received.push_str(&String::from_utf8_lossy(&buffer[..length]));
        consumer.events.store(received.matches("\nid: ").count() as u64, Ordering::SeqCst);
        if received.ends_with("0\r\n\r\n") {
            record.line(format!("consumer: {} is complete", consumer.id));
            return Ok(());
        }
    }
}
