//! The secret that the daemons share, which is kept in a row of the store.

use std::time::Duration;

use platform::exchange::Client;
use platform::rows;
use store::Error;
use store::position;
use store::table::Check;
use store::table::Commit;
use store::table::Put;
use store::table::Transaction;
use tokio::time::sleep;

use crate::feeds::Returns;

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time in which running daemons write the secret again after the store has returned from a
/// copy.
const REWRITE_TIME: Duration = Duration::from_secs(2);
/// Key of the secret shared by the daemons.
const SECRET_KEY: &str = "secrets/peers";

/// Reads the secret shared by the daemons. If there is none, stores `candidate`
/// as the secret.
pub async fn obtain(client: &mut Client, candidate: &str, is_first_start: bool) -> String {
    // Era in which a missing secret is not written again by running daemons.
    let mut settled_era = None;
    loop {
        let result = match rows::read(client, SECRET_KEY).await {
            Ok(row) if !row.value.is_empty() => return row.value,
            Ok(row) => {
                let era = position::era(row.version);
                // When the whole fleet starts for the first time, no daemon has an earlier secret.
                if is_first_start && settled_era.is_none() {
                    settled_era = Some(era);
                }
                // A copy from which the store has returned may lack the secret.
                if client.era().is_some() && settled_era != Some(era) {
                    settled_era = Some(era);
                    sleep(REWRITE_TIME).await;
                    continue;
                }
                create(client, row.version, candidate).await
            }
            Err(error) => Err(error),
        };
        match result {
            Ok(secret) => return secret,
            Err(error) => {
                spdlog::warn!("failed to read the secret of the daemons",
                    kv: { cause = error.to_string() });
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes the secret again whenever the store returns from a copy that lacks it.
pub async fn keep(mut client: Client, secret: String, mut returns: Returns) {
    loop {
        returns.next().await;
        loop {
            match read_or_create(&mut client, &secret).await {
                Ok(stored) if stored == secret => break,
                Ok(_) => {
                    spdlog::error!("another secret of the daemons is stored; restart this daemon");
                    break;
                }
                Err(error) => {
                    spdlog::warn!("failed to store the secret of the daemons",
                        kv: { cause = error.to_string() });
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn read_or_create(client: &mut Client, candidate: &str) -> Result<String, Error> {
    let row = rows::read(client, SECRET_KEY).await?;
    if !row.value.is_empty() {
        return Ok(row.value);
    }
    create(client, row.version, candidate).await
}

/// Stores `candidate` as the secret unless the row has another version. Returns the secret.
async fn create(client: &mut Client, version: u64, candidate: &str) -> Result<String, Error> {
    let creation = Transaction {
        checks: vec![Check { key: SECRET_KEY.to_owned(), version }],
        puts: vec![Put { key: SECRET_KEY.to_owned(), value: candidate.to_owned() }],
        deletes: Vec::new(),
    };
    match rows::commit(client, &creation).await? {
        Commit::Done { .. } => Ok(candidate.to_owned()),
        Commit::Conflict { rows } => match rows.into_iter().find(|it| !it.value.is_empty()) {
            Some(row) => Ok(row.value),
            None => {
                let detail = "the store returned from a copy meanwhile".to_owned();
                Err(Error::NoResponse { detail })
            }
        },
    }
}
