//! The store row that keeps which software versions have served, for daemons that start when
//! no other daemon is left to tell them.

use balance::software::Notice;
use balance::software::Version;
use serde::Deserialize;
use serde::Serialize;

/// The row's content, in JSON. Times are in Unix milliseconds.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    /// Since when the versions are complete; absent for the whole time.
    covered_since_ms: Option<i64>,
    versions: Vec<Entry>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    service: String,
    software: String,
    /// When its last endpoint left; absent if it served when the row was written.
    left_at_ms: Option<i64>,
}

/// Encodes a history as the content of the row. `now_ms` is the Unix time.
pub fn encode(notice: &Notice, now_ms: i64) -> String {
    let at_ms = |age_ms: u64| now_ms.saturating_sub_unsigned(age_ms);
    let entry = |it: &Version| Entry {
        service: it.service.clone(),
        software: it.software.clone(),
        left_at_ms: (it.age_ms > 0).then(|| at_ms(it.age_ms)),
    };
    let versions = notice.versions.iter().map(entry).collect();
    let content = Content { covered_since_ms: notice.covered_ms.map(at_ms), versions };
    // Strings and numbers can always be encoded.
    serde_json::to_string(&content).unwrap_or_default()
}

/// Decodes the content of the row; `None` if it is empty.
pub fn decode(content: &str, now_ms: i64) -> Result<Option<Notice>, serde_json::Error> {
    if content.is_empty() {
        return Ok(None);
    }
    let content: Content = serde_json::from_str(content)?;
    let age_ms = |at_ms: i64| now_ms.saturating_sub(at_ms).max(0) as u64;
    let version = |it: Entry| Version {
        service: it.service,
        software: it.software,
        age_ms: it.left_at_ms.map_or(0, age_ms),
    };
    let versions = content.versions.into_iter().map(version).collect();
    Ok(Some(Notice { covered_ms: content.covered_since_ms.map(age_ms), versions }))
}
