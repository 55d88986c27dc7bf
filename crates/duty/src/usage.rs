//! Counts requests by workspace in fixed windows of the wall clock (see
//! [`crate::clock`]) and merges the counts of all daemons into usage reports.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bincode::Decode;
use bincode::Encode;

/// Number of latest windows that a daemon sends to others: those whose report
/// may still be outstanding.
pub const SENT_WINDOWS: u64 = 5;
/// Time after a window's end at which its counts are final on a daemon.
const SETTLE_MS: i64 = 200;
/// Time after a window's end at which its report no longer waits for daemons
/// that have not sent their counts. The report is due 10 s after the end.
const PEER_TIMEOUT_MS: i64 = 5_500;
/// Time that the daemons need to learn of a new lease holder and to send it
/// their counts: several gossip rounds in the largest deployments.
const HANDOVER_MS: i64 = 2_500;
/// Time after a window's end at which a new lease holder reports the counts
/// received so far.
const DEADLINE_MS: i64 = 9_000;
/// Time after a window's end at which its report is abandoned.
const EXPIRY_MS: i64 = 30_000;

/// Request counts of a window by workspace.
pub type Counts = BTreeMap<String, u64>;

/// Counts of one daemon in one window.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Window {
    /// Window number, counted from the Unix epoch.
    pub number: u64,
    /// Number of requests by workspace.
    pub counts: Vec<(String, u64)>,
}

/// Counts of this daemon and those received from the others.
#[derive(Clone, Debug)]
pub struct Usage {
    length_ms: i64,
    own: BTreeMap<u64, Counts>,
    /// Counts of the other daemons by instance.
    remote: HashMap<String, Remote>,
    /// First window after the latest reported one.
    next: Option<u64>,
    /// Counts of windows that this daemon has recorded in the store or found there.
    recorded: BTreeMap<u64, Counts>,
    /// First window that can't have been recorded before the store returned from a copy.
    first: u64,
    /// When this daemon became the lease holder.
    leader_since_ms: i64,
}

/// Counts received from another daemon.
#[derive(Clone, Debug, Default)]
struct Remote {
    windows: BTreeMap<u64, Counts>,
    /// Latest window whose counts are final on that daemon.
    settled: u64,
}

impl Usage {
    /// Creates empty counts with windows of the given length.
    pub fn new(length: Duration) -> Usage {
        Usage {
            length_ms: (length.as_millis() as i64).max(1),
            own: BTreeMap::new(),
            remote: HashMap::new(),
            next: None,
            recorded: BTreeMap::new(),
            first: 0,
            leader_since_ms: i64::MIN,
        }
    }

    /// Records that this daemon became the lease holder and reports from now on.
    pub fn start_reporting(&mut self, now_ms: i64) {
        self.leader_since_ms = now_ms;
    }

    /// Returns the number of the window that contains a time.
    pub fn window_at(&self, now_ms: i64) -> u64 {
        (now_ms / self.length_ms).max(0) as u64
    }

    /// Counts a request that started to run.
    pub fn count(&mut self, workspace: &str, now_ms: i64) {
        let window = self.window_at(now_ms);
        *self.own.entry(window).or_default().entry(workspace.to_owned()).or_default() += 1;
        let keep_from = window.saturating_sub(2 * SENT_WINDOWS);
        self.own.retain(|number, _| *number >= keep_from);
    }

    /// Returns this daemon's current window and the `earlier` ones before it, which are sent
    /// to the others.
    pub fn recent_windows(&self, earlier: u64, now_ms: i64) -> Vec<Window> {
        let from = self.window_at(now_ms).saturating_sub(earlier);
        let recent = self.own.range(from..);
        recent
            .map(|(number, counts)| Window {
                number: *number,
                counts: counts.iter().map(|(name, count)| (name.clone(), *count)).collect(),
            })
            .collect()
    }

    /// Returns the latest window whose counts are final on this daemon.
    pub fn settled(&self, now_ms: i64) -> u64 {
        self.window_at(now_ms - SETTLE_MS).saturating_sub(1)
    }

    /// Merges another daemon's counts. They are kept by instance, so that a
    /// restarted daemon doesn't overwrite the counts of its previous instance.
    pub fn merge_remote(&mut self, instance_id: &str, windows: &[Window], settled: u64) {
        if !self.remote.contains_key(instance_id) {
            self.remote.retain(|_, it| it.settled + 4 * SENT_WINDOWS >= settled);
        }
        let remote = self.remote.entry(instance_id.to_owned()).or_default();
        remote.settled = remote.settled.max(settled);
        for window in windows {
            remote.windows.insert(window.number, window.counts.iter().cloned().collect());
        }
        let keep_from = settled.saturating_sub(2 * SENT_WINDOWS);
        remote.windows.retain(|number, _| *number >= keep_from);
    }

    /// Records the counts of a window as the store holds them. All reports of the window
    /// contain these from now on.
    pub fn record(&mut self, window: u64, counts: Counts) {
        self.recorded.insert(window, counts);
        let oldest = window.saturating_sub((EXPIRY_MS / self.length_ms) as u64 + 1);
        self.recorded.retain(|number, _| *number >= oldest);
    }

    /// Whether the window's counts were recorded.
    pub fn is_recorded(&self, window: u64) -> bool {
        self.recorded.contains_key(&window)
    }

    /// Sets the first window that can't have been recorded before the store returned from a
    /// copy. Earlier ones are reported only if this daemon has recorded them itself: another
    /// one may have reported other counts.
    pub fn set_first(&mut self, window: u64) {
        self.first = window;
    }

    /// Returns the next window to report and its counts once all `live` daemon
    /// instances have sent theirs or have timed out.
    pub fn next_report(&mut self, live: &[String], now_ms: i64) -> Option<(u64, Counts)> {
        let latest = self.settled(now_ms);
        let oldest = self.window_at(now_ms - EXPIRY_MS);
        let next = self.next.unwrap_or(latest.saturating_sub(1)).max(oldest);
        let known = self.recorded.range(next..self.first.max(next)).next();
        let window = known.map_or(next.max(self.first), |(number, _)| *number);
        if let Some(counts) = self.recorded.get(&window) {
            return Some((window, counts.clone()));
        }
        if window > latest {
            return None;
        }
        let end_ms = (window as i64 + 1) * self.length_ms;
        let is_handed_over = now_ms > self.leader_since_ms.saturating_add(HANDOVER_MS);
        let is_late =
            now_ms > end_ms + PEER_TIMEOUT_MS && is_handed_over || now_ms > end_ms + DEADLINE_MS;
        let has_sent =
            |it: &String| self.remote.get(it).is_some_and(|remote| remote.settled >= window);
        if !is_late && !live.iter().all(has_sent) {
            return None;
        }
        let mut counts = self.own.get(&window).cloned().unwrap_or_default();
        for remote in self.remote.values() {
            for (workspace, count) in remote.windows.get(&window).into_iter().flatten() {
                *counts.entry(workspace.clone()).or_default() += count;
            }
        }
        Some((window, counts))
    }

    /// Records that a window was reported or abandoned.
    pub fn mark_reported(&mut self, window: u64) {
        self.next = Some(self.next.map_or(window + 1, |it| it.max(window + 1)));
    }

    /// Whether the report of the window has not expired.
    pub fn is_reportable(&self, window: u64, now_ms: i64) -> bool {
        window >= self.window_at(now_ms - EXPIRY_MS)
    }
}
