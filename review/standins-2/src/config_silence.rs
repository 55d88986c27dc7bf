//! CONFIG: open channels go silent, and a change of the configuration comes while the daemons
//! still wait on their silent channels to the store.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::deployment::config;
use crate::record::Record;
use crate::runner::Speed;

/// Bounds of the site files.
const CONFIG_APPLY_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// Time by which this program's clock readings may be late, to the daemons' favour.
const MARGIN_MS: u64 = 100;
/// Requests that are let pass, though the rule allows none.
const SPARED: usize = 2;

const BOOK: Route<'static> = Route {
    name: "r-book",
    prefix: "/book/",
    kind: "unsafe",
    service: "desk",
    timeout_ms: 1_500,
    attempts: 1,
    resumable: false,
};

/// A request of the key that is taken away.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: u64,
    status: u16,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let speed = Speed {
        work: Duration::from_millis(30),
        first_event: Duration::ZERO,
        gap: Duration::ZERO,
        events: 0,
    };
    let first = config(10, &[BOOK], &[("acme", &["key-a"]), ("bolt", &["key-b1", "key-b2"])]);
    let slower = Route { timeout_ms: 1_400, ..BOOK };
    let second = config(20, &[slower], &[("acme", &["key-a"]), ("bolt", &["key-b1", "key-b2"])]);
    let third = config(30, &[slower], &[("acme", &["key-a"]), ("bolt", &["key-b1"])]);
    let Some(deployment) = Deployment::start(record, None, &first, &[("desk", 4, speed)], 2) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = deployment
        .daemons
        .iter()
        .enumerate()
        .flat_map(|(daemon, it)| [(daemon, it.front(), "key-a"), (daemon, it.front(), "key-b2")])
        .map(|(daemon, address, key)| {
            let (record, sent, is_over) = (record.clone(), sent.clone(), is_over.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{key}-{daemon}-{number}");
                    let head = client::head("POST", "/book/seat", &id, key, 1_500, "seat");
                    let at = record.now();
                    let answer = client::exchange(address, &head, "seat", Duration::from_secs(2));
                    let status = answer.map_or(0, |it| it.status());
                    record.line(format!(
                        "consumer: {id} sent to daemon {daemon} at {:.3} s: {status}",
                        at as f64 / 1e3
                    ));
                    if key == "key-b2" {
                        sent.lock().unwrap().push(Sent { id, at, status });
                    }
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    deployment.store.put("op", "config", &second);
    record.line("operator: version 20 (a timeout) acknowledged");
    thread::sleep(Duration::from_millis(300));
    let silence_at = record.now();
    if has_trouble {
        deployment.store.silence_channels();
        record.line("all open channels to the store go silent; new ones work");
    }
    thread::sleep(Duration::from_millis(1_000));
    deployment.store.put("op", "config", &third);
    let acknowledged_at = record.now();
    record.line("operator: version 30 (key-b2 taken away) acknowledged");
    thread::sleep(Duration::from_millis(5_500));
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let bound = (acknowledged_at + CONFIG_APPLY_MS).max(silence_at + CONTACT_MS) + MARGIN_MS;
    let runs: Vec<String> = deployment
        .runners
        .iter()
        .flat_map(|it| it.runs())
        .map(|it| it.request)
        .collect();
    let sent = sent.lock().unwrap().clone();
    let late: Vec<&Sent> = sent.iter().filter(|it| it.at > bound).collect();
    let stale: Vec<&&Sent> = late.iter().filter(|it| runs.contains(&it.id)).collect();
    record.line(format!(
        "sent with key-b2 later than {:.3} s, by machines in touch: {}; run all the same: {} ({})",
        bound as f64 / 1e3,
        late.len(),
        stale.len(),
        stale.iter().map(|it| format!("{} {}", it.id, it.status)).collect::<Vec<_>>().join(", ")
    ));
    match (late.is_empty(), stale.len() > SPARED) {
        (true, _) => Verdict::NotRun,
        (false, true) => Verdict::Broken,
        (false, false) => Verdict::Held,
    }
}
