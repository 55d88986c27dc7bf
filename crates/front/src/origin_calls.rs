//! The tasks that write and read the store rows of streams.

use platform::exchange::Client;
use platform::rows;
use store::table::Transaction;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::event::Event;
use crate::origin_rows::TABLE;

/// A call to the store.
#[derive(Debug)]
pub enum Job {
    /// Writes a row of this daemon and deletes others of its rows.
    Write(Transaction),
    /// Reads the rows of all daemons.
    Read,
    /// Deletes rows of daemons that may have ended.
    Delete(Vec<String>),
}

/// Makes the calls sequentially.
pub async fn run(
    mut client: Client,
    mut jobs: UnboundedReceiver<Job>,
    events: UnboundedSender<Event>,
) {
    while let Some(job) = jobs.recv().await {
        let event = match job {
            Job::Write(transaction) => {
                Event::StreamsStored(rows::commit(&mut client, &transaction).await)
            }
            Job::Read => {
                let result = rows::scan(&mut client, TABLE).await;
                Event::StreamsRead(result.map(|(rows, _)| rows))
            }
            Job::Delete(keys) => {
                let transaction = Transaction { deletes: keys, ..Transaction::default() };
                Event::StreamRowsDeleted(rows::commit(&mut client, &transaction).await)
            }
        };
        // Sending fails only while the daemon shuts down.
        let _ = events.send(event);
    }
}
