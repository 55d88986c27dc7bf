//! ONE: the daemon that has just reported a usage window is killed, and the store comes back from
//! a copy that lacks the window while the next holder records it again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::cloud::Report;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::deployment::config;
use crate::deployment::wait_until;
use crate::record::Record;
use crate::runner::Runner;
use crate::runner::Speed;
use crate::store::Content;
use crate::store::Store;

/// Interval at which the store makes copies of itself.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// How long the store is away.
const AWAY_TIME: Duration = Duration::from_millis(300);
/// Maximum number of drills, each with the end of a daemon.
const ROUNDS: usize = 6;
/// Time after which no further round begins.
const LAST_ROUND_MS: u64 = 92_000;
/// `report_window_s` of the site files.
const WINDOW_MS: u64 = 5_000;
/// Longest age of the copy.
const MAX_COPY_AGE_MS: u64 = 8_000;

const READ: Route<'static> = Route {
    name: "r-read",
    prefix: "/read/",
    kind: "safe",
    service: "desk",
    timeout_ms: 1_500,
    attempts: 2,
    resumable: false,
};

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let speed = Speed {
        work: Duration::from_millis(20),
        first_event: Duration::ZERO,
        gap: Duration::ZERO,
        events: 0,
    };
    let text = config(10, &[READ], &[("acme", &["key-a"]), ("bolt", &["key-b"])]);
    let Some(mut deployment) = Deployment::start(record, Some(1), &text, &[("desk", 4, speed)], 3)
    else {
        return Verdict::NotRun;
    };
    deployment.runners.iter().for_each(Runner::be_quiet);
    let is_over = Arc::new(AtomicBool::new(false));
    for (index, daemon) in deployment.daemons.iter().enumerate() {
        for key in ["key-a", "key-a", "key-b"] {
            let (address, is_over) = (daemon.front(), is_over.clone());
            let numbers = AtomicU64::new(0);
            let name = format!("{key}-{index}-{:p}", &numbers);
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{name}-{number}");
                    let head = client::head("GET", "/read/seat", &id, key, 1_500, "");
                    let _ = client::exchange(address, &head, "", Duration::from_secs(2));
                    thread::sleep(Duration::from_millis(15));
                }
            });
        }
    }
    let copies: Arc<Mutex<Vec<(u64, Content)>>> = Arc::default();
    let (store, kept, clock, over) =
        (deployment.store.clone(), copies.clone(), record.clone(), is_over.clone());
    thread::spawn(move || {
        while !over.load(Ordering::SeqCst) {
            kept.lock().unwrap().push((clock.now(), store.copy()));
            thread::sleep(COPY_INTERVAL);
        }
    });
    // The first reports after the start may lack counts.
    thread::sleep(Duration::from_secs(7));
    if !has_trouble {
        thread::sleep(Duration::from_secs(25));
    }
    let mut returns = 0;
    for round in 1..=ROUNDS {
        if !has_trouble || record.now() > LAST_ROUND_MS || contradiction(&deployment).is_some() {
            break;
        }
        record.line(format!("round {round}"));
        returns += usize::from(drill(&mut deployment, record, &copies));
        thread::sleep(Duration::from_secs(5));
        for daemon in &mut deployment.daemons {
            if !daemon.is_ready() {
                daemon.start_again(&deployment.site);
                record.line(format!("{} starts again", daemon.name));
            }
        }
    }
    is_over.store(true, Ordering::SeqCst);
    record_runs(&deployment, record);
    if has_trouble && returns == 0 {
        return Verdict::NotRun;
    }
    match contradiction(&deployment) {
        Some((first, second)) => {
            record.line(format!("two reports of one window differ: {first:?} and {second:?}"));
            Verdict::Broken
        }
        None => Verdict::Held,
    }
}

/// Kills the daemon that reports next, and lets the store return from a copy while the next one
/// records the same window. Returns whether it did.
fn drill(
    deployment: &mut Deployment,
    record: &Arc<Record>,
    copies: &Arc<Mutex<Vec<(u64, Content)>>>,
) -> bool {
    let (reports, reported) = channel();
    let is_armed = AtomicBool::new(true);
    deployment.cloud.watch(move |report| {
        if is_armed.swap(false, Ordering::SeqCst) {
            let _ = reports.send(report.clone());
        }
    });
    let Ok(report) = reported.recv_timeout(Duration::from_secs(10)) else { return false };
    let Some(holder) = deployment.daemons.iter_mut().find(|it| it.name == report.holder) else {
        return false;
    };
    holder.kill();
    record.line(format!("{} is killed; it has reported window {}", holder.name, report.window));
    let has_returned = Arc::new(AtomicBool::new(false));
    let (store, copies, clock, returned) =
        (deployment.store.clone(), copies.clone(), record.clone(), has_returned.clone());
    let key = report.window.to_string();
    let is_armed = AtomicBool::new(true);
    deployment.store.watch(move |table, row| {
        if table != "windows" || row != key || !is_armed.swap(false, Ordering::SeqCst) {
            return;
        }
        let now = clock.now();
        let copies = copies.lock().unwrap();
        let lacks = copies.iter().rev().find(|(_, it)| !Store::has_row(it, "windows", &key));
        let Some((at, copy)) = lacks.filter(|(at, _)| now < at + MAX_COPY_AGE_MS) else {
            clock.line("the window's row is older than the copies of the drill");
            return;
        };
        clock.line(format!("the store is away, as window {key} is about to be recorded again"));
        store.go_away();
        let (store, clock, returned) = (store.clone(), clock.clone(), returned.clone());
        let (age, copy) = (now - at, copy.clone());
        thread::spawn(move || {
            thread::sleep(AWAY_TIME);
            store.return_from(&copy);
            clock.line(format!("the store is back from a copy {:.1} s old", age as f64 / 1e3));
            returned.store(true, Ordering::SeqCst);
        });
    });
    wait_until(Duration::from_secs(12), || has_returned.load(Ordering::SeqCst));
    deployment.store.watch(|_, _| {});
    has_returned.load(Ordering::SeqCst)
}

/// Records how many requests of each tenant the runners began in each window.
fn record_runs(deployment: &Deployment, record: &Record) {
    let mut begun: BTreeMap<u64, BTreeMap<String, u64>> = BTreeMap::new();
    for run in deployment.runners.iter().flat_map(|it| it.runs()) {
        let window = begun.entry(run.began_ms / WINDOW_MS).or_default();
        *window.entry(run.tenant).or_default() += 1;
    }
    for (window, counts) in begun {
        record.line(format!("runners: began in window {window}: {counts:?}"));
    }
}

/// Returns two accepted reports of one window with different counts.
fn contradiction(deployment: &Deployment) -> Option<(Report, Report)> {
    let reports = deployment.cloud.reports();
    for (index, first) in reports.iter().enumerate() {
        let others = &reports[index + 1..];
        let differs = |it: &&Report| it.window == first.window && it.counts != first.counts;
        if let Some(second) = others.iter().find(differs) {
            return Some((first.clone(), second.clone()));
        }
    }
    None
}
