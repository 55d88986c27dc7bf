//! The task that makes the duties' calls to the store.

use std::net::SocketAddr;

use duty::lease::Action;
use duty::usage::Counts;
use platform::exchange::Client;
use platform::rows;
use store::table::ABSENT;
use store::table::Check;
use store::table::Put;
use store::table::Transaction;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::event::Event;

/// Row of the lease.
const LEASE: &str = "duties/lease";
/// Windows whose rows are kept; older ones are removed with a newer write.
const WINDOWS_KEPT: u64 = 40;

/// A call to make.
#[derive(Debug)]
pub enum Job {
    /// Reads or writes the lease.
    Lease(Action),
    /// Fixes a window's counts, unless they are.
    Fix {
        /// Window.
        window: u64,
        /// Counts.
        counts: Counts,
    },
}

/// Makes the calls one after the other.
pub async fn run(
    store: SocketAddr,
    mut jobs: UnboundedReceiver<Job>,
    events: UnboundedSender<Event>,
) {
    let mut client = Client::new(store);
    while let Some(job) = jobs.recv().await {
        let event = match job {
            Job::Lease(Action::Read) => Event::LeaseRead(rows::read(&mut client, LEASE).await),
            Job::Lease(Action::Write { version, value }) => {
                let write = Transaction {
                    checks: vec![Check { key: LEASE.to_owned(), version }],
                    puts: vec![Put { key: LEASE.to_owned(), value }],
                    deletes: Vec::new(),
                };
                Event::LeaseWritten(rows::commit(&mut client, &write).await)
            }
            Job::Fix { window, counts } => {
                let result = rows::commit(&mut client, &fix(window, &counts)).await;
                Event::Fixed { window, counts, result }
            }
        };
        let _ = events.send(event);
    }
}

fn fix(window: u64, counts: &Counts) -> Transaction {
    let key = |window: u64| format!("windows/{window}");
    // Counts are names and numbers, which always have a form in JSON.
    let value = serde_json::to_string(counts).unwrap_or_default();
    Transaction {
        checks: vec![Check { key: key(window), version: ABSENT }],
        puts: vec![Put { key: key(window), value }],
        deletes: vec![key(window.saturating_sub(WINDOWS_KEPT))],
    }
}
