//! The store rows that keep where streams began, for daemons that start when no other daemon is
//! left to tell them.

use std::time::Duration;

use balance::endpoint::Instance;
use balance::origin::Key;
use balance::origin::Notice;
use balance::origin::Origin;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

/// Table of the rows.
pub const TABLE: &str = "streams";
/// Longest time for which a stream is remembered; longer ones are malformed.
const MAX_LIFETIME: Duration = Duration::from_secs(24 * 3_600);
/// Radix of keys and instances.
const HEX: u32 = 16;

/// Why a row isn't used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The content isn't a list of streams.
    #[snafu(display("the row is malformed: {source}; it is deleted once its streams expire"))]
    Malformed {
        /// Cause of the failure.
        source: serde_json::Error,
    },
    /// The content has numbers out of range.
    #[snafu(display("the row has numbers out of range; it is deleted once its streams expire"))]
    OutOfRange,
}

/// A stream in a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Where it began.
    pub notice: Notice,
    /// Whether the endpoint instance was known to have the version when the row was written. If
    /// not, its entry might have been replaced later.
    pub is_settled: bool,
}

/// The row's content, in JSON. Times are in Unix milliseconds.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    origins: Vec<Place>,
    streams: Vec<Record>,
}

/// Where streams began.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Place {
    service: String,
    /// Absent if it is in doubt or not known yet.
    software: Option<String>,
    /// Whether the version is not known yet, as the instance's entry was not read.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_unread: bool,
    /// In hex.
    instance: String,
    is_settled: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// In hex.
    #[serde(rename = "k")]
    key: String,
    /// Index in `origins`.
    #[serde(rename = "o")]
    origin: usize,
    #[serde(rename = "b")]
    began_ms: i64,
    #[serde(rename = "u")]
    until_ms: i64,
}

/// Returns the key of a row in the store.
pub fn row_key(daemon: &str, number: u64) -> String {
    format!("{TABLE}/{daemon}/{number}")
}

/// Returns the id of the daemon instance that wrote the row with this key.
pub fn writer(row_key: &str) -> &str {
    let name = row_key.strip_prefix(TABLE).and_then(|it| it.strip_prefix('/')).unwrap_or(row_key);
    name.rsplit_once('/').map_or(name, |(daemon, _)| daemon)
}

/// Encodes streams as the content of a row. `now_ms` is the Unix time.
pub fn encode(streams: &[Stream], now_ms: i64) -> String {
    let mut content = Content { origins: Vec::new(), streams: Vec::new() };
    for Stream { notice, is_settled } in streams {
        let place = Place {
            service: notice.origin.service.clone(),
            software: notice.origin.software.clone().filter(|it| !it.is_empty()),
            is_unread: notice.origin.is_unread(),
            instance: format!("{:x}", notice.origin.instance.0),
            is_settled: *is_settled,
        };
        let known = content.origins.iter().position(|it| *it == place);
        let origin = known.unwrap_or(content.origins.len());
        if known.is_none() {
            content.origins.push(place);
        }
        content.streams.push(Record {
            key: format!("{:x}", notice.key.0),
            origin,
            began_ms: now_ms.saturating_sub_unsigned(notice.age_ms),
            until_ms: now_ms.saturating_add_unsigned(notice.lifetime_ms),
        });
    }
    // Strings and numbers can always be encoded.
    serde_json::to_string(&content).unwrap_or_default()
}

/// Decodes the content of a row, without the streams that have expired.
///
/// # Errors
///
/// Returns an error if the content can't be decoded or has numbers out of range.
pub fn decode(content: &str, now_ms: i64) -> Result<Vec<Stream>, Error> {
    let content: Content = serde_json::from_str(content).context(MalformedSnafu)?;
    let mut streams = Vec::new();
    for record in &content.streams {
        let stream = decode_stream(record, &content.origins, now_ms);
        let Some(stream) = stream else { return OutOfRangeSnafu.fail() };
        streams.push(stream);
    }
    streams.retain(|it| it.notice.lifetime_ms > 0);
    Ok(streams)
}

fn decode_stream(record: &Record, origins: &[Place], now_ms: i64) -> Option<Stream> {
    let place = origins.get(record.origin)?;
    let is_known = place.software.as_deref() != Some("");
    let lifetime_ms = record.until_ms.saturating_sub(now_ms).max(0) as u64;
    let is_in_range = Duration::from_millis(lifetime_ms) <= MAX_LIFETIME;
    if !is_known || !is_in_range {
        return None;
    }
    let origin = Origin {
        service: place.service.clone(),
        software: place.software.clone().or(place.is_unread.then(String::new)),
        instance: Instance(u64::from_str_radix(&place.instance, HEX).ok()?),
    };
    let notice = Notice {
        key: Key(u128::from_str_radix(&record.key, HEX).ok()?),
        origin,
        age_ms: now_ms.saturating_sub(record.began_ms).max(0) as u64,
        lifetime_ms,
    };
    Some(Stream { notice, is_settled: place.is_settled })
}
