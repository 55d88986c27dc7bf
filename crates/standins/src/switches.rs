//! Fault switches that are set by `POST /fake/switches`.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Interval at which a frozen call checks its switch.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Active faults.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Rejects every call with 503 without processing it.
    pub down: bool,
    /// Blocks all calls, unprocessed and unanswered, until switched off.
    pub freeze: bool,
    /// Delay before each call is processed, in milliseconds.
    pub slow_ms: u64,
    /// Status with which calls are answered that were executed; 0 for success.
    pub fail_status: u16,
    /// Number of upcoming calls that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Loses the answer of every commit. The commits still take effect.
    pub lose_commits: bool,
    /// Crashes the process when a request contains this text. Empty for never.
    pub crash_on: String,
    /// Sends nothing more on streams that are open now. New calls are served.
    pub silence_open: bool,
}

/// Switches shared by all calls of a fake.
#[derive(Debug, Default)]
pub struct Switches {
    faults: Mutex<Faults>,
    silence_count: AtomicU64,
}

/// Decision on whether to send the answer of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Send the answer.
    Send,
    /// Drop the answer.
    Lose,
}

impl Switches {
    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Replaces the active faults.
    pub fn set(&self, faults: Faults) {
        if faults.silence_open {
            self.silence_count.fetch_add(1, Ordering::Relaxed);
        }
        *self.faults.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = faults;
    }

    /// Returns how often open streams have been silenced. A stream stores this
    /// value when it opens.
    pub fn silence_count(&self) -> u64 {
        self.silence_count.load(Ordering::Relaxed)
    }

    /// Whether a stream that opened at the given silence count is silenced now.
    pub fn is_silenced(&self, count_at_open: u64) -> bool {
        self.faults().silence_open && count_at_open < self.silence_count()
    }

    /// Blocks a call while the fake is slow or frozen.
    pub fn delay(&self) {
        thread::sleep(Duration::from_millis(self.faults().slow_ms));
        while self.faults().freeze {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Decides whether to send the next answer. Each lost answer decrements `lose_answers`.
    pub fn next_delivery(&self) -> Delivery {
        let mut faults = self.faults.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if faults.lose_answers == 0 {
            return Delivery::Send;
        }
        faults.lose_answers -= 1;
        Delivery::Lose
    }

    /// Aborts the process if the request text matches the crash switch.
    pub fn crash_on_match(&self, text: &str) {
        let crash_on = self.faults().crash_on;
        if !crash_on.is_empty() && text.contains(&crash_on) {
            std::process::abort();
        }
    }
}
