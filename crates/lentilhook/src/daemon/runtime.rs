//! Event loop that runs all actors on one thread.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

use stakker::Stakker;

/// Maximum sleep while no timer is pending.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// The actor runtime and the channel that wakes it.
pub struct Runtime {
    /// The actor runtime.
    pub stakker: Stakker,
    wake_ups: Receiver<()>,
}

impl Runtime {
    /// Creates a runtime that other threads can wake.
    pub fn new() -> Runtime {
        let mut stakker = Stakker::new(Instant::now());
        let (wake, wake_ups) = sync_channel(1);
        // A full channel means that a wake-up is already pending.
        stakker.set_poll_waker(move || {
            let _ = wake.try_send(());
        });
        Runtime { stakker, wake_ups }
    }

    /// Runs the actors until one of them shuts the runtime down.
    pub fn run(&mut self) {
        self.stakker.run(Instant::now(), false);
        while self.stakker.not_shutdown() {
            let wait = self.stakker.next_wait_max(Instant::now(), IDLE_WAIT, false);
            if self.wake_ups.recv_timeout(wait).is_ok() {
                self.stakker.poll_wake();
            }
            self.stakker.run(Instant::now(), false);
        }
    }
}
