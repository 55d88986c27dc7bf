//! The thread on which all actors run.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use stakker::Stakker;

/// Longest sleep without a timer.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// The runtime and what wakes it.
pub struct Runtime {
    /// The runtime.
    pub stakker: Stakker,
    wakes: Receiver<()>,
}

impl Runtime {
    /// A runtime that other threads can wake.
    pub fn new() -> Runtime {
        let mut stakker = Stakker::new(Instant::now());
        let (wake, wakes) = sync_channel(1);
        // A full channel means that a wake-up is pending already.
        stakker.set_poll_waker(move || {
            let _ = wake.try_send(());
        });
        Runtime { stakker, wakes }
    }

    /// Runs until an actor shuts the runtime down.
    pub fn run(&mut self) {
        self.stakker.run(Instant::now(), false);
        while self.stakker.not_shutdown() {
            let wait = self.stakker.next_wait_max(Instant::now(), IDLE_WAIT, false);
            if self.wakes.recv_timeout(wait).is_ok() {
                self.stakker.poll_wake();
            }
            self.stakker.run(Instant::now(), false);
        }
    }
}
