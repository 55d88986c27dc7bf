//! Fake of the platform's load balancer: sends each call to a daemon whose
//! readiness check passes.

use std::io;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Timeout for finding a ready daemon.
const PICK_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the next round of checks when no daemon is ready.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a readiness check.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Picks ready daemons round-robin.
#[derive(Debug, Default)]
pub struct Balancer {
    addresses: Mutex<Vec<String>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Replaces the addresses of the daemons.
    pub fn set_addresses(&self, addresses: Vec<String>) {
        *self.addresses.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = addresses;
    }

    /// Returns the address of a ready daemon. Fails if none is ready within 10 seconds.
    pub fn pick(&self) -> io::Result<String> {
        let deadline = Instant::now() + PICK_TIMEOUT;
        while Instant::now() < deadline {
            let addresses = self.addresses();
            let turn = self.next.fetch_add(1, Ordering::Relaxed);
            let ready = (0..addresses.len())
                .map(|offset| &addresses[(turn + offset) % addresses.len()])
                .find(|address| is_ready(address));
            if let Some(address) = ready {
                return Ok(address.clone());
            }
            thread::sleep(RETRY_DELAY);
        }
        Err(io::Error::other("no daemon is ready"))
    }

    fn addresses(&self) -> Vec<String> {
        self.addresses.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }
}

fn is_ready(address: &str) -> bool {
    let settings = ureq::Agent::config_builder().timeout_global(Some(PROBE_TIMEOUT)).build();
    let agent: ureq::Agent = settings.into();
    agent.get(format!("http://{address}/readyz")).call().is_ok()
}
