//! Plays the cases of the review that are no days of the bench.
//!
//! Usage: `review-2 CASE RECORD`, in the repository's root. Exits with 1 if a rule was broken, 0 if
//! it held, and 2 if the case couldn't run. With `TROUBLE=0` it leaves the disruption out.

mod client;
mod cloud;
mod config_silence;
mod daemon;
mod deployment;
mod gone;
mod http;
mod json;
mod record;
mod runner;
mod store;
mod stranded;
mod unread;
mod usage_return;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: review-2 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Arc::new(Record::create(Path::new(path)));
    record.line(format!("case {case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let (done, is_done) = std::sync::mpsc::channel();
    let (name, worker) = (case.clone(), record.clone());
    thread::spawn(move || {
        let verdict = match name.as_str() {
            "config-silence" => config_silence::play(&worker, has_trouble),
            "usage-return" => usage_return::play(&worker, has_trouble),
            "stranded" => stranded::play(&worker, has_trouble),
            "unread" => unread::play(&worker, has_trouble),
            "gone" => gone::play(&worker, has_trouble),
            _ => Verdict::NotRun,
        };
        let _ = done.send(verdict);
    });
    let verdict = is_done.recv_timeout(TIME_LIMIT).unwrap_or(Verdict::NotRun);
    daemon::end_all();
    record.line(format!("verdict: {verdict:?}"));
    println!("{case}: {verdict:?}");
    exit(verdict as i32);
}
