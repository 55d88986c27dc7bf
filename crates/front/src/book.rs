//! The store row that keeps the lease holder's orders for endpoints, for the next holder.

use std::time::Duration;

use duty::book::Entry;
use duty::book::MAX_AGE;
use duty::book::Order;
use duty::order::Kind;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

/// Most endpoints that an entry may name; rows with more are malformed.
const MAX_COUNT: u32 = 100_000;

/// Why the row's content isn't used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The content isn't a book of orders.
    #[snafu(display("the order book is malformed: {source}; the lease holder replaces it"))]
    Malformed {
        /// Cause of the failure.
        source: serde_json::Error,
    },
    /// A number is out of range.
    #[snafu(display("the order book has numbers out of range; the lease holder replaces it"))]
    OutOfRange,
    /// The store has returned from an older copy since the row was written.
    #[snafu(display("the order book is of the store's era {era}; the lease holder replaces it"))]
    EarlierEra {
        /// Era in which the row was written.
        era: u64,
    },
    /// The row was last written too long ago.
    #[snafu(display("the order book is {} s old; the lease holder replaces it", age.as_secs()))]
    Outdated {
        /// Age of the row.
        age: Duration,
    },
}

impl Error {
    /// Returns the label of the error in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Error::Malformed { .. } | Error::OutOfRange => "malformed",
            Error::EarlierEra { .. } => "earlier_era",
            Error::Outdated { .. } => "outdated",
        }
    }
}

/// The row's content, in JSON. Times are in Unix milliseconds.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    written_at_ms: i64,
    /// Era of the store, as the lease holder knew it; 0 if it had stated none.
    era: u64,
    services: Vec<Service>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Service {
    name: String,
    need: f64,
    needed_at_ms: i64,
    orders: Vec<Placed>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Placed {
    zone: String,
    reclaimable: bool,
    count: u32,
    granted: u32,
    placed_at_ms: i64,
    rejected: bool,
}

/// Encodes entries as the content of the row. `now_ms` is the Unix time.
///
/// `era` is the store's latest era, 0 if it has stated none.
pub fn encode(entries: &[Entry], era: u64, now_ms: i64) -> String {
    let placed = |it: &Order| Placed {
        zone: it.zone.clone(),
        reclaimable: it.kind == Kind::Reclaimable,
        count: it.count,
        granted: it.granted,
        placed_at_ms: now_ms.saturating_sub_unsigned(it.age_ms),
        rejected: it.is_rejected,
    };
    let service = |it: &Entry| Service {
        name: it.service.clone(),
        need: it.need,
        needed_at_ms: now_ms.saturating_sub_unsigned(it.need_age_ms),
        orders: it.orders.iter().map(placed).collect(),
    };
    let services = entries.iter().map(service).collect();
    // Strings and finite numbers can always be encoded.
    serde_json::to_string(&Content { written_at_ms: now_ms, era, services }).unwrap_or_default()
}

/// Decodes the content of the row; an empty row holds no entries.
///
/// # Errors
///
/// Returns an error if the content can't be decoded, has numbers out of range, is of an earlier
/// era or is older than [`MAX_AGE`].
pub fn decode(content: &str, era: u64, now_ms: i64) -> Result<Vec<Entry>, Error> {
    if content.is_empty() {
        return Ok(Vec::new());
    }
    let content: Content = serde_json::from_str(content).context(MalformedSnafu)?;
    if content.era < era {
        return EarlierEraSnafu { era: content.era }.fail();
    }
    let age_ms = |at_ms: i64| now_ms.saturating_sub(at_ms).max(0) as u64;
    let age = Duration::from_millis(age_ms(content.written_at_ms));
    if age > MAX_AGE {
        return OutdatedSnafu { age }.fail();
    }
    let order = |it: Placed| Order {
        zone: it.zone,
        kind: if it.reclaimable { Kind::Reclaimable } else { Kind::OnDemand },
        count: it.count,
        granted: it.granted,
        age_ms: age_ms(it.placed_at_ms),
        is_rejected: it.rejected,
    };
    let mut entries = Vec::new();
    for service in content.services {
        let is_in_range = |it: &Placed| it.count.max(it.granted) <= MAX_COUNT;
        let is_need_in_range = (0.0..=f64::from(MAX_COUNT)).contains(&service.need);
        if !is_need_in_range || !service.orders.iter().all(is_in_range) {
            return OutOfRangeSnafu.fail();
        }
        entries.push(Entry {
            service: service.name,
            need: service.need,
            need_age_ms: age_ms(service.needed_at_ms),
            orders: service.orders.into_iter().map(order).collect(),
        });
    }
    Ok(entries)
}
