//! The platform's balancer as callers see it: a call goes to a daemon that
//! says it is ready.

use std::io;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Longest search for a ready daemon.
const SEARCH_LIMIT: Duration = Duration::from_secs(10);
/// Pause when no daemon is ready.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a readiness answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Daemons' addresses, asked in turn.
#[derive(Debug, Default)]
pub struct Balancer {
    addresses: Mutex<Vec<String>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Sends calls to these daemons from now on.
    pub fn set(&self, addresses: Vec<String>) {
        *self.addresses.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = addresses;
    }

    /// Address of a daemon that is ready.
    pub fn pick(&self) -> io::Result<String> {
        let deadline = Instant::now() + SEARCH_LIMIT;
        while Instant::now() < deadline {
            let addresses = self.addresses();
            let turn = self.next.fetch_add(1, Ordering::Relaxed);
            let ready = (0..addresses.len())
                .map(|step| &addresses[(turn + step) % addresses.len()])
                .find(|address| is_ready(address));
            if let Some(address) = ready {
                return Ok(address.clone());
            }
            thread::sleep(PAUSE);
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
