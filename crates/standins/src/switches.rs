//! Fault switches, set by `POST /fake/switches`.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Time between looks at a switch that holds a call back.
const POLL: Duration = Duration::from_millis(5);

/// Faults in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuse every call with 503 before doing anything.
    pub down: bool,
    /// Answer nothing and do nothing until switched off.
    pub freeze: bool,
    /// Milliseconds added before each call is looked at.
    pub slow_ms: u64,
    /// Number of coming calls whose effect takes place and whose answer is lost.
    pub lose_answers: u32,
    /// Every commit takes effect and its answer is lost.
    pub lose_commits: bool,
    /// Exit when a request contains this text; empty for never.
    pub crash_on: String,
    /// Stream nothing more on the open connections; new calls are served.
    pub silence_open: bool,
}

/// Switches shared by all calls of a stand-in.
#[derive(Debug, Default)]
pub struct Switches {
    faults: Mutex<Faults>,
    silences: AtomicU64,
}

/// Whether the answer of a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send it.
    Send,
    /// Lose it.
    Lose,
}

impl Switches {
    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Puts other faults in force.
    pub fn set(&self, faults: Faults) {
        if faults.silence_open {
            self.silences.fetch_add(1, Ordering::Relaxed);
        }
        *self.faults.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = faults;
    }

    /// Number of times that open streams were silenced; a stream takes it when
    /// it opens.
    pub fn silences(&self) -> u64 {
        self.silences.load(Ordering::Relaxed)
    }

    /// Whether a stream that took `opened` is silenced now.
    pub fn is_silenced(&self, opened: u64) -> bool {
        self.faults().silence_open && opened < self.silences()
    }

    /// Holds a call back while slow or frozen.
    pub fn hold(&self) {
        thread::sleep(Duration::from_millis(self.faults().slow_ms));
        while self.faults().freeze {
            thread::sleep(POLL);
        }
    }

    /// Takes one of the answers to lose, if any is left.
    pub fn take_answer(&self) -> Answer {
        let mut faults = self.faults.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if faults.lose_answers == 0 {
            return Answer::Send;
        }
        faults.lose_answers -= 1;
        Answer::Lose
    }

    /// Exits the process when the request is one that crashes it.
    pub fn crash_if_told(&self, text: &str) {
        let crash_on = self.faults().crash_on;
        if !crash_on.is_empty() && text.contains(&crash_on) {
            std::process::abort();
        }
    }
}
