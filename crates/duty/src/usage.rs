//! Requests by workspace in windows of true time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bincode::Decode;
use bincode::Encode;

/// Windows that a daemon tells others of: those whose report may be open.
pub const TOLD: u64 = 5;
/// Time after its end at which a window's counts are final on a daemon.
const SETTLE_MS: i64 = 200;
/// Time after a window's end at which its report no longer waits for daemons
/// that have not told their counts; the report is due 10 s after the end.
const WAIT_MS: i64 = 5_500;
/// Time in which the daemons learn of a new holder and tell it their counts:
/// some rounds of gossip on the largest deployments.
const LEARN_MS: i64 = 2_500;
/// Time after a window's end at which a new holder reports what it has heard.
const LATEST_MS: i64 = 9_000;
/// Time after a window's end at which a report is given up.
const GIVE_UP_MS: i64 = 30_000;

/// Counts of a window.
pub type Counts = BTreeMap<String, u64>;

/// One window of one daemon.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Window {
    /// Number, counted from 1970.
    pub number: u64,
    /// Requests by workspace.
    pub counts: Vec<(String, u64)>,
}

/// Counts of this daemon and, as heard, of the others.
#[derive(Clone, Debug)]
pub struct Usage {
    length_ms: i64,
    own: BTreeMap<u64, Counts>,
    others: HashMap<String, Heard>,
    /// First window after the newest that was reported.
    next: Option<u64>,
    /// When this daemon became the one that reports.
    since_ms: i64,
}

#[derive(Clone, Debug, Default)]
struct Heard {
    windows: BTreeMap<u64, Counts>,
    settled: u64,
}

impl Usage {
    /// No counts, in windows of this length.
    pub fn new(length: Duration) -> Usage {
        Usage {
            length_ms: (length.as_millis() as i64).max(1),
            own: BTreeMap::new(),
            others: HashMap::new(),
            next: None,
            since_ms: i64::MIN,
        }
    }

    /// Notes that this daemon reports from now on.
    pub fn begin(&mut self, now_ms: i64) {
        self.since_ms = now_ms;
    }

    /// The window of a time.
    pub fn window(&self, now_ms: i64) -> u64 {
        (now_ms / self.length_ms).max(0) as u64
    }

    /// Counts a request that began to run.
    pub fn count(&mut self, workspace: &str, now_ms: i64) {
        let window = self.window(now_ms);
        *self.own.entry(window).or_default().entry(workspace.to_owned()).or_default() += 1;
        let keep_from = window.saturating_sub(2 * TOLD);
        self.own.retain(|number, _| *number >= keep_from);
    }

    /// This daemon's newest windows, to tell others.
    pub fn told(&self, now_ms: i64) -> Vec<Window> {
        let from = self.window(now_ms).saturating_sub(TOLD);
        let newest = self.own.range(from..);
        newest
            .map(|(number, counts)| Window {
                number: *number,
                counts: counts.iter().map(|(name, count)| (name.clone(), *count)).collect(),
            })
            .collect()
    }

    /// The newest window whose counts are final here.
    pub fn settled(&self, now_ms: i64) -> u64 {
        self.window(now_ms - SETTLE_MS).saturating_sub(1)
    }

    /// Hears another daemon's counts. A life of the daemon is told apart by
    /// its name, so that the counts of an earlier life stay.
    pub fn hear(&mut self, life: &str, windows: &[Window], settled: u64) {
        let heard = self.others.entry(life.to_owned()).or_default();
        heard.settled = heard.settled.max(settled);
        for window in windows {
            heard.windows.insert(window.number, window.counts.iter().cloned().collect());
        }
        let keep_from = settled.saturating_sub(2 * TOLD);
        heard.windows.retain(|number, _| *number >= keep_from);
        self.others.retain(|_, it| it.settled + 4 * TOLD >= settled);
    }

    /// The next window to report and its counts, when all `live` daemons have
    /// told theirs or have had the time to.
    pub fn due(&mut self, live: &[String], now_ms: i64) -> Option<(u64, Counts)> {
        let newest = self.settled(now_ms);
        let oldest = self.window(now_ms - GIVE_UP_MS);
        let window = self.next.unwrap_or(newest.saturating_sub(1)).max(oldest);
        if window > newest {
            return None;
        }
        let end_ms = (window as i64 + 1) * self.length_ms;
        let has_learnt = now_ms > self.since_ms.saturating_add(LEARN_MS);
        let is_late = now_ms > end_ms + WAIT_MS && has_learnt || now_ms > end_ms + LATEST_MS;
        let told = |life: &String| self.others.get(life).is_some_and(|it| it.settled >= window);
        if !is_late && !live.iter().all(told) {
            return None;
        }
        let mut counts = self.own.get(&window).cloned().unwrap_or_default();
        for heard in self.others.values() {
            for (workspace, count) in heard.windows.get(&window).into_iter().flatten() {
                *counts.entry(workspace.clone()).or_default() += count;
            }
        }
        Some((window, counts))
    }

    /// Notes that a window was reported or given up.
    pub fn reported(&mut self, window: u64) {
        self.next = Some(self.next.map_or(window + 1, |it| it.max(window + 1)));
    }

    /// Whether a report of the window is still of use.
    pub fn is_wanted(&self, window: u64, now_ms: i64) -> bool {
        window >= self.window(now_ms - GIVE_UP_MS)
    }
}
