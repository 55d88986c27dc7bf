//! LOST (software versions): runners crash, start again under their ids and crash once more before
//! they have checked in. Streams that began there aren't taken up anywhere, though all other
//! runners have the same software version.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::BEAT;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::deployment::config;
use crate::http;
use crate::record::Record;
use crate::runner::Runner;
use crate::runner::Speed;

/// Bound of the site files.
const CONTACT_MS: u64 = 3_000;
/// The rule's number of streams.
const TAKEN_UP: usize = 12;
const RUNNERS: usize = 12;
/// Runners that go down and up.
const FLAPPING: usize = 2;
const DOWNTIME: Duration = Duration::from_millis(1_000);
/// Pause of a consumer between streams.
const PAUSE: Duration = Duration::from_millis(8);

const DRAFT: Route<'static> = Route {
    name: "r-draft",
    prefix: "/draft/",
    kind: "stream",
    service: "llm",
    timeout_ms: 8_000,
    attempts: 2,
    resumable: true,
};

/// What became of a request.
#[derive(Clone, Debug)]
struct Sent {
    is_taken_up: bool,
    status: u16,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let speed = Speed {
        work: Duration::from_millis(30),
        first_event: Duration::from_millis(100),
        gap: Duration::from_millis(150),
        events: 20,
    };
    let text = config(10, &[DRAFT], &[("acme", &["key-a"])]);
    let Some(deployment) = Deployment::start(record, None, &text, &[("llm", RUNNERS, speed)], 3)
    else {
        return Verdict::NotRun;
    };
    // The runners and the daemons are up for some seconds before there is traffic.
    thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    let flapping: Vec<&Runner> = deployment.runners.iter().take(FLAPPING).collect();
    if has_trouble {
        flapping.iter().for_each(|it| it.crash());
        thread::sleep(DOWNTIME);
        // The first check-in of the new processes would come at the next beat.
        flapping.iter().for_each(|it| it.start_again());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let daemons: Vec<SocketAddr> = deployment.daemons.iter().map(|it| it.front()).collect();
    let (clock, over, all) = (record.clone(), is_over.clone(), sent.clone());
    let begin = thread::spawn(move || {
        let mut number = 0;
        while !over.load(Ordering::SeqCst) {
            number += 1;
            let (clock, all, daemons) = (clock.clone(), all.clone(), daemons.clone());
            thread::spawn(move || consume(&clock, &all, &daemons, number));
            thread::sleep(PAUSE);
        }
    });
    record.line("traffic begins");
    thread::sleep(BEAT - Duration::from_millis(100));
    if has_trouble {
        flapping.iter().for_each(|it| it.crash());
    }
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::SeqCst);
    let _ = begin.join();
    thread::sleep(Duration::from_secs(1));
    let sent = sent.lock().unwrap().clone();
    let share = |is_taken_up: bool| {
        let asked: Vec<&Sent> = sent.iter().filter(|it| it.is_taken_up == is_taken_up).collect();
        let served = asked.iter().filter(|it| it.status == 200).count();
        (served, asked.len())
    };
    let ((gone_on, taken_up), (begun, new)) = (share(true), share(false));
    record.line(format!("streams taken up: {taken_up}, of which {gone_on} go on; new ones: {new}, of which {begun} begin"));
    if !has_trouble {
        return if begun == new { Verdict::Held } else { Verdict::Broken };
    }
    if taken_up < TAKEN_UP {
        record.line("too few streams were taken up");
        return Verdict::NotRun;
    }
    match gone_on * new * 2 < begun * taken_up {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Reads a stream, and takes it up once at another daemon if it breaks.
fn consume(record: &Record, sent: &Mutex<Vec<Sent>>, daemons: &[SocketAddr], number: usize) {
    let id = format!("stream-{number}");
    let first = read(record, daemons[number % daemons.len()], &id, "");
    sent.lock().unwrap().push(Sent { is_taken_up: false, status: first.status });
    if first.is_complete || first.last_event == 0 {
        return;
    }
    thread::sleep(Duration::from_millis(100));
    let next = daemons[(number + 1) % daemons.len()];
    let resumes = format!("Resumes: {id}\r\nLast-Event-Id: {}\r\n", first.last_event);
    let second = read(record, next, &format!("{id}-again"), &resumes);
    sent.lock().unwrap().push(Sent { is_taken_up: true, status: second.status });
}

struct Answer {
    status: u16,
    last_event: u64,
    is_complete: bool,
}

fn read(record: &Record, address: SocketAddr, id: &str, resumes: &str) -> Answer {
    let mut answer = Answer { status: 0, last_event: 0, is_complete: false };
    let at = record.now();
    let outcome = stream(address, id, resumes, &mut answer);
    if answer.status != 200 || !answer.is_complete || !resumes.is_empty() {
        record.line(format!(
            "consumer: {id} sent to {address} at {:.3} s: status {}, last event {}, {}",
            at as f64 / 1e3,
            answer.status,
            answer.last_event,
            match outcome {
                Ok(()) if answer.is_complete => "complete".to_owned(),
                Ok(()) => "answered".to_owned(),
                Err(error) => format!("broken off ({error})"),
            }
        ));
    }
    answer
}

fn stream(address: SocketAddr, id: &str, resumes: &str, answer: &mut Answer) -> std::io::Result<()> {
    let mut reader = http::connect(address, Duration::from_secs(9))?;
    let body = "prompt";
    let head = format!(
        "POST /draft/text HTTP/1.1\r\nHost: office.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\nAuthorization: Token key-a\r\n{resumes}Content-Length: {}\r\n\r\n",
        body.len()
    );
    reader.get_mut().write_all((head + body).as_bytes())?;
    let Some(head) = http::read_head(&mut reader)? else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    answer.status = head.status();
    if answer.status != 200 {
        return Ok(());
    }
    while let Some(chunk) = http::read_chunk(&mut reader)? {
        for line in String::from_utf8_lossy(&chunk).lines() {
            if let Some(event) = line.strip_prefix("id: ") {
                answer.last_event = event.parse().unwrap_or(answer.last_event);
            }
        }
    }
    answer.is_complete = true;
    Ok(())
}
