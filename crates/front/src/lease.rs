//! The task that makes the leader tasks' calls to the store.

use std::collections::BTreeSet;

use balance::subject::Subject;
use duty::lease::Action;
use duty::usage::Counts;
use platform::exchange::Client;
use platform::rows;
use store::Error;
use store::table::Check;
use store::table::Commit;
use store::table::Put;
use store::table::Transaction;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::event::Event;

/// Key of the lease row.
const LEASE_KEY: &str = "duties/lease";
/// Key of the row of rejected requests.
pub const REJECTED_KEY: &str = "duties/rejected";
/// Key of the row of software versions that have served.
pub const VERSIONS_KEY: &str = "duties/versions";
/// Key of the row that holds when the store's era began.
const ERA_KEY: &str = "duties/era";
/// Key of the row of the lease holder's orders.
const ORDERS_KEY: &str = "duties/orders";
/// Number of windows whose rows are retained. Each write of a window deletes the
/// row that falls out of this range.
const RETAINED_WINDOWS: u64 = 40;

/// A call to the store.
#[derive(Debug)]
pub enum Job {
    /// Reads or writes the lease row.
    Lease(Action),
    /// Records a window's counts unless they were recorded before.
    RecordUsage {
        /// Number of the window.
        window: u64,
        /// Requests per workspace.
        counts: Counts,
        /// Version of the window's row if it is absent in the store's era in which this was
        /// decided.
        absent: u64,
    },
    /// Reads when the store's era began.
    ReadEra,
    /// Replaces the row that holds when the store's era began.
    StoreEra {
        /// Expected version of the row.
        version: u64,
        /// New content.
        content: String,
    },
    /// Replaces the row of rejected requests.
    StoreRejected {
        /// Fingerprints of the requests.
        subjects: BTreeSet<Subject>,
        /// New content.
        content: String,
    },
    /// Replaces the row of software versions.
    StoreVersions {
        /// New content.
        content: String,
    },
    /// Reads the order book.
    ReadOrders {
        /// Fencing token of the term that asks for it.
        fence: u64,
    },
    /// Replaces the order book.
    StoreOrders {
        /// New content.
        content: String,
    },
}

/// Makes the calls sequentially.
pub async fn run(
    mut client: Client,
    mut jobs: UnboundedReceiver<Job>,
    events: UnboundedSender<Event>,
) {
    while let Some(job) = jobs.recv().await {
        let event = match job {
            Job::Lease(Action::Read) => {
                let result = rows::read(&mut client, LEASE_KEY).await;
                Event::LeaseRead { result, era: client.era() }
            }
            Job::Lease(Action::Write { version, value }) => {
                Event::LeaseWritten(swap(&mut client, LEASE_KEY, version, value).await)
            }
            Job::ReadEra => Event::EraRead(rows::read(&mut client, ERA_KEY).await),
            Job::StoreEra { version, content } => {
                Event::EraStored(swap(&mut client, ERA_KEY, version, content).await)
            }
            Job::RecordUsage { window, counts, absent } => {
                let transaction = usage_transaction(window, &counts, absent);
                let result = rows::commit(&mut client, &transaction).await;
                Event::UsageRecorded { window, counts, absent, result }
            }
            Job::StoreRejected { subjects, content } => {
                let result = replace(&mut client, REJECTED_KEY, content).await;
                Event::RejectedStored { subjects, result }
            }
            Job::StoreVersions { content } => {
                Event::VersionsStored(replace(&mut client, VERSIONS_KEY, content).await)
            }
            Job::ReadOrders { fence } => {
                Event::OrdersRead { fence, result: rows::read(&mut client, ORDERS_KEY).await }
            }
            Job::StoreOrders { content } => {
                Event::OrdersStored(replace(&mut client, ORDERS_KEY, content).await)
            }
        };
        let _ = events.send(event);
    }
}

/// Writes a row that has the given version.
async fn swap(
    client: &mut Client,
    key: &str,
    version: u64,
    value: String,
) -> Result<Commit, Error> {
    let write = Transaction {
        checks: vec![Check { key: key.to_owned(), version }],
        puts: vec![Put { key: key.to_owned(), value }],
        deletes: Vec::new(),
    };
    rows::commit(client, &write).await
}

async fn replace(client: &mut Client, key: &str, value: String) -> Result<Commit, Error> {
    let put = Put { key: key.to_owned(), value };
    rows::commit(client, &Transaction { puts: vec![put], ..Transaction::default() }).await
}

fn usage_transaction(window: u64, counts: &Counts, absent: u64) -> Transaction {
    let key = |window: u64| format!("windows/{window}");
    // Counts consist of strings and numbers, so encoding them as JSON can't fail.
    let value = serde_json::to_string(counts).unwrap_or_default();
    Transaction {
        checks: vec![Check { key: key(window), version: absent }],
        puts: vec![Put { key: key(window), value }],
        deletes: vec![key(window.saturating_sub(RETAINED_WINDOWS))],
    }
}
